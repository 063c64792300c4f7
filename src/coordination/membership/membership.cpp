#include "coordination/membership/membership.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto peerHeartbeatInterval = 500ms;
constexpr auto joinPause = 300ms;
constexpr auto peerLost = 2500ms;
constexpr double driftMargin = 0.998;
constexpr auto clockStep = 50ms;                // timers fire in steps
constexpr auto spreadDelay = 10ms;              // gathers cancellations of the same moment
constexpr std::size_t mostCancellations = 256;  // in one message
// While the lease stands, the service is there, and the watch catches up within this.
constexpr auto watchPatience = 8s;

std::uint64_t micros(SteadyTime t) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(t.time_since_epoch()).count());
}

SteadyTime fromMicros(std::uint64_t value) {
    return SteadyTime(std::chrono::microseconds(value));
}

}  // namespace

void Membership::start() {
    grantLease();
    broadcastPeriodically();
}

bool Membership::isLeaseValid() const {
    return joined_ && context_.now() < leaseUntil_;
}

bool Membership::knowsCancellations() const {
    // A worker that is answered now is gone a lease later. A cancellation confirmed after the
    // moment up to which we know all of them leaves its tasks `cancel_s`. Refused alone before an
    // outage for all, a leader once renewed leases for as long as that lasted, and tasks ran on
    // whose cancellation a peer had confirmed (cancellation_gap).
    // The slack is never exceeded, also not by a leader whose lease stands while its follow lags.
    // Only where `cancel_s` leaves no room beside a lease no leader could keep it by waiting.
    auto patience = context_.cancellationSlack();
    if (patience <= Duration::zero() && isLeaseValid()) patience = watchPatience;
    const auto now = context_.now();
    const auto current = recordsCurrentAsOf();
    if (now <= current + patience) return true;
    return std::all_of(
        context_.settings.peers.begin(), context_.settings.peers.end(), [&](const auto& peer) {
            const auto found = peers_.find(peer.name);
            return found != peers_.end() && now <= found->second.vouchedAsOf + patience;
        });
}

bool Membership::canAnswerWorkers(std::uint32_t partition) const {
    if (!knowsCancellations()) return false;
    if (isLeaseValid()) return true;
    if (!joined_ || context_.state.reachable()) return false;
    // Every peer must have said so after `now - confirmationLasts`: one that reaches the state
    // service again stops saying it before it can take anything over, so a dependent has to wait
    // this much longer for our workers' leases and no more.
    // One may also have taken the partition over before the outage, while we were cut off: back
    // among our peers in the outage, we once renewed leases that the dependent had counted down
    // (back_in_outage).
    const auto now = context_.now();
    const auto acquiredTerm = acquiredTerms_.find(partition);
    const auto term = acquiredTerm == acquiredTerms_.end() ? 0 : acquiredTerm->second;
    return std::all_of(context_.settings.peers.begin(), context_.settings.peers.end(),
                       [&](const auto& peer) {
                           const auto found = peers_.find(peer.name);
                           if (found == peers_.end()) return false;
                           const auto& state = found->second;
                           const auto owned = state.owned.find(partition);
                           return now - state.lostStateServiceAt < confirmationLasts - clockStep &&
                                  (owned == state.owned.end() || owned->second <= term);
                       });
}

std::uint64_t Membership::appliedBy(const std::string& peer) const {
    const auto found = peers_.find(peer);
    return found == peers_.end() ? 0 : found->second.applied;
}

bool Membership::isPeerAlive(const std::string& peer) const {
    const auto found = peers_.find(peer);
    return found != peers_.end() && context_.now() - found->second.lastHeard < peerLost;
}

bool Membership::healthy() const {
    if (!synced() || context_.catalog.empty()) return false;
    if (isLeaseValid() || context_.state.reachable()) return true;
    // In an outage for all, leaving the balancer would only delay the return. Refused alone, we
    // send users to those who are served.
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return isPeerAlive(entry.first) && entry.second.reachable && entry.second.ready;
    });
}

void Membership::onPeerHeartbeat(const std::string& peer, const protocol::PeerHeartbeat& status) {
    const bool known = std::any_of(context_.settings.peers.begin(), context_.settings.peers.end(),
                                   [&](const auto& p) { return p.name == peer; });
    if (!known) return;
    PeerState& state = peers_[peer];
    const auto now = context_.now();
    if (now - state.lastHeard > peerLost) state.freshSince = now;
    state.lastHeard = now;
    state.sentAt = status.sentAt;
    state.reachable = status.stateReachable;
    state.ready = status.ready;
    // An echo from the future is an earlier life's of ours.
    if (!status.stateReachable && status.echo != 0 && fromMicros(status.echo) <= now)
        state.lostStateServiceAt = std::max(state.lostStateServiceAt, fromMicros(status.echo));
    applyCancellations(state, status);
}

