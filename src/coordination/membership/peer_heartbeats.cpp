#include "coordination/membership/peer_heartbeats.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/membership/timing.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto peerTimeout = 2500ms;
constexpr auto broadcastDelay = 10ms;  // gathers cancellations of the same moment
constexpr std::size_t maxCancellationsPerMessage = 256;

std::uint64_t micros(SteadyTime t) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(t.time_since_epoch()).count());
}

SteadyTime fromMicros(std::uint64_t value) {
    return SteadyTime(std::chrono::microseconds(value));
}

}  // namespace

std::uint64_t PeerHeartbeats::appliedRevisionOf(const std::string& peer) const {
    const auto found = peers_.find(peer);
    return found == peers_.end() ? 0 : found->second.applied;
}

bool PeerHeartbeats::isAlive(const std::string& peer) const {
    const auto found = peers_.find(peer);
    return found != peers_.end() && context_.now() - found->second.lastHeard < peerTimeout;
}

std::optional<Duration> PeerHeartbeats::aliveFor(const std::string& peer) const {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) return std::nullopt;
    return context_.now() - found->second.aliveSince;
}

bool PeerHeartbeats::canLead(const std::string& peer) const {
    const auto state = peers_.find(peer);
    return state != peers_.end() && isAlive(peer) && state->second.ready &&
           state->second.stateReachable && context_.clusterState.lock()->nodes.contains(peer);
}

bool PeerHeartbeats::anyPeerServing() const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return isAlive(entry.first) && entry.second.stateReachable && entry.second.ready;
    });
}

bool PeerHeartbeats::cancellationsKnown(Duration maxAge) const {
    const auto now = context_.now();
    return std::all_of(
        context_.settings.peers.begin(), context_.settings.peers.end(), [&](const auto& peer) {
            const auto found = peers_.find(peer.name);
            return found != peers_.end() && now <= found->second.cancellationsKnownAsOf + maxAge;
        });
}

bool PeerHeartbeats::outageConfirmedByAll(PartitionId partition, std::uint64_t term) const {
    const auto now = context_.now();
    return std::all_of(
        context_.settings.peers.begin(), context_.settings.peers.end(), [&](const auto& peer) {
            const auto found = peers_.find(peer.name);
            if (found == peers_.end()) return false;
            const auto& state = found->second;
            const auto leads = state.leadsInTerm.find(partition);
            return now - state.lostStateServiceAt < outageConfirmationValidity - timerResolution &&
                   (leads == state.leadsInTerm.end() || leads->second <= term);
        });
}

void PeerHeartbeats::onPeerHeartbeat(const std::string& peer,
                                     const protocol::PeerHeartbeat& status) {
    const bool known = std::any_of(context_.settings.peers.begin(), context_.settings.peers.end(),
                                   [&](const auto& p) { return p.name == peer; });
    if (!known) return;
    PeerState& state = peers_[peer];
    const auto now = context_.now();
    if (now - state.lastHeard > peerTimeout) state.aliveSince = now;
    state.lastHeard = now;
    state.sentAt = status.sentAt;
    state.stateReachable = status.stateReachable;
    state.ready = status.ready;
    // An echo from the future was sent by an earlier process of this node.
    if (!status.stateReachable && status.echo != 0 && fromMicros(status.echo) <= now)
        state.lostStateServiceAt = std::max(state.lostStateServiceAt, fromMicros(status.echo));
    applyCancellations(state, status);
}

void PeerHeartbeats::onLeaderHeartbeat(const std::string& peer,
                                       const protocol::LeaderHeartbeat& message) {
    auto& leadsInTerm = peers_[peer].leadsInTerm;
    leadsInTerm.clear();
    for (std::size_t i = 0; i < std::min(message.partitions.size(), message.terms.size()); ++i)
        leadsInTerm[message.partitions[i]] = message.terms[i];
    onPeerHeartbeat(peer, message.status);
}

