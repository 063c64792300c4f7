/// @file
/// What a placement run could not place, and why.
#pragma once

#include <cstdint>
#include <string>

namespace fawnwheel::coordination {

/// Tasks of one job for which a partition has no machine at present.
struct UnschedulableWork {
    std::string job{};
    std::uint32_t tasks = 0;            ///< of a gang: those for which no machine is reserved
    bool overQuota = false;             ///< only the team's limit keeps it waiting
    bool gang = false;                  ///< its tasks need machines at the same time
    std::string zone{};                 ///< of a gang: the zone it needs; empty: any
    bool blockedByEarlierGang = false;  ///< a gang that precedes it is assembled in that zone
    /// Of a gang: those for which no machine has free capacity; busy machines may be reserved for
    /// some of them.
    std::uint32_t tasksWithoutFreeMachine = 0;
};

}  // namespace fawnwheel::coordination
