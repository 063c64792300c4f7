/// @file
/// The names of machines that are gone for certain.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace fawnwheel::storage {

/// Names of machines that are gone, as many as an outdated list of the cloud may still show: at
/// least twice as many as existed at the same time.
class DeletedMachines {
  public:
    void insert(const std::string& id);
    /// So many machines are known at this time.
    void recordCount(std::size_t machines) { maxMachines_ = std::max(maxMachines_, machines); }
    [[nodiscard]] bool contains(const std::string& id) const { return known_.contains(id); }

  private:
    static constexpr std::size_t minKept = 4000;

    std::size_t maxMachines_ = 0;
    std::deque<std::string> order_;  // as they were inserted
    std::unordered_set<std::string> known_;
};

}  // namespace fawnwheel::storage
