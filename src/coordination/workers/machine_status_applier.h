/// @file
/// Applies the machine-level content of a valid heartbeat.
#pragma once

#include "coordination/context.h"
#include "coordination/workers/heartbeat_observer.h"

namespace fawnwheel::coordination {

/// Updates a machine from a heartbeat: address, interruption notice, acknowledgement of this
/// leader's responses. Removes allocations whose tasks are proven not to be on the machine.
class MachineStatusApplier {
  public:
    MachineStatusApplier(Context& context, HeartbeatObserver& observer)
        : context_(context), observer_(observer) {}

    void apply(ClusterState& clusterState, Machine& machine, const protocol::Heartbeat& heartbeat);

  private:
    void recordHeartbeat(Machine& machine, const protocol::Heartbeat& heartbeat);
    void applyInterruptionNotice(ClusterState& clusterState, Machine& machine, Seconds notice);
    void applyAcknowledgement(Machine& machine, const protocol::Heartbeat& heartbeat) const;
    void removeMissingAllocations(ClusterState& clusterState, Machine& machine,
                                  const protocol::Heartbeat& heartbeat);
    /// Whether the task is still waiting for its start to take effect.
    [[nodiscard]] bool isStartPending(const ClusterState& clusterState, const Machine& machine,
                                      const Job& job, const Allocation& allocation) const;

    Context& context_;
    HeartbeatObserver& observer_;
};

}  // namespace fawnwheel::coordination
