/// @file
/// Decides which machines are recorded, kept or decommissioned.
#pragma once

#include "coordination/provisioning/machine_catalog.h"
#include "coordination/provisioning/machine_inventory.h"
#include "coordination/provisioning/warm_pool.h"

namespace fawnwheel::coordination {

/// Periodically checks all machines of a partition.
class MachineReconciler {
  public:
    MachineReconciler(Context& context, Membership& membership, MachineRecords& records,
                      MachineCatalog& catalog, Decommissioner& decommissioner,
                      MachineInventory& inventory, WarmPool& warmPool)
        : context_(context),
          membership_(membership),
          records_(records),
          catalog_(catalog),
          decommissioner_(decommissioner),
          inventory_(inventory),
          warmPool_(warmPool) {}

    /// Records new machines and decommissions those with a `DecommissionReason`.
    void reconcileMachines(PartitionId partition);

  private:
    void reconcileUnrecorded(PartitionId partition, Machine& machine, const MachineType& type);
    // Why the machine should be decommissioned; none if it should be kept.
    [[nodiscard]] std::optional<DecommissionReason> decommissionReason(
        const Machine& machine, const MachineType& type,
        const std::set<std::string>& unresponsive) const;
    [[nodiscard]] bool isIdleTooLong(const Machine& machine, const MachineType& type) const;
    // How long a machine may send no heartbeat before it is decommissioned.
    [[nodiscard]] Duration silenceLimit() const;
    // Whether any job's constraints allow the machine.
    [[nodiscard]] bool isUsableByAnyJob(const ClusterState& clusterState, const Machine& machine,
                                        const MachineType& type) const;
    // Zones in which most of the partition's machines have overdue heartbeats at the same time, or
    // every zone while this node can't reach its workers.
    [[nodiscard]] std::set<std::string> unresponsiveZones(const ClusterState& clusterState,
                                                          PartitionId partition) const;
    void logUtilization(const ClusterState& clusterState, PartitionId partition);

    Context& context_;
    Membership& membership_;
    MachineRecords& records_;
    MachineCatalog& catalog_;
    Decommissioner& decommissioner_;
    MachineInventory& inventory_;
    WarmPool& warmPool_;
    std::map<std::uint32_t, SteadyTime> utilizationLogged_;  // last log time, by partition
};

}  // namespace fawnwheel::coordination
