// The scenarios' checker must catch a planted breach of every rule.
#include "sim/checker.h"

#include <gtest/gtest.h>

namespace fawnwheel::sim {
namespace {

class Planted : public ::testing::Test {
  protected:
    Planted() : checker({{"crew", 0, 0, 4, 0}}, Time(10)) {
        spec.id = "run-1";
        spec.team = "crew";
        spec.tasks = 3;
        spec.taskResources = {2, 0, 1};
        spec.types = {{"small"}};
        spec.zone = "a";
        checker.submitted(spec, Time(0));
    }
    void expectOnly(const std::string& rule) {
        ASSERT_EQ(checker.breaches().size(), 1U);
        EXPECT_TRUE(checker.breaches().front().starts_with(rule + ":"));
    }

    Checker checker;
    protocol::JobSpec spec;
    Place here{"m-1", "small", "a", false};
};

TEST_F(Planted, NothingOnAGoodDay) {
    checker.told("run-1", "pending", Time(0));
    for (std::uint32_t task = 0; task < 3; ++task) {
        checker.started("run-1", task, here, Time(1));
        checker.ended("run-1", task, "m-1", true, Time(1));
    }
    checker.told("run-1", "done", Time(2));
    EXPECT_TRUE(checker.breaches().empty());
}
TEST_F(Planted, RanTwice) {
    checker.started("run-1", 0, here, Time(1));
    checker.started("run-1", 0, {"m-2", "small", "a", false}, Time(2));
    expectOnly("ran_twice");
}
TEST_F(Planted, TwoLeaders) {
    checker.answered("m-1", "node-0", 70);
    checker.answered("m-1", "node-1", 71);
    checker.answered("m-2", "node-1", 70);
    checker.answered("m-1", "node-0", 72);
    EXPECT_TRUE(checker.breaches().empty());
    checker.answered("m-1", "node-0", 71);
    expectOnly("two_owners");
}
TEST_F(Planted, DisturbedByATransfer) {
    checker.watchTransfers();
    checker.changedHands("run-1", 0, "m-1", Time(5));
    checker.disturbed("run-1", 1, "m-1", "halted", Time(6));    // did not change hands
    checker.disturbed("run-1", 0, "m-1", "halted", Time(200));  // long after it
    EXPECT_TRUE(checker.breaches().empty());
    checker.disturbed("run-1", 0, "m-1", "halted", Time(30));
    expectOnly("disturbed");
}
TEST_F(Planted, ACancelledTaskIsNotDisturbed) {
    checker.watchTransfers();
    checker.changedHands("run-1", 0, "m-1", Time(5));
    checker.askedToCancel("run-1");
    checker.disturbed("run-1", 0, "m-1", "halted", Time(6));
    EXPECT_TRUE(checker.breaches().empty());
}
TEST_F(Planted, PartlyPlacedGang) {
    spec.id = "run-2";
    spec.kind = protocol::JobKind::gang;
    checker.submitted(spec, Time(0));
    checker.started("run-2", 0, here, Time(1));
    for (int second = 1; second <= 75; ++second) checker.tick(Time(second));
    EXPECT_TRUE(checker.breaches().empty());
    checker.tick(Time(77));
    expectOnly("partly_placed");
}
TEST_F(Planted, OrphanedTask) {
    const Time allowance(20);
    checker.placed("run-1", 0, "m-1", true, allowance, Time(1));
    checker.placed("run-1", 0, "m-1", false, allowance, Time(5));
    checker.placed("run-1", 0, "m-1", false, allowance, Time(25));
    EXPECT_TRUE(checker.breaches().empty());
    checker.placed("run-1", 0, "m-1", false, allowance, Time(26));
    expectOnly("orphaned");
}
TEST_F(Planted, ATaskIsNoOrphanWhileTroublesLast) {
    checker.placed("run-1", 0, "m-1", false, Time(20), Time(5));
    checker.troubledUntil(Time(40));
    checker.placed("run-1", 0, "m-1", false, Time(20), Time(55));
    EXPECT_TRUE(checker.breaches().empty());
    checker.placed("run-1", 0, "m-1", false, Time(20), Time(61));
    expectOnly("orphaned");
}
TEST_F(Planted, TooEarly) {
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
TEST_F(Planted, OnceAllAreDoneItMayStart) {
    spec.id = "run-2";
    spec.dependencies = {"run-1"};
    checker.submitted(spec, Time(0));
    for (std::uint32_t task = 0; task < 3; ++task) {
        checker.started("run-1", task, here, Time(1));
        checker.ended("run-1", task, "m-1", true, Time(2));
    }
    checker.started("run-2", 0, here, Time(2));
    EXPECT_TRUE(checker.breaches().empty());
}
TEST_F(Planted, Orphaned) {
    for (const auto& [id, dependency] :
         {std::pair("run-2", "run-1"), std::pair("run-3", "run-2")}) {
        spec.id = id;
        spec.dependencies = {dependency};
        checker.submitted(spec, Time(0));
        checker.told(id, "pending", Time(0));
    }
    checker.askedToCancel("run-1");
    checker.told("run-1", "cancelled", Time(2));
    checker.told("run-3", "pending", Time(12));
    checker.told("run-2", "cancelled", Time(12));
    // Given in time, however late it arrives.
    checker.told("run-3", "pending", Time(20), Time(11));
    EXPECT_TRUE(checker.breaches().empty());
    checker.told("run-3", "pending", Time(13));
    expectOnly("orphaned");
}
TEST_F(Planted, CancelledWithAJobThatWasDone) {
    spec.id = "run-2";
    spec.dependencies = {"run-1"};
    checker.submitted(spec, Time(0));
    for (std::uint32_t task = 0; task < 3; ++task) {
        checker.started("run-1", task, here, Time(1));
        checker.ended("run-1", task, "m-1", true, Time(2));
    }
    checker.askedToCancel("run-1");
    checker.told("run-1", "done", Time(3));
    checker.told("run-2", "cancelled", Time(4));
    expectOnly("went_back");
}
TEST_F(Planted, Quota) {
    for (std::uint32_t task = 0; task < 3; ++task) checker.started("run-1", task, here, Time(1));
    expectOnly("quota");
}
TEST_F(Planted, WrongType) {
    checker.started("run-1", 0, {"m-1", "large", "a", false}, Time(1));
    expectOnly("wrong_place");
}
TEST_F(Planted, WrongZone) {
    checker.started("run-1", 0, {"m-1", "small", "b", false}, Time(1));
    expectOnly("wrong_place");
}
TEST_F(Planted, WrongKind) {
    checker.started("run-1", 0, {"m-1", "small", "a", true}, Time(1));
    expectOnly("wrong_place");
}
TEST_F(Planted, TooManyInOneZone) {
    spec.id = "run-2";
    spec.taskResources = {0.5, 0, 1};
    spec.spread = true;
    checker.submitted(spec, Time(0));
    for (std::uint32_t task = 0; task < 3; ++task) checker.started("run-2", task, here, Time(1));
    expectOnly("wrong_place");
}
TEST_F(Planted, RanCancelled) {
    checker.askedToCancel("run-1");
    checker.started("run-1", 0, here, Time(1));
    checker.told("run-1", "cancelled", Time(2));
    checker.tick(Time(11));
    EXPECT_TRUE(checker.breaches().empty());
    checker.tick(Time(13));
    expectOnly("ran_cancelled");
}
TEST_F(Planted, GoesOnAfterItsMachineHung) {
    // The machine hangs over the confirmation and the limit; then the task is still there.
    checker.started("run-1", 0, here, Time(1));
    checker.askedToCancel("run-1");
    checker.troubledUntil(Time(30));
    checker.told("run-1", "cancelled", Time(2));
    checker.tick(Time(30));
    expectOnly("ran_cancelled");
}
TEST_F(Planted, StartsAfterConfirmedCancellation) {
    checker.started("run-1", 0, here, Time(1));
    checker.askedToCancel("run-1");
    EXPECT_EQ(checker.startsAfterCancel(), 0U);
    checker.told("run-1", "cancelled", Time(2));
    checker.started("run-1", 1, here, Time(3));
    EXPECT_EQ(checker.startsAfterCancel(), 1U);
    EXPECT_TRUE(checker.breaches().empty());
    checker.started("run-1", 2, {"m-2", "small", "a", false}, Time(13));
    EXPECT_EQ(checker.startsAfterCancel(), 2U);
    ASSERT_FALSE(checker.breaches().empty());
    EXPECT_TRUE(checker.breaches().front().starts_with("ran_cancelled:"));
}
TEST_F(Planted, LeftWaiting) {
    checker.told("run-1", "pending", Time(1));
    checker.troubledUntil(Time(50));
    checker.waiting("run-1", true, Time(10));
    checker.waiting("run-1", true, Time(140));
    EXPECT_TRUE(checker.breaches().empty());
    checker.waiting("run-1", false, Time(141));
    checker.waiting("run-1", true, Time(142));
    checker.waiting("run-1", true, Time(232));
    EXPECT_TRUE(checker.breaches().empty());
    checker.waiting("run-1", true, Time(233));
    expectOnly("left_waiting");
}
TEST_F(Planted, AcceptedThoughItCanNotRun) {
    checker.submittedBad("run-7");
    checker.told("run-7", "pending", Time(1));
    expectOnly("accepted_bad");
}
TEST_F(Planted, Forgotten) {
    checker.told("run-1", "pending", Time(1));
    checker.toldUnknown("run-1");
    expectOnly("forgotten");
}
TEST_F(Planted, ForgottenWhenSubmittedAgain) {
    checker.told("run-1", "pending", Time(1));
    checker.toldInvalid("run-1");
    expectOnly("forgotten");
}
TEST_F(Planted, ForgottenBySilence) {
    checker.told("run-1", "pending", Time(1));
    checker.pollFailed("run-1", Time(70));
    EXPECT_TRUE(checker.breaches().empty());
    checker.pollFailed("run-1", Time(77));
    expectOnly("forgotten");
}
TEST_F(Planted, Invented) {
    checker.told("run-9", "pending", Time(1));
    expectOnly("invented");
}
TEST_F(Planted, NotDone) {
    checker.told("run-1", "done", Time(1));
    expectOnly("not_done");
}
TEST_F(Planted, WentBack) {
    checker.askedToCancel("run-1");
    checker.told("run-1", "cancelled", Time(1));
    checker.told("run-1", "running", Time(2));
    expectOnly("went_back");
}
TEST_F(Planted, WentBackByWhenItWasGiven) {
    checker.askedToCancel("run-1");
    checker.told("run-1", "cancelled", Time(2));
    checker.told("run-1", "running", Time(2.1), Time(1.9));
    EXPECT_TRUE(checker.breaches().empty());
    checker.told("run-1", "running", Time(2.2), Time(2.1));
    expectOnly("went_back");
}
TEST_F(Planted, CancelledUnasked) {
    checker.told("run-1", "cancelled", Time(1));
    expectOnly("went_back");
}

TEST_F(Planted, SilentAfterTroubles) {
    checker.told("run-1", "pending", Time(1));
    checker.troubledUntil(Time(100));
    checker.pollFailed("run-1", Time(174));
    EXPECT_TRUE(checker.breaches().empty());
    checker.pollFailed("run-1", Time(176));
    expectOnly("forgotten");
}
TEST_F(Planted, ClassTeamAndLargestUnserved) {
    checker.told("run-1", "pending", Time(1));
    checker.finish(Time(300));
    ASSERT_EQ(checker.breaches().size(), 3U);
    for (const auto& breach : checker.breaches()) EXPECT_TRUE(breach.starts_with("unserved:"));
}
TEST_F(Planted, LargestBeginTooLate) {
    checker.told("run-1", "pending", Time(1));
    checker.started("run-1", 0, here, Time(250));
    checker.finish(Time(300));
    expectOnly("unserved");
}

}  // namespace
}  // namespace fawnwheel::sim
