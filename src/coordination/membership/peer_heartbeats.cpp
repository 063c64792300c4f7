#include "coordination/membership/peer_heartbeats.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/membership/timing.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto peerTimeout = 2500ms;
constexpr auto broadcastDelay = 10ms;  // batches cancellations that arrive together
constexpr std::size_t maxCancellationsPerMessage = 256;

std::uint64_t toMicroseconds(SteadyTime time) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count());
}

SteadyTime fromMicroseconds(std::uint64_t value) {
    return SteadyTime(std::chrono::microseconds(value));
}

}  // namespace

std::uint64_t PeerHeartbeats::appliedRevisionOf(const std::string& peer) const {
    const auto found = peers_.find(peer);
    return found == peers_.end() ? 0 : found->second.appliedRevision;
}

bool PeerHeartbeats::isAlive(const std::string& peer) const {
    const auto found = peers_.find(peer);
    return found != peers_.end() && context_.now() - found->second.lastHeartbeat < peerTimeout;
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
            const auto leaderTerm = state.leaderTerms.find(partition);
            return now - state.stateUnreachableAsOf <
                       outageConfirmationValidity - timerResolution &&
                   (leaderTerm == state.leaderTerms.end() || leaderTerm->second <= term);
        });
}

void PeerHeartbeats::onPeerHeartbeat(const std::string& peer,
                                     const protocol::PeerHeartbeat& status) {
    const bool isPeer =
        std::any_of(context_.settings.peers.begin(), context_.settings.peers.end(),
                    [&](const auto& configured) { return configured.name == peer; });
    if (!isPeer) return;
    PeerState& state = peers_[peer];
    const auto now = context_.now();
    if (now - state.lastHeartbeat > peerTimeout) state.aliveSince = now;
    state.lastHeartbeat = now;
    state.sentAt = status.sentAt;
    state.stateReachable = status.stateReachable;
    state.ready = status.ready;
    // An echo that is later than this node's clock refers to a heartbeat of an earlier process of
    // this node.
    if (!status.stateReachable && status.echo != 0 && fromMicroseconds(status.echo) <= now)
        state.stateUnreachableAsOf =
            std::max(state.stateUnreachableAsOf, fromMicroseconds(status.echo));
    applyCancellations(state, status);
}

void PeerHeartbeats::onLeaderHeartbeat(const std::string& peer,
                                       const protocol::LeaderHeartbeat& message) {
    auto& leaderTerms = peers_[peer].leaderTerms;
    leaderTerms.clear();
    for (std::size_t i = 0; i < std::min(message.partitions.size(), message.terms.size()); ++i)
        leaderTerms[message.partitions[i]] = message.terms[i];
    onPeerHeartbeat(peer, message.status);
}

void PeerHeartbeats::applyCancellations(PeerState& peer, const protocol::PeerHeartbeat& status) {
    if (peer.incarnation != status.incarnation) {
        peer.incarnation = status.incarnation;
        peer.cancellationsReceived = 0;
    }
    peer.appliedRevision = status.applied;
    peer.cancellationsAcknowledged =
        status.acknowledgedIncarnation == incarnation_ ? status.acknowledged : 0;
    bool anyNew = false;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& job : status.cancelled)
            anyNew |=
                clusterState->recordCancellation(job, storage::CancellationLog::unknownRevision);
    }
    // A list that begins after the received position leaves a gap. The position then stays, and the
    // peer sends the missing cancellations again.
    const bool contiguous = status.position <= peer.cancellationsReceived;
    if (contiguous) peer.cancellationsReceived = std::max(peer.cancellationsReceived, status.next);
    // The time is taken from this node's clock: the peer made its statement after this node had
    // sent the echoed heartbeat. An echo of an earlier process's heartbeat is valid as well,
    // because this process has read the records since.
    if (contiguous && status.cancellationsCovered && status.complete && status.echo != 0 &&
        replica_.everSynced() && fromMicroseconds(status.echo) <= context_.now())
        peer.cancellationsKnownAsOf =
            std::max(peer.cancellationsKnownAsOf, fromMicroseconds(status.echo));
    if (anyNew) observer_.onCancellationsLearned();
}

bool PeerHeartbeats::isReady() const {
    return replica_.synced() && !context_.catalog.empty() && reachability_.isStable();
}

protocol::PeerHeartbeat PeerHeartbeats::makeHeartbeat(const PeerState& peer) {
    protocol::PeerHeartbeat status;
    status.sentAt = toMicroseconds(context_.now());
    status.echo = peer.sentAt;
    status.stateReachable = context_.stateClient.reachable();
    status.ready = isReady();
    status.incarnation = incarnation_;
    status.acknowledgedIncarnation = peer.incarnation;
    status.acknowledged = peer.cancellationsReceived;
    auto clusterState = context_.clusterState.lock();
    const auto& log = clusterState->cancellations;
    status.applied = replica_.everSynced() ? clusterState->appliedRevision : 0;
    // An earlier process of this node may have confirmed cancellations to users that only the
    // records contain, so the records must have been read.
    status.cancellationsCovered =
        replica_.everSynced() && log.covers(peer.cancellationsAcknowledged, peer.appliedRevision);
    status.next = peer.cancellationsAcknowledged;
    return status;
}

void PeerHeartbeats::broadcast() {
    const bool withPartitions = context_.machineTransfersEnabled(*context_.clusterState.lock());
    for (const auto& peer : context_.settings.peers) {
        const PeerState& state = peers_[peer.name];
        sendAllCancellations(peer.name, state.appliedRevision, makeHeartbeat(state),
                             withPartitions);
    }
    broadcastPosition_ = context_.clusterState.lock()->cancellations.end();
}

void PeerHeartbeats::sendAllCancellations(const std::string& peer, std::uint64_t appliedRevision,
                                          protocol::PeerHeartbeat status, bool withPartitions) {
    // Sends as many messages as the list needs: users must not be answered after only the first
    // one.
    do {
        auto batch = context_.clusterState.lock()->cancellations.since(status.next, appliedRevision,
                                                                       maxCancellationsPerMessage);
        status.position = status.next;
        status.next = batch.next;
        status.complete = batch.complete;
        status.cancelled = std::move(batch.jobs);
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

void PeerHeartbeats::broadcastCancellations(std::function<void()> onBroadcast) {
    if (context_.clusterState.lock()->cancellations.end() == broadcastPosition_)
        return onBroadcast();
    broadcastCallbacks_.push_back(std::move(onBroadcast));
    if (broadcastCallbacks_.size() > 1) return;
    context_.timers.after(broadcastDelay, [this] {
        broadcast();
        for (const auto& callback : std::exchange(broadcastCallbacks_, {})) callback();
    });
}

}  // namespace fawnwheel::coordination
