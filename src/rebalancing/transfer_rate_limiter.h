/// @file
/// How many machines a controller may give away: so many a minute, and no more than a fraction
/// of the writes that the state service accepts.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "transport/interfaces.h"

namespace fawnwheel::rebalancing {

/// Rates that a controller's transfers must not exceed.
struct TransferLimits {
    double transfersPerSecond = 1;
    double writesPerSecond = 1;
};

/// Token buckets for transfers and for the writes that they cost. Not thread-safe.
class TransferRateLimiter {
  public:
    /// Adds the tokens since the last call, up to a few seconds' worth.
    void fill(transport::SteadyTime now, const TransferLimits& limits) {
        if (filled_) {
            const double seconds = std::chrono::duration<double>(now - *filled_).count();
            transfers_ = std::min(transfers_ + seconds * limits.transfersPerSecond,
                                  std::max(1.0, limits.transfersPerSecond * burstSeconds));
            writes_ = std::min(writes_ + seconds * limits.writesPerSecond,
                               limits.writesPerSecond * burstSeconds);
        }
        filled_ = now;
    }
    /// A transfer that costs more tokens than there are is carried out on credit.
    [[nodiscard]] bool allows() const { return transfers_ >= 1 && writes_ > 0; }
    /// Takes tokens for transfers that are carried out; the balance may become negative.
    void consume(std::size_t transfers, std::size_t writes) {
        transfers_ -= static_cast<double>(transfers);
        writes_ -= static_cast<double>(writes);
    }

  private:
    static constexpr double burstSeconds = 5;

    std::optional<transport::SteadyTime> filled_;
    double transfers_ = 1;
    double writes_ = 1;
};

}  // namespace fawnwheel::rebalancing
