/// @file
/// Tracks which machines exist and assigns them to partitions.
#pragma once

#include "coordination/provisioning/decommissioner.h"
#include "coordination/provisioning/machine_pool_id.h"

namespace fawnwheel::coordination {

/// Reconciles the known machines of the partitions that this node leads with the cloud's lists and
/// the workers' heartbeats.
class MachineInventory {
  public:
    MachineInventory(Context& context, Membership& membership, HeartbeatHandler& heartbeats,
                     MachineRecords& records, Decommissioner& decommissioner)
        : context_(context),
          membership_(membership),
          heartbeats_(heartbeats),
          records_(records),
          decommissioner_(decommissioner) {}

    /// Starts listing the cloud's machines periodically.
    void start();
    /// Handles a heartbeat from a machine that has no record yet and whose default partition this
    /// node leads.
    void onUnassignedHeartbeat(const protocol::Heartbeat& heartbeat);
    /// Adds a machine without a record to a partition. Null if the machine is already known or has
    /// been deleted.
    Machine* addMachine(const MachinePoolId& pool, const std::string& id, PartitionId partition);
    /// Rewrites the partition's machine records that can't be decoded or are invalid.
    void repairRecords(ClusterState& clusterState, PartitionId partition);

  private:
    void listMachines();
    // `listed`: machines from earlier pages; `requestedAt`: when the first page was requested.
    void listPage(const std::string& after, SteadyTime requestedAt,
                  std::vector<protocol::CloudMachine> listed, int pages);
    void applyMachineList(SteadyTime requestedAt,
                          const std::vector<protocol::CloudMachine>& machines);
    void applyListedMachine(ClusterState& clusterState, const protocol::CloudMachine& listed,
                            const std::set<std::uint32_t>& ownPartitions, SteadyTime requestedAt);
    // Decommissions machines listed as failed and deletes machines that are no longer listed.
    void reconcileMissing(ClusterState& clusterState, const std::set<std::string>& listedIds,
                          const std::set<std::uint32_t>& ownPartitions, SteadyTime requestedAt);
    // Greatest age of the state that a list describes.
    [[nodiscard]] Duration maxListLag() const;
    // The partition of a machine without a readable record.
    [[nodiscard]] std::uint32_t partitionFor(const ClusterState& clusterState,
                                             const std::string& id, const std::string& zone) const;

    Context& context_;
    Membership& membership_;
    HeartbeatHandler& heartbeats_;
    MachineRecords& records_;
    Decommissioner& decommissioner_;
    std::map<std::string, SteadyTime> unassignedSince_;  // by machine: first seen without a record
};

}  // namespace fawnwheel::coordination
