/// @file
/// Reserves machines for gangs that cannot start yet.
#pragma once

#include "coordination/scheduling/capacity_index.h"
#include "coordination/scheduling/cloud_availability.h"

namespace fawnwheel::coordination {

/// What a gang still lacks after machines have been reserved for it.
struct AssemblyProgress {
    std::uint32_t missingTasks = 0;             ///< tasks without a reserved machine
    std::uint32_t tasksWithoutFreeMachine = 0;  ///< tasks for which no machine has free capacity
};

/// Chooses the zone in which a gang is assembled, and reserves machines for the gang in it.
class GangAssembler {
  public:
    GangAssembler(const Context& context, const CloudAvailability& cloud)
        : context_(context), cloud_(cloud) {}

    /// Ends reservations whose job has ended, was cancelled or now belongs to another partition,
    /// and the reservations for gangs, which each run makes again.
    void expireReservations(ClusterState& clusterState, PartitionId partition) const;
    /// Chooses the zone for a gang that must run in one zone, unless its last choice has not timed
    /// out yet.
    void chooseZone(const ClusterState& clusterState, PartitionId partition, Job& job) const;
    /// The number of the gang's tasks that have a reserved machine in its assembly zone.
    [[nodiscard]] std::uint32_t reservedTasks(const ClusterState& clusterState,
                                              PartitionId partition, const Job& job) const;
    /// Reserves free capacity in the gang's assembly zone, and busy machines if the cloud cannot
    /// provide more. If the gang still lacks free machines, adds the zone to `blockedZones`.
    AssemblyProgress assemble(const ClusterState& clusterState, PartitionId partition,
                              const Job& job, CapacityIndex& capacityIndex,
                              std::set<std::string>& blockedZones) const;

  private:
    struct ZoneMachines {
        std::uint32_t free = 0;
        std::uint32_t total = 0;
    };
    // Counts the partition's machines that suit the job by zone. Zones in which only the cloud
    // offers such machines are included with zero.
    [[nodiscard]] std::map<std::string, ZoneMachines> countMachinesByZone(
        const ClusterState& clusterState, PartitionId partition, const Job& job) const;
    // Reserves free capacity for up to `tasks` tasks; returns for how many it did.
    std::uint32_t reserveFreeMachines(CapacityIndex& capacityIndex, const Job& job,
                                      std::uint32_t tasks) const;
    // Reserves busy machines for up to `tasks` tasks, so that they accept no other tasks and become
    // free for the gang; returns for how many tasks it did.
    std::uint32_t reserveBusyMachines(CapacityIndex& capacityIndex, const Job& job,
                                      std::uint32_t tasks) const;
    void reserveOn(MachineCapacity& machineCapacity, const Job& job, std::uint32_t tasks) const;

    const Context& context_;
    const CloudAvailability& cloud_;
};

}  // namespace fawnwheel::coordination
