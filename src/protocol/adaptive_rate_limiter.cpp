#include "protocol/adaptive_rate_limiter.h"

namespace fawnwheel::protocol {

namespace {

constexpr double secondsBeforeGrowth = 1;        // time without a 429 before the rate grows
constexpr double growthFractionPerSecond = 0.2;  // as a fraction of the fair rate
constexpr double shrinkFactor = 0.8;
constexpr double pauseSecondsAfterThrottle = 0.2;

}  // namespace

void AdaptiveRateLimiter::refill(double seconds, bool waiting) {
    secondsSinceThrottled_ += seconds;
    if (waiting && secondsSinceThrottled_ > secondsBeforeGrowth)
        rate_ = std::min(maxRate_, rate_ + fairRate_ * growthFractionPerSecond * seconds);
    else if (!waiting && rate_ > fairRate_)
        rate_ = std::max(fairRate_, rate_ - fairRate_ * growthFractionPerSecond * seconds);
    tokens_ = std::min(tokens_ + seconds * rate_, std::max(1.0, rate_));
}

void AdaptiveRateLimiter::onThrottled() {
    secondsSinceThrottled_ = 0;
    rate_ = std::max(minRate_, rate_ * shrinkFactor);
    tokens_ = std::min(tokens_, -rate_ * pauseSecondsAfterThrottle);
}

}  // namespace fawnwheel::protocol
