// How many machines a controller may give away: so many a minute, and no more than a partition of
// the changes that the state service takes.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "transport/interfaces.h"

namespace fawnwheel::sharing {

struct MoveLimits {
    double movesPerSecond = 1;
    double changesPerSecond = 1;
};

class MoveBudget {
  public:
    // What has gathered since the last call, up to a few seconds' worth.
    void fill(transport::SteadyTime now, const MoveLimits& limits) {
        if (filled_) {
            const double seconds = std::chrono::duration<double>(now - *filled_).count();
            moves_ = std::min(moves_ + seconds * limits.movesPerSecond,
                              std::max(1.0, limits.movesPerSecond * mostSeconds));
            changes_ = std::min(changes_ + seconds * limits.changesPerSecond,
                                limits.changesPerSecond * mostSeconds);
        }
        filled_ = now;
    }
    // One that takes more than has gathered is carried out on credit.
    [[nodiscard]] bool allows() const { return moves_ >= 1 && changes_ > 0; }
    void consume(std::size_t moves, std::size_t writes) {
        moves_ -= static_cast<double>(moves);
        changes_ -= static_cast<double>(writes);
    }

  private:
    static constexpr double mostSeconds = 5;

    std::optional<transport::SteadyTime> filled_;
    double moves_ = 1;
    double changes_ = 1;
};

}  // namespace fawnwheel::sharing
