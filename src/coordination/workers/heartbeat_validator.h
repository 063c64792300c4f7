/// @file
/// Decides which heartbeats count: those for this leader, newer than the last, of a valid lease.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/workers/heartbeat_observer.h"
#include "coordination/workers/heartbeat_response.h"

namespace fawnwheel::coordination {

/// Checks a heartbeat before anything is concluded from it, and keeps the machine's fencing token
/// ahead of every token that its worker has seen.
class HeartbeatValidator {
  public:
    HeartbeatValidator(Context& context, const Membership& membership, HeartbeatObserver& observer)
        : context_(context), membership_(membership), observer_(observer) {}

    /// Returns the answer to a heartbeat that must not be applied; none if it is valid. `machine`
    /// is the sender, null if this node knows no such machine. May raise the machine's fencing
    /// token, and tells the observer of a machine without a partition.
    [[nodiscard]] std::optional<HeartbeatResponse> validate(ClusterState& clusterState,
                                                            Machine* machine,
                                                            const protocol::Heartbeat& heartbeat);

  private:
    [[nodiscard]] HeartbeatResponse answerUnknown(ClusterState& clusterState,
                                                  const protocol::Heartbeat& heartbeat);
    /// Sends the worker to the leader, if that is another node and alive.
    [[nodiscard]] HeartbeatResponse redirectTo(const ClusterState& clusterState,
                                               const std::string& leader) const;
    /// Whether the machine's fencing token is now at least what the heartbeat shows.
    [[nodiscard]] bool advanceToken(Machine& machine, const protocol::Heartbeat& heartbeat) const;
    /// Raises the machine's token to what its partition's term, or a loan, demands.
    void refreshToken(Machine& machine) const;
    [[nodiscard]] bool isStale(const Machine& machine, const protocol::Heartbeat& heartbeat) const;

    Context& context_;
    const Membership& membership_;
    HeartbeatObserver& observer_;
};

}  // namespace fawnwheel::coordination
