/// @file
/// Keeps small tasks from fragmenting the capacity that larger tasks need.
#pragma once

#include "coordination/scheduling/capacity_index.h"

namespace fawnwheel::coordination {

/// The free capacity of a machine on which a task might be placed.
struct CandidateSlot {
    const MachineType& type;
    const std::string& zone;
    bool spot = false;
    Resources free;
};

/// How many slots for larger tasks of other job classes an allocation would take. A slot is free
/// capacity for one task.
struct LostSlots {
    std::uint32_t total = 0;
    /// Of `total`: not spare, and needed by jobs of other teams with a higher priority.
    std::uint32_t protectedSlots = 0;
};

/// Keeps, for each job class, the schedulable job with the largest tasks and the number of spare
/// slots for such tasks. Points to jobs of the cluster state, which must stay locked while the
/// guard is in use.
class FragmentationGuard {
  public:
    /// A guard without jobs: no allocation takes slots.
    FragmentationGuard() = default;
    explicit FragmentationGuard(const ClusterState& clusterState);

    [[nodiscard]] bool empty() const { return largestTaskByClass_.empty(); }
    /// How many slots of larger tasks one task of the job would take in the candidate slot.
    [[nodiscard]] LostSlots slotsLost(const CandidateSlot& slot, const Job& job) const;
    /// Counts as spare the slots beyond those that waiting tasks and the next arriving job of the
    /// class need. Before this call no slot is spare.
    void countSpareSlots(const CapacityIndex& capacityIndex, const ClusterState& clusterState,
                         PartitionId partition);
    /// Subtracts the slots that a task of the job takes on the machine from the spare slots. To be
    /// called before the task is allocated.
    void consumeSpareSlots(const MachineType& type, const MachineCapacity& machineCapacity,
                           const Job& job);

  private:
    struct LargerTask {
        const Job* job = nullptr;
        std::uint32_t spareSlots = 0;
    };

    [[nodiscard]] static std::uint32_t slotsLost(const LargerTask& largerTask,
                                                 const CandidateSlot& slot, const Job& job);
    // Whether slots for the larger task are guarded against the job's tasks: these are of another
    // class, smaller, and not of a higher priority.
    [[nodiscard]] static bool isGuardedAgainst(const LargerTask& largerTask, const Job& job);
    // Slots that tasks of the class need on the partition: those that wait there now, and the
    // largest number that may arrive together.
    [[nodiscard]] static std::uint32_t slotsNeeded(const std::string& jobClass,
                                                   const ClusterState& clusterState,
                                                   PartitionId partition);

    std::vector<LargerTask> largestTaskByClass_;
};

}  // namespace fawnwheel::coordination
