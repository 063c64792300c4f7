/// @file
/// A partition's leadership, and its share of the teams' quotas.
#pragma once

#include <cstdint>
#include <string>

namespace fawnwheel::storage {

/// A partition's number: the index of the node that leads it by preference, in the order of names.
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

/// Quota that a partition is giving away; the transaction has no outcome yet.
struct OutgoingQuota {
    PartitionId partition = 0;
    QuotaShare quota;
};

}  // namespace fawnwheel::storage
