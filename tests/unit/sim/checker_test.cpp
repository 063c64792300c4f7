// The checker of the scenarios must detect a violation of each of its rules. A rule that it misses
// would let scenarios pass in spite of a scheduling fault.
#include "sim/checker.h"

#include <gtest/gtest.h>

namespace fawnwheel::sim {
namespace {

class CheckerTest : public ::testing::Test {
  protected:
    CheckerTest() : checker({{"crew", 0, 0, 4, 0}}, Time(10)) {
        spec.id = "run-1";
        spec.team = "crew";
        spec.tasks = 3;
        spec.taskResources = {2, 0, 1};
        spec.types = {{"small"}};
        spec.zone = "a";
        checker.submitted(spec, Time(0));
    }
    void expectOnly(const std::string& rule) {
        ASSERT_EQ(checker.violations().size(), 1U);
        EXPECT_TRUE(checker.violations().front().starts_with(rule + ":"));
    }

    Checker checker;
    protocol::JobSpec spec;
    Place here{"m-1", "small", "a", false};
};

TEST_F(CheckerTest, ReportsNothingForACorrectRun) {
    checker.statusReported("run-1", "pending", Time(0));
    for (std::uint32_t task = 0; task < 3; ++task) {
        checker.started("run-1", task, here, Time(1));
        checker.ended("run-1", task, "m-1", true, Time(1));
    }
    checker.statusReported("run-1", "done", Time(2));
    EXPECT_TRUE(checker.violations().empty());
}
TEST_F(CheckerTest, DetectsTaskOnTwoMachines) {
    checker.started("run-1", 0, here, Time(1));
    checker.started("run-1", 0, {"m-2", "small", "a", false}, Time(2));
    expectOnly("ran_twice");
}
TEST_F(CheckerTest, DetectsTwoLeadersWithOneToken) {
    checker.responseAccepted("m-1", "node-0", 70);
    checker.responseAccepted("m-1", "node-1", 71);
    checker.responseAccepted("m-2", "node-1", 70);
    checker.responseAccepted("m-1", "node-0", 72);
    EXPECT_TRUE(checker.violations().empty());
    checker.responseAccepted("m-1", "node-0", 71);
    expectOnly("two_owners");
}
TEST_F(CheckerTest, DetectsTaskEndedByATransfer) {
    checker.forbidTransferDisruptions();
    checker.machineTransferred("run-1", 0, "m-1", Time(5));
    // Its machine was not transferred.
    checker.endedIncomplete("run-1", 1, "m-1", "halted", Time(6));
    checker.endedIncomplete("run-1", 0, "m-1", "halted", Time(200));  // long after the transfer
    EXPECT_TRUE(checker.violations().empty());
    checker.endedIncomplete("run-1", 0, "m-1", "halted", Time(30));
    expectOnly("disturbed");
}
TEST_F(CheckerTest, AllowsCancellationAfterATransfer) {
    checker.forbidTransferDisruptions();
    checker.machineTransferred("run-1", 0, "m-1", Time(5));
    checker.cancelRequested("run-1");
    checker.endedIncomplete("run-1", 0, "m-1", "halted", Time(6));
    EXPECT_TRUE(checker.violations().empty());
}
TEST_F(CheckerTest, DetectsPartiallyPlacedGang) {
    spec.id = "run-2";
    spec.kind = protocol::JobKind::gang;
    checker.submitted(spec, Time(0));
    checker.started("run-2", 0, here, Time(1));
    for (int second = 1; second <= 75; ++second) checker.tick(Time(second));
    EXPECT_TRUE(checker.violations().empty());
    checker.tick(Time(77));
    expectOnly("partly_placed");
}
TEST_F(CheckerTest, DetectsTaskWithoutRecordedAllocation) {
    const Time allowance(20);
    checker.observePlacement("run-1", 0, "m-1", true, allowance, Time(1));
    checker.observePlacement("run-1", 0, "m-1", false, allowance, Time(5));
    checker.observePlacement("run-1", 0, "m-1", false, allowance, Time(25));
    EXPECT_TRUE(checker.violations().empty());
    checker.observePlacement("run-1", 0, "m-1", false, allowance, Time(26));
    expectOnly("orphaned");
}
TEST_F(CheckerTest, AllowsMissingAllocationsWhileFaultsLast) {
    checker.observePlacement("run-1", 0, "m-1", false, Time(20), Time(5));
    checker.faultsUntil(Time(40));
    checker.observePlacement("run-1", 0, "m-1", false, Time(20), Time(55));
    EXPECT_TRUE(checker.violations().empty());
    checker.observePlacement("run-1", 0, "m-1", false, Time(20), Time(61));
    expectOnly("orphaned");
}
TEST_F(CheckerTest, DetectsStartBeforeDependencyIsDone) {
    spec.id = "run-2";
    spec.tasks = 1;
    spec.dependencies = {"run-1"};
    checker.submitted(spec, Time(0));
    for (std::uint32_t task = 0; task < 2; ++task) {
        checker.started("run-1", task, here, Time(1));
        checker.ended("run-1", task, "m-1", true, Time(2));
    }
    checker.started("run-2", 0, here, Time(3));
    expectOnly("too_early");
}
TEST_F(CheckerTest, AllowsStartOnceDependencyIsDone) {
    spec.id = "run-2";
    spec.dependencies = {"run-1"};
    checker.submitted(spec, Time(0));
    for (std::uint32_t task = 0; task < 3; ++task) {
        checker.started("run-1", task, here, Time(1));
        checker.ended("run-1", task, "m-1", true, Time(2));
    }
    checker.started("run-2", 0, here, Time(2));
    EXPECT_TRUE(checker.violations().empty());
}
TEST_F(CheckerTest, DetectsDependentLeftAfterCancellation) {
    for (const auto& [id, dependency] :
         {std::pair("run-2", "run-1"), std::pair("run-3", "run-2")}) {
        spec.id = id;
        spec.dependencies = {dependency};
        checker.submitted(spec, Time(0));
        checker.statusReported(id, "pending", Time(0));
    }
    checker.cancelRequested("run-1");
    checker.statusReported("run-1", "cancelled", Time(2));
    checker.statusReported("run-3", "pending", Time(12));
    checker.statusReported("run-2", "cancelled", Time(12));
    // Sent within the limit, though it arrives after it.
    checker.statusReported("run-3", "pending", Time(20), Time(11));
    EXPECT_TRUE(checker.violations().empty());
    checker.statusReported("run-3", "pending", Time(13));
    expectOnly("orphaned");
}
TEST_F(CheckerTest, DetectsCancellationWithADoneDependency) {
    spec.id = "run-2";
    spec.dependencies = {"run-1"};
    checker.submitted(spec, Time(0));
    for (std::uint32_t task = 0; task < 3; ++task) {
        checker.started("run-1", task, here, Time(1));
        checker.ended("run-1", task, "m-1", true, Time(2));
    }
    checker.cancelRequested("run-1");
    checker.statusReported("run-1", "done", Time(3));
    checker.statusReported("run-2", "cancelled", Time(4));
    expectOnly("went_back");
}
TEST_F(CheckerTest, DetectsExceededQuota) {
    for (std::uint32_t task = 0; task < 3; ++task) checker.started("run-1", task, here, Time(1));
    expectOnly("quota");
}
TEST_F(CheckerTest, DetectsWrongMachineType) {
    checker.started("run-1", 0, {"m-1", "large", "a", false}, Time(1));
    expectOnly("wrong_place");
}
TEST_F(CheckerTest, DetectsWrongZone) {
    checker.started("run-1", 0, {"m-1", "small", "b", false}, Time(1));
    expectOnly("wrong_place");
}
TEST_F(CheckerTest, DetectsSpotMachineWithoutConsent) {
    checker.started("run-1", 0, {"m-1", "small", "a", true}, Time(1));
    expectOnly("wrong_place");
}
TEST_F(CheckerTest, DetectsSpreadJobWithTooManyTasksInOneZone) {
    spec.id = "run-2";
    spec.taskResources = {0.5, 0, 1};
    spec.spread = true;
    checker.submitted(spec, Time(0));
    for (std::uint32_t task = 0; task < 3; ++task) checker.started("run-2", task, here, Time(1));
    expectOnly("wrong_place");
}
TEST_F(CheckerTest, DetectsTaskLeftAfterCancellation) {
    checker.cancelRequested("run-1");
    checker.started("run-1", 0, here, Time(1));
    checker.statusReported("run-1", "cancelled", Time(2));
    checker.tick(Time(11));
    EXPECT_TRUE(checker.violations().empty());
    checker.tick(Time(13));
    expectOnly("ran_cancelled");
}
TEST_F(CheckerTest, DetectsCancelledTaskThatOutlivesAHang) {
    // The machine hangs from before the cancellation is confirmed until after the limit. A fault
    // does not extend the limit, so the task that is still there violates the rule.
    checker.started("run-1", 0, here, Time(1));
    checker.cancelRequested("run-1");
    checker.faultsUntil(Time(30));
    checker.statusReported("run-1", "cancelled", Time(2));
    checker.tick(Time(30));
    expectOnly("ran_cancelled");
}
TEST_F(CheckerTest, CountsStartsAfterConfirmedCancellation) {
    checker.started("run-1", 0, here, Time(1));
    checker.cancelRequested("run-1");
    EXPECT_EQ(checker.startsAfterCancel(), 0U);
    checker.statusReported("run-1", "cancelled", Time(2));
    checker.started("run-1", 1, here, Time(3));
    EXPECT_EQ(checker.startsAfterCancel(), 1U);
    EXPECT_TRUE(checker.violations().empty());
    checker.started("run-1", 2, {"m-2", "small", "a", false}, Time(13));
    EXPECT_EQ(checker.startsAfterCancel(), 2U);
    ASSERT_FALSE(checker.violations().empty());
    EXPECT_TRUE(checker.violations().front().starts_with("ran_cancelled:"));
}
TEST_F(CheckerTest, DetectsWaitingJobThatCouldStart) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.faultsUntil(Time(50));
    checker.observeWaiting("run-1", true, Time(10));
    checker.observeWaiting("run-1", true, Time(140));
    EXPECT_TRUE(checker.violations().empty());
    checker.observeWaiting("run-1", false, Time(141));
    checker.observeWaiting("run-1", true, Time(142));
    checker.observeWaiting("run-1", true, Time(232));
    EXPECT_TRUE(checker.violations().empty());
    checker.observeWaiting("run-1", true, Time(233));
    expectOnly("left_waiting");
}
TEST_F(CheckerTest, DetectsAcceptedInvalidJob) {
    checker.submittedInvalid("run-7");
    checker.statusReported("run-7", "pending", Time(1));
    expectOnly("accepted_bad");
}
TEST_F(CheckerTest, DetectsAcceptedJobReportedAsUnknown) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.reportedUnknown("run-1");
    expectOnly("forgotten");
}
TEST_F(CheckerTest, DetectsAcceptedJobRefusedWhenResubmitted) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.reportedInvalid("run-1");
    expectOnly("forgotten");
}
TEST_F(CheckerTest, DetectsAcceptedJobWithoutResponses) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.pollFailed("run-1", Time(70));
    EXPECT_TRUE(checker.violations().empty());
    checker.pollFailed("run-1", Time(77));
    expectOnly("forgotten");
}
TEST_F(CheckerTest, DetectsStatusOfAJobNeverSubmitted) {
    checker.statusReported("run-9", "pending", Time(1));
    expectOnly("invented");
}
TEST_F(CheckerTest, DetectsDoneReportedBeforeAllTasksAre) {
    checker.statusReported("run-1", "done", Time(1));
    expectOnly("not_done");
}
TEST_F(CheckerTest, DetectsStateAfterTerminalState) {
    checker.cancelRequested("run-1");
    checker.statusReported("run-1", "cancelled", Time(1));
    checker.statusReported("run-1", "running", Time(2));
    expectOnly("went_back");
}
TEST_F(CheckerTest, JudgesStateOrderByWhenResponsesWereSent) {
    checker.cancelRequested("run-1");
    checker.statusReported("run-1", "cancelled", Time(2));
    checker.statusReported("run-1", "running", Time(2.1), Time(1.9));
    EXPECT_TRUE(checker.violations().empty());
    checker.statusReported("run-1", "running", Time(2.2), Time(2.1));
    expectOnly("went_back");
}
TEST_F(CheckerTest, DetectsCancellationWithoutRequest) {
    checker.statusReported("run-1", "cancelled", Time(1));
    expectOnly("went_back");
}

TEST_F(CheckerTest, CountsMissingResponsesFromTheEndOfFaults) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.faultsUntil(Time(100));
    checker.pollFailed("run-1", Time(174));
    EXPECT_TRUE(checker.violations().empty());
    checker.pollFailed("run-1", Time(176));
    expectOnly("forgotten");
}
TEST_F(CheckerTest, DetectsClassTeamAndLargestJobNotStarted) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.finish(Time(300));
    ASSERT_EQ(checker.violations().size(), 3U);
    for (const auto& breach : checker.violations()) EXPECT_TRUE(breach.starts_with("unserved:"));
}
TEST_F(CheckerTest, DetectsLargestJobStartedTooLate) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.started("run-1", 0, here, Time(250));
    checker.finish(Time(300));
    expectOnly("unserved");
}

}  // namespace
}  // namespace fawnwheel::sim
