/// @file
/// Limits the number of users' requests in progress according to their measured latency.
#pragma once

#include "transport/interfaces.h"

namespace fawnwheel::coordination {

/// An additive-increase, multiplicative-decrease limit: it grows while responses are fast and
/// shrinks when they take several times as long as the fastest recent one.
class ConcurrencyLimiter {
  public:
    /// Whether another request has to be rejected.
    [[nodiscard]] bool isFull() const { return static_cast<double>(active_) >= limit_; }
    /// A request has been admitted. Each call must be followed by one call of `onRequestFinished`.
    void onRequestStarted() { ++active_; }
    /// A request has been answered after this latency.
    void onRequestFinished(transport::Duration latency);
    [[nodiscard]] double limit() const { return limit_; }

  private:
    static constexpr double minLimit = 16;
    static constexpr double maxLimit = 512;

    std::size_t active_ = 0;
    double limit_ = 64;
    double fastestLatencySeconds_ = 0;  // rises slowly to follow changes of conditions
};

}  // namespace fawnwheel::coordination
