/// @file
/// The partitions that this process has acquired, each with the term of the acquisition.
#pragma once

#include <map>
#include <optional>

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Terms of acquisition by partition. Known to this process only; the records may have moved on.
class AcquiredTerms {
  public:
    explicit AcquiredTerms(Context& context) : context_(context) {}

    void record(PartitionId partition, std::uint64_t term) { terms_[partition] = term; }
    void forget(PartitionId partition) { terms_.erase(partition); }
    /// Forgets the partitions of the highest numbers until no more than `count` are left.
    void truncate(std::size_t count);

    /// The term in which this process acquired the partition; none if it has not.
    [[nodiscard]] std::optional<std::uint64_t> termOf(PartitionId partition) const;
    /// The records name this node as the partition's leader, in the term of its acquisition by this
    /// process.
    [[nodiscard]] bool isRecordedLeader(PartitionId partition) const;
    [[nodiscard]] const std::map<std::uint32_t, std::uint64_t>& all() const { return terms_; }

  private:
    Context& context_;
    std::map<std::uint32_t, std::uint64_t> terms_;  // by partition
};

}  // namespace fawnwheel::coordination