void Membership::onLeaderHeartbeat(const std::string& peer,
                                   const protocol::LeaderHeartbeat& message) {
    auto& owned = peers_[peer].owned;
    owned.clear();
    for (std::size_t i = 0; i < std::min(message.partitions.size(), message.terms.size()); ++i)
        owned[message.partitions[i]] = message.terms[i];
    onPeerHeartbeat(peer, message.status);
}

void Membership::sendTo(const std::string& peer, const protocol::PeerHeartbeat& status,
                        bool withPartitions) {
    if (!withPartitions) {
        context_.network.sendFrame(peer, protocol::encodePeer({context_.settings.name, status}));
        return;
    }
    protocol::LeaderHeartbeat message{status, {}, {}};
    for (const auto& [partition, term] : acquiredTerms_) {
        if (!ledHere(partition)) continue;
        message.partitions.push_back(partition);
        message.terms.push_back(term);
    }
    context_.network.sendFrame(peer, protocol::encodePeer({context_.settings.name, message}));
}

void Membership::applyCancellations(PeerState& peer, const protocol::PeerHeartbeat& status) {
    if (peer.incarnation != status.incarnation) {
        peer.incarnation = status.incarnation;
        peer.cancellationsReceived = 0;
    }
    peer.applied = status.applied;
    peer.acknowledged = status.acknowledgedLife == incarnation_ ? status.acknowledged : 0;
    bool fresh = false;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& job : status.cancelled)
            fresh |=
                clusterState->recordCancellation(job, storage::CancellationLog::unknownRevision);
    }
    // A list that begins after what we have leaves a gap, and the peer sends it again.
    const bool connects = status.position <= peer.cancellationsReceived;
    if (connects) peer.cancellationsReceived = std::max(peer.cancellationsReceived, status.next);
    // Dated by our own clock: it was said after we had sent what it echoes. From an earlier life
    // of ours it holds as well, since we have read the records since.
    if (connects && status.vouches && status.complete && status.echo != 0 && everSynced() &&
        fromMicros(status.echo) <= context_.now())
        peer.vouchedAsOf = std::max(peer.vouchedAsOf, fromMicros(status.echo));
    if (fresh) onCancellations();
}

void Membership::broadcastHeartbeat() {
    const bool withPartitions = context_.machineTransfersEnabled(*context_.clusterState.lock());
    for (const auto& peer : context_.settings.peers) {
        PeerState& state = peers_[peer.name];
        protocol::PeerHeartbeat status;
        status.sentAt = micros(context_.now());
        status.echo = state.sentAt;
        status.stateReachable = context_.state.reachable();
        status.ready = ready();
        status.incarnation = incarnation_;
        status.acknowledgedLife = state.incarnation;
        status.acknowledged = state.cancellationsReceived;
        {
            auto clusterState = context_.clusterState.lock();
            const auto& log = clusterState->cancellations;
            status.applied = everSynced() ? clusterState->applied : 0;
            // An earlier life of ours may have told users what only the records hold.
            status.vouches = everSynced() && log.covers(state.acknowledged, state.applied);
            status.next = state.acknowledged;
        }
        // In as many messages as it takes: users were once answered after the first one.
        do {
            auto extract = context_.clusterState.lock()->cancellations.since(
                status.next, state.applied, mostCancellations);
            status.position = status.next;
            status.next = extract.next;
            status.complete = extract.complete;
            status.cancelled = std::move(extract.jobs);
            sendTo(peer.name, status, withPartitions);
        } while (!status.complete);
    }
    broadcastPosition_ = context_.clusterState.lock()->cancellations.end();
}

void Membership::broadcastCancellations(std::function<void()> then) {
    if (context_.clusterState.lock()->cancellations.end() == broadcastPosition_) return then();
    awaitingBroadcast_.push_back(std::move(then));
    if (awaitingBroadcast_.size() > 1) return;
    context_.timers.after(spreadDelay, [this] {
        broadcastHeartbeat();
        for (const auto& next : std::exchange(awaitingBroadcast_, {})) next();
    });
}

void Membership::broadcastPeriodically() {
    broadcastHeartbeat();
    reconcile();
    context_.timers.after(peerHeartbeatInterval, [this] { broadcastPeriodically(); });
}

