/// @file
/// Chooses the machine on which a task costs least.
#pragma once

#include "coordination/scheduling/fragmentation_guard.h"

namespace fawnwheel::coordination {

/// Whether a choice may take slots that other teams' more urgent, larger tasks need.
enum class EntitledSlots { usable, preserved };

/// Whether the machine has the job's image, or fetches it for another task.
[[nodiscard]] bool hasImage(ClusterState& clusterState, const Machine& machine, const Job& job);

/// Compares machines for a task by the seconds that the choice costs: fetching the image, GPUs left
/// without CPUs, breaking into an empty machine, slots of larger tasks.
class MachineSelector {
  public:
    explicit MachineSelector(const Context& context) : context_(context) {}

    /// The cheapest machine of the index for one more task of the job; none if no machine fits.
    /// The result points into the index.
    [[nodiscard]] MachineCapacity* select(ClusterState& clusterState, CapacityIndex& capacityIndex,
                                          const Job& job, const FragmentationGuard& guard,
                                          const ZoneUse& zoneUse,
                                          EntitledSlots entitledSlots) const;
    /// How many more tasks of a best-effort job that has waited for long may take slots of
    /// entitled jobs.
    [[nodiscard]] std::uint32_t bestEffortAllowance(const Job& job, PartitionId partition) const;

  private:
    // In seconds.
    [[nodiscard]] static double cost(ClusterState& clusterState, const Job& job,
                                     const Machine& machine, const MachineType& type);
    [[nodiscard]] static double fetchCost(ClusterState& clusterState, const Job& job,
                                          const Machine& machine, const MachineType& type);

    const Context& context_;
};

}  // namespace fawnwheel::coordination
