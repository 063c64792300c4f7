/// @file
/// Accepts only heartbeats that are meant for this leader, newer than the last one, and from a
/// lease that has not expired.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/workers/heartbeat_observer.h"
#include "coordination/workers/heartbeat_response.h"

namespace fawnwheel::coordination {

/// Validates a heartbeat before it is applied, and keeps the machine's fencing token at least as
/// high as every token that its worker has seen.
class HeartbeatValidator {
  public:
    HeartbeatValidator(Context& context, const Membership& membership, HeartbeatObserver& observer)
        : context_(context), membership_(membership), observer_(observer) {}

    /// Returns the response to a heartbeat that must not be applied, or none if the heartbeat is
    /// valid. `machine` is the sender, or null if this node has no record of it. May raise the
    /// machine's fencing token, and notifies the observer of a machine without a partition.
    [[nodiscard]] std::optional<HeartbeatResponse> validate(ClusterState& clusterState,
                                                            Machine* machine,
                                                            const protocol::Heartbeat& heartbeat);

  private:
    [[nodiscard]] HeartbeatResponse respondToUnknownMachine(ClusterState& clusterState,
                                                            const protocol::Heartbeat& heartbeat);
    /// Redirects the worker to the leader if that is another live node; otherwise responds with
    /// 503.
    [[nodiscard]] HeartbeatResponse redirectToLeader(const ClusterState& clusterState,
                                                     const std::string& leader) const;
    /// Whether no other leader can be counting the worker's lease, so that a response may renew it.
    [[nodiscard]] static bool mayRenewLease(const Machine& machine,
                                            const protocol::Heartbeat& heartbeat);
    /// Raises the machine's fencing token to at least the heartbeat's. Returns false if that is not
    /// allowed now.
    [[nodiscard]] bool advanceToken(Machine& machine, const protocol::Heartbeat& heartbeat) const;
    /// Raises the machine's token to the minimum for its partition's term and to the minimum in its
    /// record (`minFencingToken`), which a loan may have raised.
    void refreshToken(Machine& machine) const;
    [[nodiscard]] bool isStale(const Machine& machine, const protocol::Heartbeat& heartbeat) const;

    Context& context_;
    const Membership& membership_;
    HeartbeatObserver& observer_;
};

}  // namespace fawnwheel::coordination
