#include "coordination/migration/queue_average.h"

#include <gtest/gtest.h>

namespace fawnwheel::coordination {
namespace {

TEST(QueueAverage, AveragesWithTheGivenWeight) {
    QueueAverage average;
    const QueueAverage::Tuning tuning;
    average.sample(100, tuning);
    EXPECT_DOUBLE_EQ(average.average(), 20);
    average.sample(100, tuning);
    EXPECT_DOUBLE_EQ(average.average(), 36);
}

TEST(QueueAverage, MigratesNothingBelowLowAndEverythingAboveHigh) {
    QueueAverage average;
    QueueAverage::Tuning tuning;
    tuning.weight = 1;
    average.sample(19, tuning);
    EXPECT_EQ(average.migrationProbability(1, tuning), 0);
    average.sample(201, tuning);
    EXPECT_EQ(average.migrationProbability(1, tuning), 1);
    EXPECT_EQ(average.migrationProbability(0, tuning), 1);
}

TEST(QueueAverage, ProbabilityGrowsWithTheAverageAndTheCount) {
    QueueAverage average;
    QueueAverage::Tuning tuning;
    tuning.weight = 1;
    average.sample(110, tuning);  // halfway: p_b = 0.05
    EXPECT_NEAR(average.migrationProbability(1, tuning), 0.05, 1e-9);
    EXPECT_NEAR(average.migrationProbability(0.5, tuning), 0.025, 1e-9);
    EXPECT_EQ(average.migrationProbability(0, tuning), 0);
    for (int i = 0; i < 10; ++i) average.onConsidered();
    EXPECT_NEAR(average.migrationProbability(1, tuning), 0.05 / (1 - 0.5), 1e-9);
    for (int i = 0; i < 10; ++i) average.onConsidered();
    EXPECT_EQ(average.migrationProbability(0, tuning), 1);
    average.onMigrated();
    EXPECT_NEAR(average.migrationProbability(1, tuning), 0.05, 1e-9);
}

}  // namespace
}  // namespace fawnwheel::coordination
