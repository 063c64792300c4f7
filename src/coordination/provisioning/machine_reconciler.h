/// @file
/// Decides which machines are recorded, kept or given back.
#pragma once

#include "coordination/provisioning/machine_catalog.h"
#include "coordination/provisioning/machine_inventory.h"
#include "coordination/provisioning/warm_pool.h"

namespace fawnwheel::coordination {

/// Looks at all machines of a partition from time to time.
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

    /// Records new machines, and gives back those that are idle, faulty, silent, or never booted.
    void reconcileMachines(PartitionId partition);

  private:
    void reconcileUnrecorded(PartitionId partition, Machine& machine, const MachineType& type);
    // Why the machine should be given back, if it should.
    [[nodiscard]] std::optional<DecommissionReason> decommissionReason(
        const Machine& machine, const MachineType& type, const std::set<std::string>& quiet) const;
    [[nodiscard]] bool isIdleForLong(const Machine& machine, const MachineType& type) const;
    // How long a machine may be silent before it is given back.
    [[nodiscard]] Duration silenceLimit() const;
    // Whether any job could use the machine.
    [[nodiscard]] bool isUsableByAnyJob(const ClusterState& clusterState, const Machine& machine,
                                        const MachineType& type) const;
    // Where most of the partition's machines miss their heartbeats at the same time.
    [[nodiscard]] std::set<std::string> quietZones(const ClusterState& clusterState,
                                                   PartitionId partition) const;
    void logUtilization(const ClusterState& clusterState, PartitionId partition);

    Context& context_;
    Membership& membership_;
    MachineRecords& records_;
    MachineCatalog& catalog_;
    Decommissioner& decommissioner_;
    MachineInventory& inventory_;
    WarmPool& warmPool_;
    std::map<std::uint32_t, SteadyTime> utilizationLogged_;  // by partition
};

}  // namespace fawnwheel::coordination
