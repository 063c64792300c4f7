/// @file
/// Limits how many machines a controller transfers: a number per minute, and no more than a
/// fraction of the writes that the state service accepts.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "transport/interfaces.h"

namespace fawnwheel::rebalancing {

/// Greatest average rates of a controller's transfers and their writes.
struct TransferLimits {
    double transfersPerSecond = 1;
    double writesPerSecond = 1;
};

/// Token buckets for transfers and for their writes. Not thread-safe.
class TransferRateLimiter {
  public:
    /// Adds the tokens for the time since the last call; each bucket holds those of `burstSeconds`,
    /// and the transfer bucket at least one.
    void fill(transport::SteadyTime now, const TransferLimits& limits) {
        if (lastFill_) {
            const double seconds = std::chrono::duration<double>(now - *lastFill_).count();
            transfers_ = std::min(transfers_ + seconds * limits.transfersPerSecond,
                                  std::max(1.0, limits.transfersPerSecond * burstSeconds));
            writes_ = std::min(writes_ + seconds * limits.writesPerSecond,
                               limits.writesPerSecond * burstSeconds);
        }
        lastFill_ = now;
    }
    /// Whether a transfer may start; it may cost more write tokens than are left.
    [[nodiscard]] bool allows() const { return transfers_ >= 1 && writes_ > 0; }
    /// Takes the tokens of started transfers; the balance may become negative.
    void consume(std::size_t transfers, std::size_t writes) {
        transfers_ -= static_cast<double>(transfers);
        writes_ -= static_cast<double>(writes);
    }

  private:
    static constexpr double burstSeconds = 5;

    std::optional<transport::SteadyTime> lastFill_;
    double transfers_ = 1;
    double writes_ = 1;
};

}  // namespace fawnwheel::rebalancing
