/// @file
/// Limits how many users' requests are in progress by their measured latency.
#pragma once

#include "transport/interfaces.h"

namespace fawnwheel::coordination {

/// An additive-increase, multiplicative-decrease limit: it grows while responses are fast and
/// shrinks when they take several times as long as the fastest seen lately.
class ConcurrencyLimiter {
  public:
    /// Whether another request has to be turned away.
    [[nodiscard]] bool full() const { return static_cast<double>(active_) >= limit_; }
    /// A request has been let in; each call is followed by one call of `end`.
    void begin() { ++active_; }
    /// A request has been answered after this long.
    void end(transport::Duration latency);
    [[nodiscard]] double limit() const { return limit_; }

  private:
    static constexpr double minLimit = 16;
    static constexpr double maxLimit = 512;

    std::size_t active_ = 0;
    double limit_ = 64;
    double fastest_ = 0;  // seconds; rises slowly, so that it follows a change of conditions
};

}  // namespace fawnwheel::coordination
