/// @file
/// Decides which allocated tasks may be started by the response to a heartbeat.
#pragma once

#include "coordination/membership/membership.h"

namespace fawnwheel::coordination {

/// Chooses the start commands of a heartbeat response.
class StartPolicy {
  public:
    StartPolicy(const Context& context, const Membership& membership)
        : context_(context), membership_(membership) {}

    /// Adds a start for each task that is allocated to the machine, may be started and is not in
    /// the heartbeat.
    void addStarts(ClusterState& clusterState, const Machine& machine,
                   const protocol::Heartbeat& heartbeat,
                   std::vector<protocol::Command>& commands) const;
    /// Whether a gang's task that has timed out waiting for the others may wait again: all tasks of
    /// the gang have durable allocations, none has run, and the allocation is not too old.
    [[nodiscard]] bool mayExtendGangWait(const ClusterState& clusterState, const Machine& machine,
                                         const Job& job, const Allocation& allocation) const;

  private:
    [[nodiscard]] bool mayStartOn(const Machine& machine) const;
    [[nodiscard]] static bool isStartable(const ClusterState& clusterState, const Job& job,
                                          const Allocation& allocation);

    const Context& context_;
    const Membership& membership_;
};

}  // namespace fawnwheel::coordination
