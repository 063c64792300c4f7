/// @file
/// The runtime adaptation of the paper: the average of a ready queue and the probability of a
/// migration.
#pragma once

namespace fawnwheel::coordination {

/// Exponentially weighted average of a ready queue's length, with a RED-like migration probability.
class QueueAverage {
  public:
    struct Tuning {
        double weight = 0.2;       // of the latest sample
        double low = 20;           // tasks; below it nothing migrates
        double high = 200;         // tasks; above it everything that is ready migrates
        double probability = 0.1;  // P, the largest base probability
    };

    /// Takes a sample of the queue's length, in tasks.
    void sample(double queueLength, const Tuning& tuning);
    /// Probability of migrating one job, given its stickiness factor from 0 (stays) to 1 (free to
    /// go).
    [[nodiscard]] double migrationProbability(double stickinessFactor, const Tuning& tuning) const;
    /// A job has been considered for migration.
    void onConsidered() { ++count_; }
    /// A job has migrated: the count since the last migration starts anew.
    void onMigrated() { count_ = 0; }
    [[nodiscard]] double average() const { return average_; }
    [[nodiscard]] bool aboveHigh(const Tuning& tuning) const { return average_ > tuning.high; }

  private:
    double average_ = 0;
    double count_ = 0;  // jobs considered since the last migration
};

}  // namespace fawnwheel::coordination
