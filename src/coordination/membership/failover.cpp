#include "coordination/membership/failover.h"

#include <spdlog/spdlog.h>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto retryDelay = 300ms;       // after a refusal
constexpr auto delayPerRank = 1s;        // between nodes that may acquire a leaderless partition
constexpr auto minPreferredUptime = 2s;  // of a preferred leader that gets its partition back

}  // namespace

void Failover::logUpgradeComplete() {
    if (upgradeLogged_ || !replica_.synced() ||
        !context_.jobDependenciesEnabled(*context_.clusterState.lock()))
        return;
    upgradeLogged_ = true;
    spdlog::info("membership: upgrade_complete nodes={}", context_.nodes.size());
}

void Failover::reconcile() {
    logUpgradeComplete();
    // While the records are read anew the partitions' records are missing for a moment.
    if (replica_.synced()) leadership_.announceLosses();
    leadership_.announceAcquisitions();
    if (!replica_.synced() || !lease_.isValid()) return;
    for (PartitionId partition = 0; partition < context_.partitionCount(); ++partition) {
        if (leadership_.isCaughtUp(partition))
            reconcileLed(partition);
        else
            reconcileUnled(partition);
    }
}

void Failover::reconcileLed(PartitionId partition) {
    if (pipeline_.busy(partition)) return;
    if (reachability_.isUnreachable()) {
        // Its machines' leases would run out, with all that runs on them (incident inc-59fe).
        if (const auto successor = successorFor(partition))
            transferLeadership(partition, *successor);
        return;
    }
    const auto& preferredLeader = context_.nodes[partition];
    if (preferredLeader == context_.settings.name || !peers_.canLead(preferredLeader)) return;
    if (peers_.aliveFor(preferredLeader) > minPreferredUptime)
        transferLeadership(partition, preferredLeader);
}

void Failover::reconcileUnled(PartitionId partition) {
    const auto now = context_.now();
    const auto record = context_.clusterState.lock()->partitions[partition];
    if (record.leader == context_.settings.name) {
        // Acquired by an earlier process of this node, transferred to it, or the term must rise. In
        // each case no other process acts as its leader.
        if (acquiredTerms_.termOf(partition) != record.term) acquire(partition);
        return;
    }
    acquiredTerms_.forget(partition);
    if (!isLeaderless(partition, record)) {
        leaderlessSince_.erase(partition);
        return;
    }
    const auto since = leaderlessSince_.try_emplace(partition, now).first->second;
    if (now - since >= failoverRank(partition) * delayPerRank) acquire(partition);
}

bool Failover::isLeaderless(PartitionId partition, const storage::Partition& record) const {
    auto clusterState = context_.clusterState.lock();
    if (record.version != 0) return !clusterState->nodes.contains(record.leader);
    const auto& preferredLeader = context_.nodes[partition];
    return preferredLeader == context_.settings.name ||
           !clusterState->nodes.contains(preferredLeader);
}

std::uint32_t Failover::failoverRank(PartitionId partition) const {
    // Nodes are ranked from the partition's preferred leader on; a node that no worker reaches
    // comes after all others.
    const auto rank = (context_.preferredPartition + context_.partitionCount() - partition) %
                      context_.partitionCount();
    return reachability_.isUnreachable() ? rank + context_.partitionCount() : rank;
}

std::optional<std::string> Failover::successorFor(PartitionId partition) const {
    // Near the partition's machines, with as few other partitions as possible, by name last.
    struct Candidate {
        std::size_t machinesInZone = 0;
        std::size_t partitions = 0;
        std::string name;
        [[nodiscard]] bool isBetterThan(const Candidate& other) const {
            return std::tie(machinesInZone, other.partitions, other.name) >
                   std::tie(other.machinesInZone, partitions, name);
        }
    };
    std::optional<Candidate> best;
    auto clusterState = context_.clusterState.lock();
    for (const auto& peer : context_.settings.peers) {
        if (!peers_.canLead(peer.name)) continue;
        Candidate candidate{0, 0, peer.name};
        for (const auto* machine : clusterState->machinesOf(partition))
            if (machine->zone == peer.zone) ++candidate.machinesInZone;
        for (const auto& [number, record] : clusterState->partitions)
            if (record.leader == peer.name) ++candidate.partitions;
        if (!best || candidate.isBetterThan(*best)) best = std::move(candidate);
    }
    if (!best) return std::nullopt;
    return best->name;
}

