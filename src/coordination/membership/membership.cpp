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
    // A peer that acquires a partition from this node must not transfer it back at once.
    peers_.broadcast();
    reconcile();
}

bool Membership::healthy() const {
    if (!replica_.synced() || context_.catalog.empty()) return false;
    if (isLeaseValid() || context_.stateClient.reachable()) return true;
    // In an outage for all, leaving the balancer would only delay the return. Refused alone, this
    // node sends users to those that are served.
    return !peers_.anyPeerServing();
}

}  // namespace fawnwheel::coordination
