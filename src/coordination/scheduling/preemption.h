/// @file
/// Stops tasks of lower priority for jobs that would miss their objectives.
#pragma once

#include <limits>

#include "coordination/scheduling/capacity_index.h"
#include "coordination/scheduling/queue_order.h"
#include "coordination/scheduling/unschedulable_work.h"

namespace fawnwheel::coordination {

/// Chooses the tasks whose stop loses least, marks them, and reserves their machine.
class Preemption {
  public:
    Preemption(Context& context, const QueueOrder& queueOrder)
        : context_(context), queueOrder_(queueOrder) {}

    /// Marks tasks to be stopped for what a placement run left waiting; the machines concerned,
    /// whose workers have yet to be told.
    [[nodiscard]] std::set<std::string> preemptFor(
        PartitionId partition, const std::vector<UnschedulableWork>& unschedulable);

  private:
    struct Victim {
        Allocation* allocation = nullptr;
        const Job* job = nullptr;
        double loss = 0;  // seconds of work
    };
    // The tasks to stop on one machine.
    struct Choice {
        Machine* machine = nullptr;
        std::vector<Victim> victims;
        double loss = std::numeric_limits<double>::max();
    };
    // The lowest priority among what runs on the partition and could be stopped for others.
    [[nodiscard]] static protocol::Priority lowestRunning(const ClusterState& clusterState,
                                                          PartitionId partition);
    // Frees capacity for one task of the job, if possible.
    bool preemptForTask(ClusterState& clusterState, const CapacityIndex& capacityIndex,
                        const Job& job, std::set<std::string>& machines) const;
    // Replaces the choice if stops on this machine lose less.
    void consider(ClusterState& clusterState, const MachineCapacity& machineCapacity,
                  const Job& job, Choice& best) const;
    // What may be stopped there; adds to `available` what is on its way out already.
    [[nodiscard]] std::vector<Victim> candidatesOn(ClusterState& clusterState,
                                                   const Machine& machine, const Job& job,
                                                   Resources& available) const;

    Context& context_;
    const QueueOrder& queueOrder_;
};

}  // namespace fawnwheel::coordination