bool Failover::mustDelayAcquisition(PartitionId partition) const {
    // A refusal says that the records here are older than it: the next try waits until they are
    // not. Back from a cut, a node once tried its stale versions again and again, as urgent as its
    // lease, and so kept itself from reading what would have shown it better (stale_after_cut).
    const auto failed = failedAcquisitions_.find(partition);
    return failed != failedAcquisitions_.end() &&
           (context_.now() < failed->second.retryAt ||
            context_.clusterState.lock()->appliedRevision < failed->second.revision);
}

protocol::CompareAndSwap Failover::acquisitionTransaction(ClusterState& clusterState,
                                                          PartitionId partition,
                                                          const storage::Partition& next) {
    protocol::CompareAndSwap transaction;
    const auto& record = clusterState.partitions[partition];
    transaction.compares = {{storage::keys::partition(partition), record.version},
                            {storage::keys::term, clusterState.termVersion}};
    if (!record.leader.empty() && record.leader != next.leader)
        transaction.compares.push_back({storage::keys::node(record.leader), 0});
    // This process's own node record is a condition too: a late acquisition by a process that has
    // ended fails.
    transaction.compares.push_back(
        {storage::keys::node(next.leader), clusterState.nodes[next.leader]});
    transaction.writes = {{storage::keys::partition(partition), storage::partitionValue(next), 0},
                          {storage::keys::term, protocol::Json{{"term", next.term}}, 0}};
    return transaction;
}

void Failover::acquire(PartitionId partition) {
    if (mustDelayAcquisition(partition) || !changing_.insert(partition).second) return;
    protocol::CompareAndSwap transaction;
    storage::Partition next;
    {
        auto clusterState = context_.clusterState.lock();
        next.leader = context_.settings.name;
        next.term = clusterState->lastTerm + 1;
        transaction = acquisitionTransaction(*clusterState, partition, next);
    }
    context_.stateClient.transact(
        std::move(transaction), protocol::RequestPriority::lease,
        [this, partition, next](const protocol::CompareAndSwapResponse& answer) {
            changing_.erase(partition);
            if (answer.result == protocol::StateResult::ok)
                return onAcquired(partition, next, answer.revision);
            // The replica shows what became of it; then the partition is looked at again.
            const auto pause = context_.jittered(retryDelay);
            failedAcquisitions_[partition] = {answer.revision, context_.now() + pause};
            context_.timers.after(pause, [this] { reconcile(); });
        });
}

void Failover::onAcquired(PartitionId partition, const storage::Partition& next,
                          std::uint64_t revision) {
    spdlog::info("failover: partition_acquired partition={} term={}", partition, next.term);
    {
        auto clusterState = context_.clusterState.lock();
        auto& record = clusterState->partitions[partition];
        record = next;
        record.version = revision;
        clusterState->lastTerm = next.term;
        clusterState->termVersion = revision;
    }
    acquiredTerms_.record(partition, next.term);
    failedAcquisitions_.erase(partition);
    leaderlessSince_.erase(partition);
    reconcile();
}

void Failover::transferLeadership(PartitionId partition, const std::string& node) {
    if (!changing_.insert(partition).second) return;
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
    // Nobody is answered for the partition from now on: the new leader may start at any moment.
    acquiredTerms_.forget(partition);
    leadership_.announceLosses();
    context_.stateClient.transact(
        std::move(transaction), protocol::RequestPriority::lease,
        [this, partition, next](const protocol::CompareAndSwapResponse& answer) {
            changing_.erase(partition);
            // Without success the record still names this node, which acquires the partition anew
            // with a higher term.
            if (answer.result != protocol::StateResult::ok) return;
            spdlog::info("failover: leadership_transferred partition={} to={}", partition,
                         next.leader);
            auto clusterState = context_.clusterState.lock();
            auto& record = clusterState->partitions[partition];
            record = next;
            record.version = answer.revision;
        });
}

}  // namespace fawnwheel::coordination
