/// @file
/// Durations shared by several classes.
#pragma once

#include <chrono>

namespace fawnwheel::coordination {

/// Upper bound on the granularity with which timers fire.
constexpr std::chrono::milliseconds timerResolution{50};

/// How long a peer's report that it cannot reach the state service remains valid. For this long
/// after an acquisition the former leader may still have renewed a worker's lease.
constexpr std::chrono::milliseconds outageConfirmationValidity{2000};

}  // namespace fawnwheel::coordination
