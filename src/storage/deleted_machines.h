/// @file
/// The names of machines that certainly no longer exist.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace fawnwheel::storage {

/// The most recent names of deleted machines, which an outdated list from the cloud may still show.
/// Keeps at least twice as many names as there were machines at any one time.
class DeletedMachines {
  public:
    void insert(const std::string& id);
    /// Reports the number of machines known at present; the capacity follows the maximum.
    void observeMachineCount(std::size_t machines) {
        maxMachines_ = std::max(maxMachines_, machines);
    }
    [[nodiscard]] bool contains(const std::string& id) const { return known_.contains(id); }

  private:
    static constexpr std::size_t minKept = 4000;

    std::size_t maxMachines_ = 0;
    std::deque<std::string> order_;  // oldest first
    std::unordered_set<std::string> known_;
};

}  // namespace fawnwheel::storage
