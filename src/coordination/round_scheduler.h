/// @file
/// Asks the controller for a scheduling round.
#pragma once

namespace fawnwheel::coordination {

/// Implemented by the controller; modules call it when something has changed that may let work
/// start.
class RoundScheduler {
  public:
    RoundScheduler() = default;
    RoundScheduler(const RoundScheduler&) = delete;
    RoundScheduler& operator=(const RoundScheduler&) = delete;
    virtual ~RoundScheduler() = default;

    /// Plans one round a little later. Calls until then are covered by that round.
    virtual void scheduleRound() = 0;
};

}  // namespace fawnwheel::coordination