void Membership::rejoinLater() {
    context_.timers.after(context_.jittered(joinPause), [this] { grantLease(); });
}

void Membership::grantLease() {
    if (!synced()) return rejoinLater();
    const auto sent = context_.now();
    context_.state.grantLease(ticks(context_.tuning.nodeLease), [this, sent](std::uint64_t lease) {
        if (lease == 0) return rejoinLater();
        writeNode(lease, sent);
    });
}

void Membership::writeNode(std::uint64_t lease, SteadyTime sent) {
    protocol::CompareAndSwap transaction;
    {
        auto clusterState = context_.clusterState.lock();
        const auto& name = context_.settings.name;
        const auto known = clusterState->nodes.find(name);
        // The version guards against a late write by an earlier life of this node, which would
        // hang the record on a lease that nobody renews.
        transaction.compares.push_back(
            {storage::keys::node(name), known == clusterState->nodes.end() ? 0 : known->second});
        // While we were out, a peer may have taken our partitions. Answering their workers once
        // more would prolong leases that the dependent counts down. Of very many partitions those
        // that don't fit are taken anew.
        while (acquiredTerms_.size() + 1 > context_.settings.transactionConditions())
            acquiredTerms_.erase(std::prev(acquiredTerms_.end()));
        for (const auto& [partition, term] : acquiredTerms_)
            transaction.compares.push_back(
                {storage::keys::partition(partition), clusterState->partitions[partition].version});
        transaction.writes.push_back(
            {storage::keys::node(name), protocol::Json{{"term", clusterState->lastTerm}}, lease});
        // Tied to no lease and never lowered: however late this is carried out, it says the truth.
        if (!clusterState->nodesWithJobDependencies.contains(name))
            transaction.writes.push_back(
                {storage::keys::jobDependenciesGate(name), storage::featureGateValue(), 0});
        if (!clusterState->nodesWithMachineTransfers.contains(name))
            transaction.writes.push_back(
                {storage::keys::machineTransfersGate(name), storage::featureGateValue(), 0});
    }
    context_.state.transact(
        std::move(transaction), protocol::RequestPriority::lease,
        [this, lease, sent](const protocol::CompareAndSwapResponse& answer) {
            if (answer.result == protocol::StateResult::refused) {
                for (const auto& key : answer.failed)
                    for (std::uint32_t partition = 0; partition < context_.partitionCount();
                         ++partition)
                        if (key == storage::keys::partition(partition))
                            acquiredTerms_.erase(partition);
                return refreshNodeVersion(lease, sent);
            }
            if (answer.result != protocol::StateResult::ok) return rejoinLater();
            {
                auto clusterState = context_.clusterState.lock();
                clusterState->nodes[context_.settings.name] = answer.revision;
            }
            leaseId_ = lease;
            joined_ = true;
            leaseUntil_ = sent + ticks(context_.tuning.nodeLease * driftMargin) - clockStep;
            spdlog::info("membership: joined");
            context_.timers.after(ticks(context_.tuning.nodeLease / 4), [this] { renew(); });
            reconcile();
        });
}

void Membership::refreshNodeVersion(std::uint64_t lease, SteadyTime sent) {
    const auto key = storage::keys::node(context_.settings.name);
    context_.state.read(key, [this, lease, sent](const protocol::ReadResponse& answer) {
        if (answer.result != protocol::StateResult::ok) return rejoinLater();
        {
            auto clusterState = context_.clusterState.lock();
            if (answer.items.empty())
                clusterState->nodes.erase(context_.settings.name);
            else
                clusterState->nodes[context_.settings.name] = answer.items.front().version;
        }
        if (context_.now() - sent < ticks(context_.tuning.nodeLease / 2))
            writeNode(lease, sent);
        else
            rejoinLater();
    });
}

void Membership::renew() {
    const auto sent = context_.now();
    context_.state.renewLease(leaseId_, [this, sent](protocol::StateResult result) {
        if (result == protocol::StateResult::refused) {
            spdlog::info("membership: lease lost");
            joined_ = false;
            // What we held may have been taken; the rejoining transaction finds out.
            return grantLease();
        }
        if (result == protocol::StateResult::ok)
            leaseUntil_ = std::max(
                leaseUntil_, sent + ticks(context_.tuning.nodeLease * driftMargin) - clockStep);
        const auto pause = result == protocol::StateResult::ok
                               ? ticks(context_.tuning.nodeLease / 4)
                               : context_.jittered(joinPause);
        context_.timers.after(pause, [this] { renew(); });
    });
}

}  // namespace fawnwheel::coordination
