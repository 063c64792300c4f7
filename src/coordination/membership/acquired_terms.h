/// @file
/// The partitions that this process has acquired, each with the term of the acquisition.
#pragma once

#include <map>
#include <optional>

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Maps each partition that this process has acquired to its term of acquisition. The map is not
/// recorded; a partition's record may meanwhile name another leader or a later term.
class AcquiredTerms {
  public:
    explicit AcquiredTerms(Context& context) : context_(context) {}

    void record(PartitionId partition, std::uint64_t term) { terms_[partition] = term; }
    void erase(PartitionId partition) { terms_.erase(partition); }
    /// Erases the partitions with the highest numbers until at most `count` are left.
    void truncate(std::size_t count);

    /// The term in which this process acquired the partition; none if this process has not acquired
    /// it.
    [[nodiscard]] std::optional<std::uint64_t> termOf(PartitionId partition) const;
    /// Whether the partition's record names this node as leader, in the term in which this process
    /// acquired the partition.
    [[nodiscard]] bool isRecordedLeader(PartitionId partition) const;
    [[nodiscard]] const std::map<std::uint32_t, std::uint64_t>& all() const { return terms_; }

  private:
    Context& context_;
    std::map<std::uint32_t, std::uint64_t> terms_;  // by partition
};

}  // namespace fawnwheel::coordination
