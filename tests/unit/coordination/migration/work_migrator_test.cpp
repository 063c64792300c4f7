#include "coordination/migration/work_migrator.h"

#include <gtest/gtest.h>

namespace fawnwheel::coordination {
namespace {

TEST(QueueAverage, AveragesWithTheGivenWeight) {
    QueueAverage watch;
    const QueueAverage::Tuning tuning;
    watch.sample(100, tuning);
    EXPECT_DOUBLE_EQ(watch.average(), 20);
    watch.sample(100, tuning);
    EXPECT_DOUBLE_EQ(watch.average(), 36);
}

TEST(QueueAverage, TransfersNothingBelowLowAndAllAboveHigh) {
    QueueAverage watch;
    QueueAverage::Tuning tuning;
    tuning.weight = 1;
    watch.sample(19, tuning);
    EXPECT_EQ(watch.moveProbability(1, tuning), 0);
    watch.sample(201, tuning);
    EXPECT_EQ(watch.moveProbability(1, tuning), 1);
    EXPECT_EQ(watch.moveProbability(0, tuning), 1);
}

TEST(QueueAverage, ProbabilityGrowsWithTheAverageAndTheCount) {
    QueueAverage watch;
    QueueAverage::Tuning tuning;
    tuning.weight = 1;
    watch.sample(110, tuning);  // halfway: p_b = 0.05
    EXPECT_NEAR(watch.moveProbability(1, tuning), 0.05, 1e-9);
    EXPECT_NEAR(watch.moveProbability(0.5, tuning), 0.025, 1e-9);
    EXPECT_EQ(watch.moveProbability(0, tuning), 0);
    for (int i = 0; i < 10; ++i) watch.considered();
    EXPECT_NEAR(watch.moveProbability(1, tuning), 0.05 / (1 - 0.5), 1e-9);
    for (int i = 0; i < 10; ++i) watch.considered();
    EXPECT_EQ(watch.moveProbability(0, tuning), 1);
    watch.moved();
    EXPECT_NEAR(watch.moveProbability(1, tuning), 0.05, 1e-9);
}

}  // namespace
}  // namespace fawnwheel::coordination
