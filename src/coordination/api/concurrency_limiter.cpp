#include "coordination/api/concurrency_limiter.h"

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

// The limit shrinks when the latency exceeds the fastest one by this factor and the tolerance.
constexpr double maxLatencyRatio = 3.0;
constexpr double latencyToleranceSeconds = 0.1;
constexpr double fastestLatencyGrowth = 1.002;  // factor per request
constexpr double decreaseFactor = 0.95;

}  // namespace

void ConcurrencyLimiter::onRequestFinished(transport::Duration latency) {
    const double seconds = std::chrono::duration<double>(latency).count();
    fastestLatencySeconds_ = fastestLatencySeconds_ <= 0
                                 ? seconds
                                 : std::min(fastestLatencySeconds_ * fastestLatencyGrowth, seconds);
    if (seconds > fastestLatencySeconds_ * maxLatencyRatio + latencyToleranceSeconds)
        limit_ = std::max(minLimit, limit_ * decreaseFactor);
    else if (static_cast<double>(active_) > limit_ / 2)
        limit_ = std::min(maxLimit, limit_ + 1);
    if (active_ > 0) --active_;
}

}  // namespace fawnwheel::coordination
