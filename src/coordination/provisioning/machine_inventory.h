/// @file
/// Knows which machines exist and assigns them to partitions.
#pragma once

#include "coordination/provisioning/decommissioner.h"
#include "coordination/provisioning/machine_pool_id.h"

namespace fawnwheel::coordination {

/// Compares the cloud's lists and the workers' heartbeats with the known machines of the partitions
/// that this process leads.
class MachineInventory {
  public:
    MachineInventory(Context& context, Membership& membership, HeartbeatHandler& heartbeats,
                     MachineRecords& records, Decommissioner& decommissioner)
        : context_(context),
          membership_(membership),
          heartbeats_(heartbeats),
          records_(records),
          decommissioner_(decommissioner) {}

    /// Begins to list the cloud's machines, again and again.
    void start();
    /// A worker sends heartbeats whose machine has no record yet, and whose default partition is
    /// ours.
    void onUnassignedHeartbeat(const protocol::Heartbeat& heartbeat);
    /// Adds a machine to a partition, not yet recorded. None: it is known already, or gone.
    Machine* addMachine(const MachinePoolId& pool, const std::string& id, PartitionId partition);
    /// Writes those of the partition's records anew that can't be read or are impossible.
    void repairRecords(ClusterState& clusterState, PartitionId partition);

  private:
    void listMachines();
    // `listed`: what earlier pages have shown; `asked`: when the first was requested.
    void listPage(const std::string& after, SteadyTime asked,
                  std::vector<protocol::CloudMachine> listed, int pages);
    void applyMachineList(SteadyTime asked, const std::vector<protocol::CloudMachine>& machines);
    void applyListedMachine(ClusterState& clusterState, const protocol::CloudMachine& listed,
                            const std::set<std::uint32_t>& ownPartitions, SteadyTime asked);
    // Takes out of use what has failed, and forgets what is no longer listed.
    void reconcileMissing(ClusterState& clusterState, const std::set<std::string>& present,
                          const std::set<std::uint32_t>& ownPartitions, SteadyTime asked);
    // How old a list's contents may be.
    [[nodiscard]] Duration maxListLag() const;
    // The partition that a machine without a record that can be read belongs to.
    [[nodiscard]] std::uint32_t partitionFor(const ClusterState& clusterState,
                                             const std::string& id, const std::string& zone) const;

    Context& context_;
    Membership& membership_;
    HeartbeatHandler& heartbeats_;
    MachineRecords& records_;
    Decommissioner& decommissioner_;
    std::map<std::string, SteadyTime> unassignedSince_;  // by machine; when first seen
};

}  // namespace fawnwheel::coordination
