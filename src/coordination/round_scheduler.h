/// @file
/// How modules ask for a scheduling round.
#pragma once

namespace fawnwheel::coordination {

/// Runs a round soon. Many calls before it starts make one round.
class RoundScheduler {
  public:
    virtual ~RoundScheduler() = default;
    virtual void scheduleRound() = 0;
};

}  // namespace fawnwheel::coordination
