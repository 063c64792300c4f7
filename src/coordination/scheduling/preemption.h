/// @file
/// Stops tasks of lower priority for jobs that would otherwise miss their objectives.
#pragma once

#include <limits>

#include "coordination/scheduling/capacity_index.h"
#include "coordination/scheduling/queue_order.h"
#include "coordination/scheduling/unschedulable_work.h"

namespace fawnwheel::coordination {

/// Selects the tasks whose preemption loses the least work, marks them as to be stopped, and
/// reserves their machine.
class Preemption {
  public:
    Preemption(Context& context, const QueueOrder& queueOrder)
        : context_(context), queueOrder_(queueOrder) {}

    /// Marks tasks as to be stopped for the work that a placement run could not place. Returns
    /// their machines; the caller has to send the stop commands.
    [[nodiscard]] std::set<std::string> preemptFor(
        PartitionId partition, const std::vector<UnschedulableWork>& unschedulable);

  private:
    struct Victim {
        Allocation* allocation = nullptr;
        const Job* job = nullptr;
        double lossSeconds = 0;  // lost work and checkpoint time
    };
    // The tasks to stop on one machine.
    struct Choice {
        Machine* machine = nullptr;
        std::vector<Victim> victims;
        double lossSeconds = std::numeric_limits<double>::max();
    };
    // The lowest priority among the tasks on the partition that may be preempted.
    [[nodiscard]] static protocol::Priority lowestPreemptiblePriority(
        const ClusterState& clusterState, PartitionId partition);
    // Preempts tasks on one machine for one task of the job and adds the machine to `machines`.
    // False if no machine qualifies.
    bool preemptForTask(ClusterState& clusterState, const CapacityIndex& capacityIndex,
                        const Job& job, std::set<std::string>& machines) const;
    // Replaces `best` if preemption on this machine loses less work.
    void considerMachine(ClusterState& clusterState, const MachineCapacity& machineCapacity,
                         const Job& job, Choice& best) const;
    // The tasks that may be stopped on the machine, cheapest first. Adds the resources of tasks
    // that are already being stopped to `available`.
    [[nodiscard]] std::vector<Victim> candidatesOn(ClusterState& clusterState,
                                                   const Machine& machine, const Job& job,
                                                   Resources& available) const;

    Context& context_;
    const QueueOrder& queueOrder_;
};

}  // namespace fawnwheel::coordination
