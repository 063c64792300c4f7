/// @file
/// Repairs tasks whose slice and machine belong to different partitions.
///
/// Such a task has no leader that could start or end it: the leader of its slice gets no heartbeats
/// of the machine, and the leader of the machine starts only tasks of its own slices. Records of an
/// earlier version may contain such tasks.
#pragma once

#include <set>
#include <string>

#include "coordination/membership/membership.h"
#include "coordination/migration/machine_transfers.h"

namespace fawnwheel::coordination {

/// Transfers misplaced tasks of this node's slices to the partitions of their machines. The tasks
/// keep their allocations.
class MisplacedTasks {
  public:
    MisplacedTasks(Context& context, const Membership& membership, TransactionPipeline& pipeline,
                   MachineTransfers& transfers)
        : context_(context), membership_(membership), pipeline_(pipeline), transfers_(transfers) {}

    /// Transfers one job's misplaced tasks if they were misplaced at the last check too. Does
    /// nothing if the last check was a short time ago.
    void transferToMachines(PartitionId partition);

  private:
    /// The misplaced tasks of one job, and the partition of their machines.
    struct Relocation {
        PartitionId target = 0;
        rebalancing::Handover handover;
    };
    struct Checks {
        SteadyTime last{};
        std::set<std::string> misplacedJobs;  // at the last check
    };

    /// The partition of the allocation's machine if it differs from that of the slice.
    [[nodiscard]] static std::optional<PartitionId> otherPartitionOf(ClusterState& clusterState,
                                                                     const Slice& slice,
                                                                     const Allocation& allocation);
    [[nodiscard]] static std::optional<Relocation> planRelocation(ClusterState& clusterState,
                                                                  const Job& job,
                                                                  PartitionId partition);
    /// For a job whose tasks must have one leader: none unless all of its allocations are on
    /// machines of one other partition.
    [[nodiscard]] static std::optional<Relocation> planWholeJob(ClusterState& clusterState,
                                                                const Job& job,
                                                                PartitionId partition);
    /// Adds the misplaced tasks of a slice, as far as one transaction may hold them.
    static void addTasks(ClusterState& clusterState, const Job& job, const Slice& slice,
                         Relocation& relocation);
    void transfer(PartitionId partition, const std::string& job, const Relocation& relocation);

    Context& context_;
    const Membership& membership_;
    TransactionPipeline& pipeline_;
    MachineTransfers& transfers_;
    std::map<PartitionId, Checks> checks_;
};

}  // namespace fawnwheel::coordination
