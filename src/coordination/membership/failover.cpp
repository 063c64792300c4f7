// Partitions that change hands: which are ours, which are orphaned, who takes them, and to whom
// they are given.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/membership/membership.h"
#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto retryPause = 300ms;  // after a refusal
constexpr auto rankPause = 1s;      // between dependents in line
constexpr auto handBackAfter = 2s;  // the preferred leader must have been back this long

}  // namespace

bool Membership::ledHere(std::uint32_t partition) {
    const auto acquired = acquiredTerms_.find(partition);
    if (acquired == acquiredTerms_.end()) return false;
    auto clusterState = context_.clusterState.lock();
    const auto& record = clusterState->partitions[partition];
    return record.leader == context_.settings.name && record.term == acquired->second;
}

void Membership::dropLostPartitions() {
    std::vector<std::uint32_t> lost;
    for (const auto& [partition, term] : announced_)
        if (!ledHere(partition)) lost.push_back(partition);
    for (const auto partition : lost) {
        announced_.erase(partition);
        onLost(partition);
    }
}

bool Membership::settled(std::uint32_t partition) {
    if (!ledHere(partition) || !joined_ || !synced()) return false;
    auto clusterState = context_.clusterState.lock();
    return clusterState->applied >= clusterState->partitions[partition].version;
}

bool Membership::isLeader(std::uint32_t partition) {
    // Only once `onActive` has put aside what was known of the partition's machines. A failover
    // right before an outage once acted on it earlier: leases seemed to have run out long ago.
    const auto known = announced_.find(partition);
    return settled(partition) && known != announced_.end() &&
           known->second == acquiredTerms_[partition];
}

std::vector<std::uint32_t> Membership::ledPartitions() {
    std::vector<std::uint32_t> partitions;
    for (std::uint32_t partition = 0; partition < context_.partitionCount(); ++partition)
        if (isLeader(partition)) partitions.push_back(partition);
    return partitions;
}

std::uint64_t Membership::term(std::uint32_t partition) {
    return context_.clusterState.lock()->partitions[partition].term;
}

void Membership::recordFeatureGates() {
    if (featureGatesLogged_ || !synced() ||
        !context_.jobDependenciesEnabled(*context_.clusterState.lock()))
        return;
    featureGatesLogged_ = true;
    spdlog::info("membership: all nodes have run this version, its formats are in use");
}

void Membership::reconcile() {
    recordFeatureGates();
    // While the records are read anew the partitions' records are missing for a moment.
    if (synced()) dropLostPartitions();
    for (std::uint32_t partition = 0; partition < context_.partitionCount(); ++partition) {
        if (!settled(partition) || !recordsComplete()) continue;
        if (const auto known = announced_.find(partition);
            known != announced_.end() && known->second == acquiredTerms_[partition])
            continue;
        announced_[partition] = acquiredTerms_[partition];
        spdlog::info("membership: part {} active, term {}", partition, acquiredTerms_[partition]);
        onActive(partition);
    }
    if (!joined_ || !synced() || !isLeaseValid()) return;
    for (std::uint32_t partition = 0; partition < context_.partitionCount(); ++partition) {
        if (settled(partition))
            reconcileLed(partition);
        else
            reconcileUnled(partition);
    }
}

void Membership::reconcileLed(std::uint32_t partition) {
    if (busy(partition)) return;
    if (workersUnreachable()) {
        // Its machines' leases would run out, with all that runs on them (incident inc-59fe).
        if (const auto substitute = successorFor(partition))
            transferLeadership(partition, *substitute);
        return;
    }
    const auto& natural = context_.nodes[partition];
    if (natural == context_.settings.name || !peerCanLead(natural)) return;
    if (context_.now() - peers_.at(natural).freshSince > handBackAfter)
        transferLeadership(partition, natural);
}

void Membership::reconcileUnled(std::uint32_t partition) {
    const auto now = context_.now();
    const auto& natural = context_.nodes[partition];
    storage::Partition record;
    bool leaderAlive = false;
    bool naturalAlive = false;
    {
        auto clusterState = context_.clusterState.lock();
        record = clusterState->partitions[partition];
        leaderAlive = clusterState->nodes.contains(record.leader);
        naturalAlive = clusterState->nodes.contains(natural);
    }
    if (record.leader == context_.settings.name) {
        // Ours by an earlier life, handed to us, or its term must rise. In each case no other
        // process acts as its leader.
        if (!acquiredTerms_.contains(partition) || acquiredTerms_[partition] != record.term)
            acquire(partition);
        return;
    }
    acquiredTerms_.erase(partition);
    const bool orphan =
        record.version == 0 ? natural == context_.settings.name || !naturalAlive : !leaderAlive;
    if (!orphan) {
        leaderlessSince_.erase(partition);
        return;
    }
    const auto since = leaderlessSince_.try_emplace(partition, now).first->second;
    // Dependents stand in line from the partition's preferred leader on; whoever hears no workers
    // comes after all others.
    auto rank = (context_.preferredPartition + context_.partitionCount() - partition) %
                context_.partitionCount();
    if (workersUnreachable()) rank += context_.partitionCount();
    if (now - since >= rank * rankPause) acquire(partition);
}

