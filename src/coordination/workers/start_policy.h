/// @file
/// Which allocated tasks may be started on a machine, by the answer to its heartbeat.
#pragma once

#include "coordination/membership/membership.h"

namespace fawnwheel::coordination {

/// Chooses the start commands of an answer to a heartbeat.
class StartPolicy {
  public:
    StartPolicy(const Context& context, const Membership& membership)
        : context_(context), membership_(membership) {}

    /// Adds a start for each task that is allocated to the machine, may be started and is not in
    /// the heartbeat.
    void addStarts(ClusterState& clusterState, const Machine& machine,
                   const protocol::Heartbeat& heartbeat,
                   std::vector<protocol::Command>& commands) const;
    /// A gang's task has waited for the others in vain and may do so once more, since all of them
    /// have their allocations and none has run.
    [[nodiscard]] bool mayKeepWaiting(const ClusterState& clusterState, const Machine& machine,
                                      const Job& job, const Allocation& allocation) const;

  private:
    [[nodiscard]] bool mayStartOn(const Machine& machine) const;
    [[nodiscard]] static bool isStartable(const ClusterState& clusterState, const Job& job,
                                          const Allocation& allocation);

    const Context& context_;
    const Membership& membership_;
};

}  // namespace fawnwheel::coordination
