/// @file
/// Returns machines to the cloud.
#pragma once

#include "coordination/provisioning/machine_records.h"
#include "coordination/workers/heartbeat_handler.h"

namespace fawnwheel::coordination {

/// Why a machine is decommissioned.
enum class DecommissionReason {
    failed,        ///< the cloud lists it as failed
    neverBooted,   ///< no heartbeat for far longer than a boot takes
    faulty,        ///< tasks fail on it
    silent,        ///< its heartbeats have stopped
    unreachable,   ///< it sends heartbeats but acknowledges nothing
    consolidated,  ///< consolidation has drained it
    idle,          ///< it was idle for longer than its idle limit
    unused,        ///< it has no record, and acknowledges nothing or is of no use to any job
};

/// Marks a machine as decommissioned in its record, then asks the cloud to release it, then deletes
/// its record.
class Decommissioner {
  public:
    Decommissioner(Context& context, Membership& membership, HeartbeatHandler& heartbeats,
                   MachineRecords& records)
        : context_(context), membership_(membership), heartbeats_(heartbeats), records_(records) {}

    /// Stops new allocations on the machine and queues the write of its decommissioned mark.
    void decommission(Machine& machine, DecommissionReason reason);
    /// Asks the cloud to release the machines whose decommissioning is durable, in all partitions
    /// that this node leads.
    void releaseDecommissioned();
    /// Deletes a released or vanished machine and its record, unless it still has allocations.
    void deleteMachine(PartitionId partition, const std::string& id);

  private:
    Context& context_;
    Membership& membership_;
    HeartbeatHandler& heartbeats_;
    MachineRecords& records_;
    std::set<std::string> releasing_;  // machines named in the release call in flight
};

}  // namespace fawnwheel::coordination
