#include "coordination/membership/membership.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto peerHeartbeatInterval = 500ms;

}  // namespace

Membership::Membership(Context& context, const ReplicaStatus& replica,
                       const WorkerReachability& reachability, const TransactionPipeline& pipeline,
                       MembershipObserver& observer)
    : context_(context),
      replica_(replica),
      reachability_(reachability),
      acquiredTerms_(context),
      lease_(context, acquiredTerms_, replica, *this),
      peers_(context, acquiredTerms_, replica, reachability, observer),
      leadership_(context, acquiredTerms_, lease_, peers_, replica, observer),
      failover_(context, acquiredTerms_, lease_, peers_, leadership_, replica, reachability,
                pipeline) {}

void Membership::start() {
    lease_.start();
    broadcastPeriodically();
}

void Membership::broadcastPeriodically() {
    peers_.broadcast();
    reconcile();
    context_.timers.after(peerHeartbeatInterval, [this] { broadcastPeriodically(); });
}

void Membership::onReachabilityChanged() {
    // The peers must receive this node's readiness before any transfer: otherwise a peer that
    // acquires a partition from this node would transfer it back at once.
    peers_.broadcast();
    reconcile();
}

bool Membership::healthy() const {
    if (!replica_.synced() || context_.catalog.empty()) return false;
    if (isLeaseValid() || context_.stateClient.reachable()) return true;
    // If the state service is down for all nodes, leaving the load balancer would only delay the
    // recovery. If it refuses only this node, users should go to the peers that it serves.
    return !peers_.anyPeerServing();
}

}  // namespace fawnwheel::coordination
