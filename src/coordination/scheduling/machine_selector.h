/// @file
/// Selects the machine with the lowest cost for a task.
#pragma once

#include "coordination/scheduling/fragmentation_guard.h"

namespace fawnwheel::coordination {

/// Whether a task may take protected slots, see `LostSlots::protectedSlots`.
enum class ProtectedSlotRule { usable, preserved };

/// Whether the machine has the job's image or is fetching it for another task.
[[nodiscard]] bool hasOrFetchesImage(ClusterState& clusterState, const Machine& machine,
                                     const Job& job);

/// Compares machines for a task by cost in seconds. The cost covers the time to fetch the image,
/// GPUs left without CPUs, unused capacity on the machine, and lost slots for larger tasks.
class MachineSelector {
  public:
    explicit MachineSelector(const Context& context) : context_(context) {}

    /// The machine of the index with the lowest cost for one more task of the job; null if none
    /// fits. The result points into the index.
    [[nodiscard]] MachineCapacity* select(ClusterState& clusterState, CapacityIndex& capacityIndex,
                                          const Job& job, const FragmentationGuard& guard,
                                          const ZoneUse& zoneUse,
                                          ProtectedSlotRule protectedSlotRule) const;
    /// How many more tasks of a best-effort job may take protected slots on the partition. Zero
    /// until the job has waited for 60 s.
    [[nodiscard]] std::uint32_t protectedSlotAllowance(const Job& job, PartitionId partition) const;

  private:
    // Cost of the task on the machine, without lost slots.
    [[nodiscard]] static double costSeconds(ClusterState& clusterState, const Job& job,
                                            const Machine& machine, const MachineType& type);
    [[nodiscard]] static double fetchCostSeconds(ClusterState& clusterState, const Job& job,
                                                 const Machine& machine, const MachineType& type);

    const Context& context_;
};

}  // namespace fawnwheel::coordination
