/// @file
/// Commands that are sent to workers directly, ahead of the answers to their heartbeats.
#pragma once

#include <set>
#include <string>

#include "coordination/membership/membership.h"

namespace fawnwheel::coordination {

/// Sends stops and requests for heartbeats. Delivery is not guaranteed: the answers to heartbeats
/// repeat the stops. Starts go out in those answers only, which are never executed late.
class CommandSender {
  public:
    CommandSender(Context& context, const Membership& membership)
        : context_(context), membership_(membership) {}

    /// Makes the workers of these machines send a heartbeat soon: starts wait for them.
    void requestHeartbeats(const std::set<std::string>& machines);
    /// Makes the worker of a machine that has gone to another partition send a heartbeat, by whose
    /// answer it is sent there.
    void redirectWorker(const std::string& machine);
    /// Stops all tasks of the job that this node leads.
    void stopJob(const std::string& job);
    /// Stops the tasks on the machine that are marked to be stopped with a grace period.
    void sendPendingStops(const std::string& machine);

  private:
    /// Whether the worker shall be made to send a heartbeat before its next one is due.
    [[nodiscard]] bool shouldRequestHeartbeat(const Machine& machine) const;
    [[nodiscard]] static protocol::Command stopCommand(const ClusterState& clusterState,
                                                       const Job& job,
                                                       const Allocation& allocation);
    void send(const Machine& machine, const std::vector<protocol::Command>& commands);
    /// What to do if the worker answers that it has another agent epoch.
    enum class OnEpochMismatch { repeat, drop };
    void send(const std::string& machine, std::uint64_t agentEpoch,
              const std::vector<protocol::Command>& commands, OnEpochMismatch onMismatch);

    Context& context_;
    const Membership& membership_;
};

}  // namespace fawnwheel::coordination
