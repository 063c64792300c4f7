/// @file
/// Commands sent to workers directly, without waiting for their next heartbeat.
#pragma once

#include <set>
#include <string>

#include "coordination/membership/membership.h"

namespace fawnwheel::coordination {

/// Sends stop commands and heartbeat requests to workers. Delivery is not guaranteed; heartbeat
/// responses repeat the stops. Starts are sent only in heartbeat responses, because a worker never
/// executes a late response.
class CommandSender {
  public:
    CommandSender(Context& context, const Membership& membership)
        : context_(context), membership_(membership) {}

    /// Makes the workers of these machines send a heartbeat soon, because starts are waiting for
    /// it.
    void requestHeartbeats(const std::set<std::string>& machines);
    /// Makes the worker of a machine that was transferred to another partition send a heartbeat.
    /// The response redirects the worker to the new leader.
    void redirectWorker(const std::string& machine);
    /// Sends a stop for each task of the job that has a durable allocation in a slice led by this
    /// node.
    void stopJob(const std::string& job);
    /// Sends stops for the tasks on the machine that are marked to be stopped with a grace period.
    void sendPendingStops(const std::string& machine);

  private:
    /// Whether to request a heartbeat from the worker before its next one is due.
    [[nodiscard]] bool shouldRequestHeartbeat(const Machine& machine) const;
    [[nodiscard]] static protocol::Command makeStopCommand(const ClusterState& clusterState,
                                                           const Job& job,
                                                           const Allocation& allocation);
    void send(const Machine& machine, const std::vector<protocol::Command>& commands);
    /// What to do with the commands if the worker responds that it has another agent epoch.
    enum class OnEpochMismatch { retry, drop };
    void send(const std::string& machine, std::uint64_t agentEpoch,
              const std::vector<protocol::Command>& commands, OnEpochMismatch onMismatch);

    Context& context_;
    const Membership& membership_;
};

}  // namespace fawnwheel::coordination
