#include "protocol/adaptive_rate_limiter.h"

namespace fawnwheel::protocol {

namespace {

constexpr double secondsBeforeGrowth = 1;  // seconds without a 429
constexpr double growthPerSecond = 0.2;    // of the fair share
constexpr double shrinkFactor = 0.8;
constexpr double pauseAfterThrottle = 0.2;  // seconds

}  // namespace

void AdaptiveRateLimiter::fill(double seconds, bool waiting) {
    secondsSinceThrottled_ += seconds;
    if (waiting && secondsSinceThrottled_ > secondsBeforeGrowth)
        rate_ = std::min(maxRate_, rate_ + fairRate_ * growthPerSecond * seconds);
    else if (!waiting && rate_ > fairRate_)
        rate_ = std::max(fairRate_, rate_ - fairRate_ * growthPerSecond * seconds);
    tokens_ = std::min(tokens_ + seconds * rate_, std::max(1.0, rate_));
}

void AdaptiveRateLimiter::onThrottled() {
    secondsSinceThrottled_ = 0;
    rate_ = std::max(minRate_, rate_ * shrinkFactor);
    tokens_ = std::min(tokens_, -rate_ * pauseAfterThrottle);
}

}  // namespace fawnwheel::protocol
