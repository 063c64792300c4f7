// How many machines a controller may give away: so many a minute, and no more than a partition of
// the changes that the state service takes.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "transport/interfaces.h"

namespace fawnwheel::rebalancing {

struct TransferLimits {
    double transfersPerSecond = 1;
    double writesPerSecond = 1;
};

class TransferRateLimiter {
  public:
    // What has gathered since the last call, up to a few seconds' worth.
    void fill(transport::SteadyTime now, const TransferLimits& limits) {
        if (filled_) {
            const double seconds = std::chrono::duration<double>(now - *filled_).count();
            transfers_ = std::min(transfers_ + seconds * limits.transfersPerSecond,
                                  std::max(1.0, limits.transfersPerSecond * mostSeconds));
            writes_ = std::min(writes_ + seconds * limits.writesPerSecond,
                               limits.writesPerSecond * mostSeconds);
        }
        filled_ = now;
    }
    // One that takes more than has gathered is carried out on credit.
    [[nodiscard]] bool allows() const { return transfers_ >= 1 && writes_ > 0; }
    void consume(std::size_t transfers, std::size_t writes) {
        transfers_ -= static_cast<double>(transfers);
        writes_ -= static_cast<double>(writes);
    }

  private:
    static constexpr double mostSeconds = 5;

    std::optional<transport::SteadyTime> filled_;
    double transfers_ = 1;
    double writes_ = 1;
};

}  // namespace fawnwheel::rebalancing
