/// @file
/// Client-side rate limiter that adapts to throttling by a service.
#pragma once

#include <algorithm>

namespace fawnwheel::protocol {

/// Token bucket whose rate adapts to what the service accepts. The rate starts at this node's fair
/// share of the limit, grows while calls are queued, and shrinks when the service answers 429. Not
/// thread-safe.
class AdaptiveRateLimiter {
  public:
    /// `limit` is the number of calls per second that the service allows to all `nodes` together.
    AdaptiveRateLimiter(double limit, double nodes)
        : minRate_(limit / nodes / 2),
          fairRate_(limit / nodes * fairFractionOfLimit),
          maxRate_(limit * maxFractionOfLimit),
          rate_(fairRate_) {}

    /// Adds the tokens of the last `seconds` and adapts the rate. `waiting` is true if calls are
    /// queued.
    void refill(double seconds, bool waiting);
    /// True if a call of `amount` tokens may be sent now. A call that needs more tokens than one
    /// second provides is sent on credit.
    [[nodiscard]] bool allows(double amount) const { return tokens_ >= std::min(amount, rate_); }
    /// Takes `amount` tokens; the balance may become negative.
    void consume(double amount) { tokens_ -= amount; }
    /// Lowers the rate and pauses briefly, after the service has answered 429.
    void onThrottled();
    /// The current rate in calls per second.
    [[nodiscard]] double rate() const { return rate_; }

  private:
    static constexpr double fairFractionOfLimit = 0.92;
    static constexpr double maxFractionOfLimit = 0.6;

    double minRate_;
    double fairRate_;
    double maxRate_;
    double rate_;
    double tokens_ = 0;
    double secondsSinceThrottled_ = 0;  // time since the last 429
};

}  // namespace fawnwheel::protocol
