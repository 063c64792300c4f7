#include "coordination/membership/acquired_terms.h"

namespace fawnwheel::coordination {

void AcquiredTerms::truncate(std::size_t count) {
    while (terms_.size() > count) terms_.erase(std::prev(terms_.end()));
}

std::optional<std::uint64_t> AcquiredTerms::termOf(PartitionId partition) const {
    const auto found = terms_.find(partition);
    if (found == terms_.end()) return std::nullopt;
    return found->second;
}

bool AcquiredTerms::isRecordedLeader(PartitionId partition) const {
    const auto term = termOf(partition);
    if (!term) return false;
    auto clusterState = context_.clusterState.lock();
    const auto& record = clusterState->partitions[partition];
    return record.leader == context_.settings.name && record.term == *term;
}

}  // namespace fawnwheel::coordination
