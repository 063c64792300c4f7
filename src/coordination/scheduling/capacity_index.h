/// @file
/// The free capacity of a partition's machines, grouped by machine pool, for one placement run.
#pragma once

#include <vector>

#include "coordination/scheduling/placement_constraints.h"

namespace fawnwheel::coordination {

/// One machine's remaining capacity within a placement run.
struct MachineCapacity {
    Machine* machine = nullptr;
    Resources free;
    Resources unreserved;  ///< `free` minus the capacity reserved for a job

    /// Subtracts one allocation of this size.
    void consume(const Resources& each);
    /// Adds the allocation's resources back; undoes `consume`.
    void restore(const Resources& each);
};

/// Machines of the same type, zone and price model (on-demand or spot). They suit the same jobs.
struct MachinePool {
    const MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
    std::vector<MachineCapacity> machines;

    /// Whether the job's machine type and zone rules allow one more of its tasks in this pool.
    [[nodiscard]] bool allows(const Job& job, const ZoneUse& zoneUse) const;
};

/// The machines of a partition that accept tasks, with their free capacity. Built once per
/// placement run: when every job checked every machine again, placement runs took half of the
/// controller's time on a large partition. Points to machines of the cluster state, which must stay
/// locked while the index is in use.
class CapacityIndex {
  public:
    CapacityIndex(const Context& context, const ClusterState& clusterState, PartitionId partition);

    [[nodiscard]] std::vector<MachinePool>& pools() { return pools_; }
    [[nodiscard]] const std::vector<MachinePool>& pools() const { return pools_; }

    /// The part of the machine's free capacity that the job may use; empty if the job must not use
    /// the machine.
    [[nodiscard]] Resources capacityFor(const Job& job,
                                        const MachineCapacity& machineCapacity) const;
    /// How many of the job's tasks fit into the index's free capacity, up to all of them.
    [[nodiscard]] std::uint32_t countSlots(const Job& job, const ZoneUse& zoneUse) const;

  private:
    // The machine's pool, added if it does not exist yet. Null if the machine's type is unknown.
    MachinePool* poolOf(const Machine& machine);

    const Context& context_;
    std::vector<MachinePool> pools_;
};

}  // namespace fawnwheel::coordination
