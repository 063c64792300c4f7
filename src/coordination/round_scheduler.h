/// @file
/// Interface for requesting a scheduling round from the controller.
#pragma once

namespace fawnwheel::coordination {

/// Implemented by the controller. Modules call it after a change that may allow tasks to start.
class RoundScheduler {
  public:
    RoundScheduler() = default;
    RoundScheduler(const RoundScheduler&) = delete;
    RoundScheduler& operator=(const RoundScheduler&) = delete;
    virtual ~RoundScheduler() = default;

    /// Schedules one round after a short delay. Further calls before that round are covered by it.
    virtual void scheduleRound() = 0;
};

}  // namespace fawnwheel::coordination