void PeerHeartbeats::applyCancellations(PeerState& peer, const protocol::PeerHeartbeat& status) {
    if (peer.incarnation != status.incarnation) {
        peer.incarnation = status.incarnation;
        peer.cancellationsReceived = 0;
    }
    peer.applied = status.applied;
    peer.acknowledged = status.acknowledgedIncarnation == incarnation_ ? status.acknowledged : 0;
    bool learned = false;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& job : status.cancelled)
            learned |=
                clusterState->recordCancellation(job, storage::CancellationLog::unknownRevision);
    }
    // A list that begins after what has been received leaves a gap, and the peer sends it again.
    const bool contiguous = status.position <= peer.cancellationsReceived;
    if (contiguous) peer.cancellationsReceived = std::max(peer.cancellationsReceived, status.next);
    // Dated by this node's clock: the statement was made after the heartbeat that it echoes was
    // sent. An echo to an earlier process of this node holds as well, since the records have been
    // read since.
    if (contiguous && status.cancellationsCovered && status.complete && status.echo != 0 &&
        replica_.everSynced() && fromMicros(status.echo) <= context_.now())
        peer.cancellationsKnownAsOf =
            std::max(peer.cancellationsKnownAsOf, fromMicros(status.echo));
    if (learned) observer_.onCancellationsLearned();
}

bool PeerHeartbeats::isReady() const {
    return replica_.synced() && !context_.catalog.empty() && reachability_.isStable();
}

protocol::PeerHeartbeat PeerHeartbeats::makeHeartbeat(const PeerState& peer) {
    protocol::PeerHeartbeat status;
    status.sentAt = micros(context_.now());
    status.echo = peer.sentAt;
    status.stateReachable = context_.stateClient.reachable();
    status.ready = isReady();
    status.incarnation = incarnation_;
    status.acknowledgedIncarnation = peer.incarnation;
    status.acknowledged = peer.cancellationsReceived;
    auto clusterState = context_.clusterState.lock();
    const auto& log = clusterState->cancellations;
    status.applied = replica_.everSynced() ? clusterState->appliedRevision : 0;
    // An earlier process of this node may have told users what only the records hold.
    status.cancellationsCovered =
        replica_.everSynced() && log.covers(peer.acknowledged, peer.applied);
    status.next = peer.acknowledged;
    return status;
}

void PeerHeartbeats::broadcast() {
    const bool withPartitions = context_.machineTransfersEnabled(*context_.clusterState.lock());
    for (const auto& peer : context_.settings.peers) {
        const PeerState& state = peers_[peer.name];
        sendAllCancellations(peer.name, state.applied, makeHeartbeat(state), withPartitions);
    }
    broadcastPosition_ = context_.clusterState.lock()->cancellations.end();
}

void PeerHeartbeats::sendAllCancellations(const std::string& peer, std::uint64_t applied,
                                          protocol::PeerHeartbeat status, bool withPartitions) {
    // In as many messages as it takes: users were once answered after the first one.
    do {
        auto extract = context_.clusterState.lock()->cancellations.since(
            status.next, applied, maxCancellationsPerMessage);
        status.position = status.next;
        status.next = extract.next;
        status.complete = extract.complete;
        status.cancelled = std::move(extract.jobs);
        send(peer, status, withPartitions);
    } while (!status.complete);
}

void PeerHeartbeats::send(const std::string& peer, const protocol::PeerHeartbeat& status,
                          bool withPartitions) {
    if (!withPartitions) {
        context_.network.sendFrame(peer, protocol::encodePeer({context_.settings.name, status}));
        return;
    }
    protocol::LeaderHeartbeat message{status, {}, {}};
    for (const auto& [partition, term] : acquiredTerms_.all()) {
        if (!acquiredTerms_.isRecordedLeader(partition)) continue;
        message.partitions.push_back(partition);
        message.terms.push_back(term);
    }
    context_.network.sendFrame(peer, protocol::encodePeer({context_.settings.name, message}));
}

void PeerHeartbeats::broadcastCancellations(std::function<void()> then) {
    if (context_.clusterState.lock()->cancellations.end() == broadcastPosition_) return then();
    awaitingBroadcast_.push_back(std::move(then));
    if (awaitingBroadcast_.size() > 1) return;
    context_.timers.after(broadcastDelay, [this] {
        broadcast();
        for (const auto& next : std::exchange(awaitingBroadcast_, {})) next();
    });
}

}  // namespace fawnwheel::coordination
