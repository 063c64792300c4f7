/// @file
/// Protects slots for large tasks from being fragmented by smaller ones.
#pragma once

#include "coordination/scheduling/capacity_index.h"

namespace fawnwheel::coordination {

/// Where a task might go: the capacity that is free on some machine of a pool.
struct CandidateSlot {
    const MachineType& type;
    const std::string& zone;
    bool spot = false;
    Resources free;
};

/// How many slots for other classes' larger tasks an allocation would take.
struct LostSlots {
    std::uint32_t all = 0;
    std::uint32_t ofEntitled = 0;  ///< of other teams' more urgent jobs, and not spare
};

/// For each job class, the job with the largest tasks that can be scheduled, and how many slots
/// for it are spare. Refers to jobs of the cluster state, which stays locked meanwhile.
class FragmentationGuard {
  public:
    /// Guards nothing.
    FragmentationGuard() = default;
    explicit FragmentationGuard(const ClusterState& clusterState);

    [[nodiscard]] bool empty() const { return largestOfClasses_.empty(); }
    /// What one task of the job would take of larger tasks' slots there.
    [[nodiscard]] LostSlots slotsLost(const CandidateSlot& slot, const Job& job) const;
    /// Counts the slots beyond what waits and what may come next. Until then none is spare.
    void countSpareSlots(const CapacityIndex& capacityIndex, const ClusterState& clusterState,
                         PartitionId partition);
    /// A task of the job is placed on the machine: subtracts what it uses from the spare slots.
    void useSpareSlots(const MachineType& type, const MachineCapacity& machineCapacity,
                       const Job& job);

  private:
    struct LargerTask {
        const Job* job = nullptr;
        std::uint32_t spareSlots = 0;
    };

    [[nodiscard]] static std::uint32_t slotsLost(const LargerTask& largerTask,
                                                 const CandidateSlot& slot, const Job& job);
    // Whether the job's tasks are smaller ones that go after the larger task's.
    [[nodiscard]] static bool mayLoseSlots(const LargerTask& largerTask, const Job& job);
    // Slots that tasks of the class need on the partition, now and soon.
    [[nodiscard]] static std::uint32_t slotsNeeded(const std::string& jobClass,
                                                   const ClusterState& clusterState,
                                                   PartitionId partition);

    std::vector<LargerTask> largestOfClasses_;
};

}  // namespace fawnwheel::coordination
