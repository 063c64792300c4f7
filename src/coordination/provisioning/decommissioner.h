/// @file
/// Gives machines back to the cloud.
#pragma once

#include "coordination/provisioning/machine_records.h"
#include "coordination/workers/heartbeat_handler.h"

namespace fawnwheel::coordination {

/// Why a machine is given back.
enum class DecommissionReason {
    failed,        ///< it has stopped on its own
    neverBooted,   ///< it has sent no heartbeat for far longer than a boot takes
    faulty,        ///< tasks fail on it
    silent,        ///< its heartbeats have ceased
    unreachable,   ///< it sends heartbeats and receives nothing
    consolidated,  ///< its tasks have been moved elsewhere
    idle,          ///< it had no work for long
};

/// Takes a machine out of use, durably, then releases it, then drops its record.
class Decommissioner {
  public:
    Decommissioner(Context& context, Membership& membership, HeartbeatHandler& heartbeats,
                   MachineRecords& records)
        : context_(context), membership_(membership), heartbeats_(heartbeats), records_(records) {}

    /// Takes the machine out of use from now on, and records that.
    void decommission(Machine& machine, DecommissionReason reason);
    /// Asks the cloud to release what has been decommissioned durably, on all partitions of this
    /// node.
    void releaseDecommissioned();
    /// Drops the record of a machine that is gone, once no allocation on it is left.
    void forget(PartitionId partition, const std::string& id);

  private:
    Context& context_;
    Membership& membership_;
    HeartbeatHandler& heartbeats_;
    MachineRecords& records_;
    std::set<std::string> releasing_;  // by the call in flight
};

}  // namespace fawnwheel::coordination
