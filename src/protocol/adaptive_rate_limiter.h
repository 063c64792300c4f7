/// @file
/// Client-side rate limiter that adapts to the throttling of a service.
#pragma once

#include <algorithm>

namespace fawnwheel::protocol {

/// Token bucket whose rate adapts to what the service accepts. It starts at this node's fair share
/// of the limit, grows while calls wait, and shrinks when the service answers 429. Not thread-safe.
class AdaptiveRateLimiter {
  public:
    /// `limit`: calls per second that the service allows to all `nodes` together.
    AdaptiveRateLimiter(double limit, double nodes)
        : minRate_(limit / nodes / 2),
          fairRate_(limit / nodes * fairFractionOfLimit),
          maxRate_(limit * maxFractionOfLimit),
          rate_(fairRate_) {}

    /// Adds the tokens of the last `seconds` and adapts the rate; `waiting`: calls are queued.
    void fill(double seconds, bool waiting);
    /// A call larger than what gathers in a second is sent on credit.
    [[nodiscard]] bool allows(double amount) const { return tokens_ >= std::min(amount, rate_); }
    /// Takes `amount` tokens; the balance may become negative.
    void consume(double amount) { tokens_ -= amount; }
    /// The service answered 429: lowers the rate and pauses briefly.
    void onThrottled();
    /// Calls per second at present.
    [[nodiscard]] double rate() const { return rate_; }

  private:
    static constexpr double fairFractionOfLimit = 0.92;
    static constexpr double maxFractionOfLimit = 0.6;

    double minRate_;
    double fairRate_;
    double maxRate_;
    double rate_;
    double tokens_ = 0;
    double secondsSinceThrottled_ = 0;  // seconds since the last 429
};

}  // namespace fawnwheel::protocol
