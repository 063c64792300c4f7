#include "coordination/api/concurrency_limiter.h"

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

constexpr double toleratedSlowdown = 3.0;  // times the fastest
constexpr double slackSeconds = 0.1;
constexpr double fastestGrowth = 1.002;  // per request
constexpr double decrease = 0.95;

}  // namespace

void ConcurrencyLimiter::end(transport::Duration latency) {
    const double seconds = std::chrono::duration<double>(latency).count();
    fastest_ = fastest_ <= 0 ? seconds : std::min(fastest_ * fastestGrowth, seconds);
    if (seconds > fastest_ * toleratedSlowdown + slackSeconds)
        limit_ = std::max(minLimit, limit_ * decrease);
    else if (static_cast<double>(active_) > limit_ / 2)
        limit_ = std::min(maxLimit, limit_ + 1);
    if (active_ > 0) --active_;
}

}  // namespace fawnwheel::coordination
