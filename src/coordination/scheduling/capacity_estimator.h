/// @file
/// How many tasks of a job a partition's machines could run, for decisions about migration.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/scheduling/fragmentation_guard.h"

namespace fawnwheel::coordination {

/// Estimates the capacity of any partition from its records. Whether machines send heartbeats is
/// known for this process's own partitions only.
class CapacityEstimator {
  public:
    CapacityEstimator(Context& context, Membership& membership)
        : context_(context), membership_(membership) {}

    /// How many more tasks like the job's could start there right now, up to `limit`. For a gang
    /// all of its tasks or none.
    [[nodiscard]] std::uint32_t capacityFor(const Job& job, PartitionId partition,
                                            std::uint32_t limit);
    /// Whether any machine of the partition, were it empty, could run one task of the job.
    [[nodiscard]] bool isFeasible(const Job& job, PartitionId partition);

  private:
    [[nodiscard]] std::uint32_t gangCapacity(const ClusterState& clusterState,
                                             PartitionId partition, const Job& job) const;

    Context& context_;
    Membership& membership_;
};

}  // namespace fawnwheel::coordination
