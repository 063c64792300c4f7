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
    Resources unreserved;  ///< `free` less what is reserved for some job

    /// What an allocation takes of the capacity.
    void consume(const Resources& each);
    /// Undoes `consume`.
    void restore(const Resources& each);
};

/// Machines of the same type, zone and price model, which suit the same jobs.
struct MachinePool {
    const MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
    std::vector<MachineCapacity> machines;

    /// Whether one more task of the job may go to this pool, by its type and by its zone rules.
    [[nodiscard]] bool allows(const Job& job, const ZoneUse& zoneUse) const;
};

/// The machines of a partition that take work, with their free capacity. Built once for a run:
/// with each job asking every machine anew, runs took half of a controller's time on a large
/// partition. Refers to machines of the cluster state, which stays locked meanwhile.
class CapacityIndex {
  public:
    CapacityIndex(const Context& context, const ClusterState& clusterState, PartitionId partition);

    [[nodiscard]] std::vector<MachinePool>& pools() { return pools_; }
    [[nodiscard]] const std::vector<MachinePool>& pools() const { return pools_; }

    /// What of the machine's free capacity is open to the job; empty if the job must not use it.
    [[nodiscard]] Resources capacityFor(const Job& job,
                                        const MachineCapacity& machineCapacity) const;
    /// How many of the job's tasks fit, up to all of them.
    [[nodiscard]] std::uint32_t countSlots(const Job& job, const ZoneUse& zoneUse) const;

  private:
    // The pool that the machine belongs to, made if it is the first; none: its type is unknown.
    MachinePool* poolOf(const Machine& machine);

    const Context& context_;
    std::vector<MachinePool> pools_;
};

}  // namespace fawnwheel::coordination
