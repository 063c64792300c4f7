/// @file
/// How long a worker's lease can last, by this node's clock.
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Beyond the lease itself: delays between a renewal and the moment at which it is dated.
constexpr std::chrono::milliseconds workerLeaseMargin{1500};

/// After this much time without a renewal a worker has surely stopped all its tasks, whatever the
/// drift between its clock and this node's.
[[nodiscard]] inline Duration maxWorkerLease(const Context& context) {
    constexpr double prolongedByDrift = 1.002;
    return toSteadyDuration(context.settings.lease * prolongedByDrift) + workerLeaseMargin;
}

}  // namespace fawnwheel::coordination
