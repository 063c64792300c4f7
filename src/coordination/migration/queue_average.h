/// @file
/// Runtime adaptation as in the paper: the average length of a ready queue and the resulting
/// migration probability.
#pragma once

namespace fawnwheel::coordination {

/// Exponentially weighted average of a ready queue's length, with a migration probability like that
/// of random early detection (RED).
class QueueAverage {
  public:
    struct Tuning {
        double weight = 0.2;       // of the latest sample
        double low = 20;           // tasks; below it nothing migrates
        double high = 200;         // tasks; above it everything that is ready migrates
        double probability = 0.1;  // P: greatest base probability
    };

    /// Adds a sample of the queue's length, in tasks.
    void sample(double queueLength, const Tuning& tuning);
    /// Probability of migrating one job, given its stickiness factor from 0 (stay) to 1 (migrate
    /// freely).
    [[nodiscard]] double migrationProbability(double stickinessFactor, const Tuning& tuning) const;
    /// Counts a job that was considered for migration.
    void onConsidered() { ++consideredSinceMigration_; }
    /// Resets the count of considered jobs after a migration.
    void onMigrated() { consideredSinceMigration_ = 0; }
    [[nodiscard]] double average() const { return average_; }
    [[nodiscard]] bool isAboveHigh(const Tuning& tuning) const { return average_ > tuning.high; }

  private:
    double average_ = 0;
    double consideredSinceMigration_ = 0;  // jobs considered since the last migration
};

}  // namespace fawnwheel::coordination
