#include "storage/deleted_machines.h"

namespace fawnwheel::storage {

void DeletedMachines::insert(const std::string& id) {
    if (!known_.insert(id).second) return;
    order_.push_back(id);
    if (order_.size() <= std::max(minKept, maxMachines_ * 2)) return;
    // The one that went first, whatever its name: the smallest name was once forgotten instead, and
    // that could be the one just added, which an outdated list then brought back
    // (ForgetsTheOneThatWentFirst).
    known_.erase(order_.front());
    order_.pop_front();
}

}  // namespace fawnwheel::storage
