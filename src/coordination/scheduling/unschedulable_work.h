/// @file
/// The work that a placement run could not place, and the reason.
#pragma once

#include <cstdint>
#include <string>

namespace fawnwheel::coordination {

/// Tasks of one job for which a partition has no machine at the moment.
struct UnschedulableWork {
    std::string job{};
    std::uint32_t tasks = 0;            ///< for a gang: tasks without a reserved machine
    bool overQuota = false;             ///< waits only because of the team's quota
    bool gang = false;                  ///< all tasks must start at the same time
    std::string zone{};                 ///< for a gang: the zone it needs; empty: any
    bool blockedByEarlierGang = false;  ///< an earlier gang is being assembled in `zone`
    /// For a gang: tasks for which no machine has free capacity. Busy machines may be reserved for
    /// some of them.
    std::uint32_t tasksWithoutFreeMachine = 0;
};

}  // namespace fawnwheel::coordination
