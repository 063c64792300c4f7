/// @file
/// The longest possible duration of a worker's lease by this node's clock.
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Added to the lease for the delay between a renewal and the time from which it is counted.
constexpr std::chrono::milliseconds workerLeaseMargin{1500};

/// The time without a renewal after which a worker is certain to have stopped all its tasks,
/// including the drift between its clock and this node's.
[[nodiscard]] inline Duration maxWorkerLease(const Context& context) {
    constexpr double maxClockRatio = 1.002;
    return toSteadyDuration(context.settings.lease * maxClockRatio) + workerLeaseMargin;
}

}  // namespace fawnwheel::coordination
