/// @file
/// Assembles machines for gangs that can't start yet.
#pragma once

#include "coordination/scheduling/capacity_index.h"
#include "coordination/scheduling/cloud_availability.h"

namespace fawnwheel::coordination {

/// What a gang still needs after machines have been reserved for it.
struct AssemblyProgress {
    std::uint32_t missingTasks = 0;             ///< those for which no machine is reserved
    std::uint32_t tasksWithoutFreeMachine = 0;  ///< those for which no machine has free capacity
};

/// Chooses the zone in which a gang is assembled and reserves machines for it there.
class GangAssembler {
  public:
    GangAssembler(const Context& context, const CloudAvailability& cloud)
        : context_(context), cloud_(cloud) {}

    /// Ends reservations whose job is gone, and those for gangs, which each run makes anew.
    void expireReservations(ClusterState& clusterState, PartitionId partition) const;
    /// Chooses the zone for a gang that must stay in one, unless a recent choice still holds.
    void chooseZone(const ClusterState& clusterState, PartitionId partition, Job& job) const;
    /// For how many of the gang's tasks machines are reserved in its zone.
    [[nodiscard]] std::uint32_t reservedTasks(const ClusterState& clusterState,
                                              PartitionId partition, const Job& job) const;
    /// Reserves free capacity in the gang's zone, and busy machines if the cloud has none. A gang
    /// that lacks machines adds its zone to `blockedZones`.
    AssemblyProgress assemble(const ClusterState& clusterState, PartitionId partition,
                              const Job& job, CapacityIndex& capacityIndex,
                              std::set<std::string>& blockedZones) const;

  private:
    struct ZoneMachines {
        std::uint32_t free = 0;
        std::uint32_t all = 0;
    };
    // The partition's machines that suit the job; zones where the cloud offers such are included.
    [[nodiscard]] std::map<std::string, ZoneMachines> countMachinesByZone(
        const ClusterState& clusterState, PartitionId partition, const Job& job) const;
    // Reserves free capacity for up to so many tasks; for how many it did.
    std::uint32_t reserveFreeMachines(CapacityIndex& capacityIndex, const Job& job,
                                      std::uint32_t tasks) const;
    // Reserves busy machines, which then take no other work and come free for the gang; for how
    // many tasks it did.
    std::uint32_t reserveBusyMachines(CapacityIndex& capacityIndex, const Job& job,
                                      std::uint32_t tasks) const;
    void reserveOn(MachineCapacity& machineCapacity, const Job& job, std::uint32_t tasks) const;

    const Context& context_;
    const CloudAvailability& cloud_;
};

}  // namespace fawnwheel::coordination
