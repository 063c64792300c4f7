// The scenarios' checker must catch a planted breach of every rule.
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

TEST_F(CheckerTest, NothingOnAGoodDay) {
    checker.statusReported("run-1", "pending", Time(0));
    for (std::uint32_t task = 0; task < 3; ++task) {
        checker.started("run-1", task, here, Time(1));
        checker.ended("run-1", task, "m-1", true, Time(1));
    }
    checker.statusReported("run-1", "done", Time(2));
    EXPECT_TRUE(checker.violations().empty());
}
TEST_F(CheckerTest, RanTwice) {
    checker.started("run-1", 0, here, Time(1));
    checker.started("run-1", 0, {"m-2", "small", "a", false}, Time(2));
    expectOnly("ran_twice");
}
TEST_F(CheckerTest, TwoLeaders) {
    checker.responseAccepted("m-1", "node-0", 70);
    checker.responseAccepted("m-1", "node-1", 71);
    checker.responseAccepted("m-2", "node-1", 70);
    checker.responseAccepted("m-1", "node-0", 72);
    EXPECT_TRUE(checker.violations().empty());
    checker.responseAccepted("m-1", "node-0", 71);
    expectOnly("two_owners");
}
TEST_F(CheckerTest, DisturbedByATransfer) {
    checker.forbidTransferDisruptions();
    checker.machineTransferred("run-1", 0, "m-1", Time(5));
    checker.endedIncomplete("run-1", 1, "m-1", "halted", Time(6));    // did not change hands
    checker.endedIncomplete("run-1", 0, "m-1", "halted", Time(200));  // long after it
    EXPECT_TRUE(checker.violations().empty());
    checker.endedIncomplete("run-1", 0, "m-1", "halted", Time(30));
    expectOnly("disturbed");
}
TEST_F(CheckerTest, ACancelledTaskIsNotDisturbed) {
    checker.forbidTransferDisruptions();
    checker.machineTransferred("run-1", 0, "m-1", Time(5));
    checker.cancelRequested("run-1");
    checker.endedIncomplete("run-1", 0, "m-1", "halted", Time(6));
    EXPECT_TRUE(checker.violations().empty());
}
TEST_F(CheckerTest, PartlyPlacedGang) {
    spec.id = "run-2";
    spec.kind = protocol::JobKind::gang;
    checker.submitted(spec, Time(0));
    checker.started("run-2", 0, here, Time(1));
    for (int second = 1; second <= 75; ++second) checker.tick(Time(second));
    EXPECT_TRUE(checker.violations().empty());
    checker.tick(Time(77));
    expectOnly("partly_placed");
}
TEST_F(CheckerTest, OrphanedTask) {
    const Time allowance(20);
    checker.observePlacement("run-1", 0, "m-1", true, allowance, Time(1));
    checker.observePlacement("run-1", 0, "m-1", false, allowance, Time(5));
    checker.observePlacement("run-1", 0, "m-1", false, allowance, Time(25));
    EXPECT_TRUE(checker.violations().empty());
    checker.observePlacement("run-1", 0, "m-1", false, allowance, Time(26));
    expectOnly("orphaned");
}
TEST_F(CheckerTest, ATaskIsNoOrphanWhileTroublesLast) {
    checker.observePlacement("run-1", 0, "m-1", false, Time(20), Time(5));
    checker.faultsUntil(Time(40));
    checker.observePlacement("run-1", 0, "m-1", false, Time(20), Time(55));
    EXPECT_TRUE(checker.violations().empty());
    checker.observePlacement("run-1", 0, "m-1", false, Time(20), Time(61));
    expectOnly("orphaned");
}
TEST_F(CheckerTest, TooEarly) {
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
TEST_F(CheckerTest, OnceAllAreDoneItMayStart) {
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
TEST_F(CheckerTest, Orphaned) {
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
    // Given in time, however late it arrives.
    checker.statusReported("run-3", "pending", Time(20), Time(11));
    EXPECT_TRUE(checker.violations().empty());
    checker.statusReported("run-3", "pending", Time(13));
    expectOnly("orphaned");
}
TEST_F(CheckerTest, CancelledWithAJobThatWasDone) {
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
TEST_F(CheckerTest, Quota) {
    for (std::uint32_t task = 0; task < 3; ++task) checker.started("run-1", task, here, Time(1));
    expectOnly("quota");
}
TEST_F(CheckerTest, WrongType) {
    checker.started("run-1", 0, {"m-1", "large", "a", false}, Time(1));
    expectOnly("wrong_place");
}
TEST_F(CheckerTest, WrongZone) {
    checker.started("run-1", 0, {"m-1", "small", "b", false}, Time(1));
    expectOnly("wrong_place");
}
TEST_F(CheckerTest, WrongKind) {
    checker.started("run-1", 0, {"m-1", "small", "a", true}, Time(1));
    expectOnly("wrong_place");
}
TEST_F(CheckerTest, TooManyInOneZone) {
    spec.id = "run-2";
    spec.taskResources = {0.5, 0, 1};
    spec.spread = true;
    checker.submitted(spec, Time(0));
    for (std::uint32_t task = 0; task < 3; ++task) checker.started("run-2", task, here, Time(1));
    expectOnly("wrong_place");
}
TEST_F(CheckerTest, RanCancelled) {
    checker.cancelRequested("run-1");
    checker.started("run-1", 0, here, Time(1));
    checker.statusReported("run-1", "cancelled", Time(2));
    checker.tick(Time(11));
    EXPECT_TRUE(checker.violations().empty());
    checker.tick(Time(13));
    expectOnly("ran_cancelled");
}
TEST_F(CheckerTest, GoesOnAfterItsMachineHung) {
    // The machine hangs over the confirmation and the limit; then the task is still there.
    checker.started("run-1", 0, here, Time(1));
    checker.cancelRequested("run-1");
    checker.faultsUntil(Time(30));
    checker.statusReported("run-1", "cancelled", Time(2));
    checker.tick(Time(30));
    expectOnly("ran_cancelled");
}
TEST_F(CheckerTest, StartsAfterConfirmedCancellation) {
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
TEST_F(CheckerTest, LeftWaiting) {
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
TEST_F(CheckerTest, AcceptedThoughItCanNotRun) {
    checker.submittedInvalid("run-7");
    checker.statusReported("run-7", "pending", Time(1));
    expectOnly("accepted_bad");
}
TEST_F(CheckerTest, Forgotten) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.reportedUnknown("run-1");
    expectOnly("forgotten");
}
TEST_F(CheckerTest, ForgottenWhenSubmittedAgain) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.reportedInvalid("run-1");
    expectOnly("forgotten");
}
TEST_F(CheckerTest, ForgottenBySilence) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.pollFailed("run-1", Time(70));
    EXPECT_TRUE(checker.violations().empty());
    checker.pollFailed("run-1", Time(77));
    expectOnly("forgotten");
}
TEST_F(CheckerTest, Invented) {
    checker.statusReported("run-9", "pending", Time(1));
    expectOnly("invented");
}
TEST_F(CheckerTest, NotDone) {
    checker.statusReported("run-1", "done", Time(1));
    expectOnly("not_done");
}
TEST_F(CheckerTest, WentBack) {
    checker.cancelRequested("run-1");
    checker.statusReported("run-1", "cancelled", Time(1));
    checker.statusReported("run-1", "running", Time(2));
    expectOnly("went_back");
}
TEST_F(CheckerTest, WentBackByWhenItWasGiven) {
    checker.cancelRequested("run-1");
    checker.statusReported("run-1", "cancelled", Time(2));
    checker.statusReported("run-1", "running", Time(2.1), Time(1.9));
    EXPECT_TRUE(checker.violations().empty());
    checker.statusReported("run-1", "running", Time(2.2), Time(2.1));
    expectOnly("went_back");
}
TEST_F(CheckerTest, CancelledUnasked) {
    checker.statusReported("run-1", "cancelled", Time(1));
    expectOnly("went_back");
}

TEST_F(CheckerTest, SilentAfterTroubles) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.faultsUntil(Time(100));
    checker.pollFailed("run-1", Time(174));
    EXPECT_TRUE(checker.violations().empty());
    checker.pollFailed("run-1", Time(176));
    expectOnly("forgotten");
}
TEST_F(CheckerTest, ClassTeamAndLargestUnserved) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.finish(Time(300));
    ASSERT_EQ(checker.violations().size(), 3U);
    for (const auto& breach : checker.violations()) EXPECT_TRUE(breach.starts_with("unserved:"));
}
TEST_F(CheckerTest, LargestBeginTooLate) {
    checker.statusReported("run-1", "pending", Time(1));
    checker.started("run-1", 0, here, Time(250));
    checker.finish(Time(300));
    expectOnly("unserved");
}

}  // namespace
}  // namespace fawnwheel::sim
