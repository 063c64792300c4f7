/// @file
/// A partition's leadership, and its share of the teams' quotas.
#pragma once

#include <cstdint>
#include <string>

namespace fawnwheel::storage {

/// A partition's number: the index of its preferred leader among the nodes sorted by name.
using PartitionId = std::uint32_t;

/// A partition's record.
struct Partition {
    std::string leader;  ///< name of a node
    std::uint64_t term = 0;
    std::uint64_t version = 0;  ///< 0: no record is known
};

/// A partition's share of a team's limit over all partitions.
struct QuotaShare {
    double cpus = 0;
    double gpus = 0;
};

/// Quota that a partition is transferring to another one in a transaction without an outcome yet.
struct OutgoingQuota {
    PartitionId partition = 0;
    QuotaShare quota;
};

}  // namespace fawnwheel::storage
