#include "coordination/migration/queue_average.h"

#include <algorithm>

namespace fawnwheel::coordination {

void QueueAverage::sample(double queueLength, const Tuning& tuning) {
    average_ = (1 - tuning.weight) * average_ + tuning.weight * queueLength;
}

double QueueAverage::migrationProbability(double stickinessFactor, const Tuning& tuning) const {
    if (average_ < tuning.low) return 0;
    if (average_ > tuning.high) return 1;
    const double base = (average_ - tuning.low) / (tuning.high - tuning.low) * tuning.probability;
    if (consideredSinceMigration_ * base >= 1) return 1;
    return std::clamp(base / (1 - consideredSinceMigration_ * base) * stickinessFactor, 0.0, 1.0);
}

}  // namespace fawnwheel::coordination
