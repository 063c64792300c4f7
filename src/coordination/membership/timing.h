/// @file
/// Durations that several classes of the membership module agree on.
#pragma once

#include <chrono>

namespace fawnwheel::coordination {

/// Timers fire in steps of at most this.
constexpr std::chrono::milliseconds timerResolution{50};

/// How long a peer's statement that it cannot reach the state service counts. After an acquisition
/// the former leader may still have renewed a worker's lease for this long.
constexpr std::chrono::milliseconds outageConfirmationValidity{2000};

}  // namespace fawnwheel::coordination
