/// @file
/// Estimates how many tasks of a job a partition's machines could run. Used to decide on migration.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/scheduling/fragmentation_guard.h"

namespace fawnwheel::coordination {

/// Estimates the capacity of any partition from its records. For partitions led by this process,
/// machines that accept no tasks (for example for missed heartbeats) are left out. This process
/// does not receive the heartbeats of other partitions' machines.
class CapacityEstimator {
  public:
    CapacityEstimator(Context& context, Membership& membership)
        : context_(context), membership_(membership) {}

    /// How many more tasks of the job's size could start on the partition right now, up to `limit`.
    /// For a gang: all of its tasks, or 0.
    [[nodiscard]] std::uint32_t capacityFor(const Job& job, PartitionId partition,
                                            std::uint32_t limit);
    /// Whether any machine of the partition could run one task of the job if it were empty.
    [[nodiscard]] bool isFeasible(const Job& job, PartitionId partition);

  private:
    [[nodiscard]] std::uint32_t gangCapacity(const ClusterState& clusterState,
                                             PartitionId partition, const Job& job) const;

    Context& context_;
    Membership& membership_;
};

}  // namespace fawnwheel::coordination
