/// @file
/// Takes in what a valid heartbeat says of its machine.
#pragma once

#include "coordination/context.h"
#include "coordination/workers/heartbeat_observer.h"

namespace fawnwheel::coordination {

/// Updates a machine by a heartbeat: address, interruption notices, acknowledgement of this
/// leader's answers, and allocations that are surely not on the machine.
class MachineStatusApplier {
  public:
    MachineStatusApplier(Context& context, HeartbeatObserver& observer)
        : context_(context), observer_(observer) {}

    void apply(ClusterState& clusterState, Machine& machine, const protocol::Heartbeat& heartbeat);

  private:
    void recordContact(Machine& machine, const protocol::Heartbeat& heartbeat);
    void applyInterruptionNotice(ClusterState& clusterState, Machine& machine, Seconds notice);
    void applyAcknowledgement(Machine& machine, const protocol::Heartbeat& heartbeat) const;
    void removeMissing(ClusterState& clusterState, Machine& machine,
                       const protocol::Heartbeat& heartbeat);
    /// A start may still bring the task to the machine.
    [[nodiscard]] bool isStartPending(const ClusterState& clusterState, const Machine& machine,
                                      const Job& job, const Allocation& allocation) const;

    Context& context_;
    HeartbeatObserver& observer_;
};

}  // namespace fawnwheel::coordination
