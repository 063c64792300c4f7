#include "storage/deleted_machines.h"

namespace fawnwheel::storage {

void DeletedMachines::insert(const std::string& id) {
    if (!known_.insert(id).second) return;
    order_.push_back(id);
    if (order_.size() <= std::max(minKept, maxMachines_ * 2)) return;
    // Drops the name inserted first, not the smallest: the smallest name can be the one just
    // inserted, and an outdated list would then bring that machine back (DropsTheOldestName).
    known_.erase(order_.front());
    order_.pop_front();
}

}  // namespace fawnwheel::storage