bool Membership::peerCanLead(const std::string& peer) const {
    const auto state = peers_.find(peer);
    return state != peers_.end() && isPeerAlive(peer) && state->second.ready &&
           state->second.reachable && context_.clusterState.lock()->nodes.contains(peer);
}

std::optional<std::string> Membership::successorFor(std::uint32_t partition) {
    // Near the partition's machines, and with as few other partitions as can be.
    struct Candidate {
        std::size_t machinesInZone = 0;
        std::size_t partitions = 0;
        std::string name;
    };
    std::optional<Candidate> best;
    auto clusterState = context_.clusterState.lock();
    for (const auto& peer : context_.settings.peers) {
        if (!peerCanLead(peer.name)) continue;
        Candidate candidate{0, 0, peer.name};
        for (const auto* machine : clusterState->machinesOf(partition))
            if (machine->zone == peer.zone) ++candidate.machinesInZone;
        for (const auto& [number, record] : clusterState->partitions)
            if (record.leader == peer.name) ++candidate.partitions;
        if (!best || std::tuple(candidate.machinesInZone, best->partitions, best->name) >
                         std::tuple(best->machinesInZone, candidate.partitions, candidate.name))
            best = std::move(candidate);
    }
    if (!best) return std::nullopt;
    return best->name;
}

void Membership::onReachabilityChanged() {
    // A peer that takes a partition from us must not give it back at once.
    broadcastHeartbeat();
    reconcile();
}

void Membership::acquire(std::uint32_t partition) {
    // A refusal says that our records are older than it: the next try waits until they are not.
    // Back from a cut, a node once tried its stale versions again and again, as urgent as its
    // lease, and so kept itself from reading what would have shown it better (stale_after_cut).
    if (const auto failed = failedAcquisitions_.find(partition);
        failed != failedAcquisitions_.end() &&
        (context_.now() < failed->second.retry ||
         context_.clusterState.lock()->applied < failed->second.revision))
        return;
    if (!acquiring_.insert(partition).second) return;
    protocol::CompareAndSwap transaction;
    storage::Partition next;
    {
        auto clusterState = context_.clusterState.lock();
        const auto& record = clusterState->partitions[partition];
        next.leader = context_.settings.name;
        next.term = clusterState->lastTerm + 1;
        transaction.compares = {{storage::keys::partition(partition), record.version},
                                {storage::keys::term, clusterState->termVersion}};
        if (!record.leader.empty() && record.leader != next.leader)
            transaction.compares.push_back({storage::keys::node(record.leader), 0});
        // Our own life is a condition too: a late acquisition by a process that has ended fails.
        transaction.compares.push_back(
            {storage::keys::node(next.leader), clusterState->nodes[next.leader]});
        transaction.writes = {
            {storage::keys::partition(partition), storage::partitionValue(next), 0},
            {storage::keys::term, protocol::Json{{"term", next.term}}, 0}};
    }
    context_.state.transact(
        std::move(transaction), protocol::RequestPriority::lease,
        [this, partition, next](const protocol::CompareAndSwapResponse& answer) {
            acquiring_.erase(partition);
            if (answer.result != protocol::StateResult::ok) {
                // The replica shows what became of it; then we look again.
                const auto pause = context_.jittered(retryPause);
                failedAcquisitions_[partition] = {answer.revision, context_.now() + pause};
                context_.timers.after(pause, [this] { reconcile(); });
                return;
            }
            spdlog::info("membership: took part {}, term {}", partition, next.term);
            {
                auto clusterState = context_.clusterState.lock();
                auto& record = clusterState->partitions[partition];
                record = next;
                record.version = answer.revision;
                clusterState->lastTerm = next.term;
                clusterState->termVersion = answer.revision;
            }
            acquiredTerms_[partition] = next.term;
            failedAcquisitions_.erase(partition);
            leaderlessSince_.erase(partition);
            reconcile();
        });
}

void Membership::transferLeadership(std::uint32_t partition, const std::string& node) {
    if (!acquiring_.insert(partition).second) return;
    protocol::CompareAndSwap transaction;
    storage::Partition next;
    {
        auto clusterState = context_.clusterState.lock();
        const auto& record = clusterState->partitions[partition];
        next = record;
        next.leader = node;
        transaction.compares = {
            {storage::keys::partition(partition), record.version},
            {storage::keys::node(next.leader), clusterState->nodes[next.leader]}};
        transaction.writes = {
            {storage::keys::partition(partition), storage::partitionValue(next), 0}};
    }
    // Answering nobody for the partition from now on: the new leader may start at any moment.
    acquiredTerms_.erase(partition);
    dropLostPartitions();
    context_.state.transact(
        std::move(transaction), protocol::RequestPriority::lease,
        [this, partition, next](const protocol::CompareAndSwapResponse& answer) {
            acquiring_.erase(partition);
            // Without success the record still names us, and we take it anew
            // with a higher term.
            if (answer.result != protocol::StateResult::ok) return;
            spdlog::info("membership: handed part {} over to {}", partition, next.leader);
            auto clusterState = context_.clusterState.lock();
            auto& record = clusterState->partitions[partition];
            record = next;
            record.version = answer.revision;
        });
}

}  // namespace fawnwheel::coordination
