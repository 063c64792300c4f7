#include "coordination/membership/failover.h"

#include <spdlog/spdlog.h>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto retryDelay = 300ms;       // after a failed acquisition
constexpr auto delayPerRank = 1s;        // between the attempts of nodes of adjacent ranks
constexpr auto minPreferredUptime = 2s;  // of a preferred leader before it gets its partition back

/// The record of the latest term, once the partition has been acquired.
protocol::Json termValue(const storage::Partition& acquired) {
    return {{"term", acquired.term}};
}

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
    // During a resync the partitions' records are missing for a moment, which is not a loss.
    if (replica_.synced()) leadership_.announceLosses();
    leadership_.announceAcquisitions();
    if (!replica_.synced() || !lease_.isValid()) return;
    for (PartitionId partition = 0; partition < context_.partitionCount(); ++partition) {
        if (leadership_.isCaughtUp(partition))
            reconcileLedPartition(partition);
        else
            reconcileOtherPartition(partition);
    }
}

void Failover::reconcileLedPartition(PartitionId partition) {
    if (pipeline_.busy(partition)) return;
    if (reachability_.isUnreachable()) {
        // If this node kept the partition, its workers could not renew their leases, and everything
        // that runs on its machines would be lost (incident inc-59fe).
        if (const auto successor = successorFor(partition))
            transferLeadership(partition, *successor);
        return;
    }
    const auto& preferredLeader = context_.nodes[partition];
    if (preferredLeader == context_.settings.name || !peers_.canLead(preferredLeader)) return;
    if (peers_.aliveFor(preferredLeader) > minPreferredUptime)
        transferLeadership(partition, preferredLeader);
}

void Failover::reconcileOtherPartition(PartitionId partition) {
    const auto now = context_.now();
    const auto record = context_.clusterState.lock()->partitions[partition];
    if (record.leader == context_.settings.name) {
        // An earlier process of this node acquired the partition, a peer transferred it to this
        // node, or this process has to acquire it anew with a higher term. In each case no other
        // process acts as the partition's leader.
        if (acquiredTerms_.termOf(partition) != record.term) acquire(partition);
        return;
    }
    acquiredTerms_.erase(partition);
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
    // Ranks are counted from the partition's preferred leader onwards. A node that no worker can
    // reach ranks after all others.
    const auto rank = (context_.preferredPartition + context_.partitionCount() - partition) %
                      context_.partitionCount();
    return reachability_.isUnreachable() ? rank + context_.partitionCount() : rank;
}

std::optional<std::string> Failover::successorFor(PartitionId partition) const {
    // Prefers the peer with most of the partition's machines in its zone, then the one that leads
    // the fewest partitions, then the first by name.
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
    // A refusal shows that the cluster state here is outdated, so the next attempt waits until the
    // cluster state has reached the revision of the refusal. Otherwise a node that was cut off from
    // the network retries with stale versions, and these requests, sent with the priority of
    // leases, starve the reads that would update its records (scenario
    // stale_records_after_isolation).
    const auto failed = failedAcquisitions_.find(partition);
    return failed != failedAcquisitions_.end() &&
           (context_.now() < failed->second.retryAt ||
            context_.clusterState.lock()->appliedRevision < failed->second.revision);
}

protocol::CompareAndSwap Failover::acquisitionTransaction(ClusterState& clusterState,
                                                          PartitionId partition,
                                                          const storage::Partition& newRecord) {
    protocol::CompareAndSwap transaction;
    const auto& record = clusterState.partitions[partition];
    transaction.compares = {{storage::keys::partition(partition), record.version},
                            {storage::keys::term, clusterState.termVersion}};
    if (!record.leader.empty() && record.leader != newRecord.leader)
        transaction.compares.push_back({storage::keys::node(record.leader), 0});
    // The compare of this process's own node record makes a delayed acquisition fail if the process
    // has ended.
    transaction.compares.push_back(
        {storage::keys::node(newRecord.leader), clusterState.nodes[newRecord.leader]});
    transaction.writes = {
        {storage::keys::partition(partition), storage::partitionValue(newRecord), 0},
        {storage::keys::term, termValue(newRecord), 0}};
    return transaction;
}

void Failover::acquire(PartitionId partition) {
    if (mustDelayAcquisition(partition) || !pendingPartitions_.insert(partition).second) return;
    protocol::CompareAndSwap transaction;
    storage::Partition newRecord;
    {
        auto clusterState = context_.clusterState.lock();
        newRecord.leader = context_.settings.name;
        newRecord.term = clusterState->lastTerm + 1;
        transaction = acquisitionTransaction(*clusterState, partition, newRecord);
    }
    context_.stateClient.transact(
        std::move(transaction), protocol::RequestPriority::lease,
        [this, partition, newRecord](const protocol::CompareAndSwapResponse& response) {
            pendingPartitions_.erase(partition);
            if (response.result == protocol::StateResult::ok)
                return onAcquired(partition, newRecord, response.revision);
            // The replica receives the outcome from the state service; after the delay the
            // partition is reconciled again.
            const auto delay = context_.jittered(retryDelay);
            failedAcquisitions_[partition] = {response.revision, context_.now() + delay};
            context_.timers.after(delay, [this] { reconcile(); });
        });
}

void Failover::onAcquired(PartitionId partition, const storage::Partition& newRecord,
                          std::uint64_t revision) {
    spdlog::info("failover: partition_acquired partition={} term={}", partition, newRecord.term);
    {
        auto clusterState = context_.clusterState.lock();
        storage::applyAnswer(
            *clusterState,
            {storage::keys::partition(partition), storage::partitionValue(newRecord), revision},
            context_.now());
        storage::applyAnswer(*clusterState, {storage::keys::term, termValue(newRecord), revision},
                             context_.now());
    }
    acquiredTerms_.record(partition, newRecord.term);
    failedAcquisitions_.erase(partition);
    leaderlessSince_.erase(partition);
    reconcile();
}

void Failover::transferLeadership(PartitionId partition, const std::string& node) {
    if (!pendingPartitions_.insert(partition).second) return;
    protocol::CompareAndSwap transaction;
    storage::Partition newRecord;
    {
        auto clusterState = context_.clusterState.lock();
        const auto& record = clusterState->partitions[partition];
        newRecord = record;
        newRecord.leader = node;
        transaction.compares = {
            {storage::keys::partition(partition), record.version},
            {storage::keys::node(newRecord.leader), clusterState->nodes[newRecord.leader]}};
        transaction.writes = {
            {storage::keys::partition(partition), storage::partitionValue(newRecord), 0}};
    }
    // This process must stop acting as the partition's leader before it sends the transaction,
    // because the new leader may start at any moment.
    acquiredTerms_.erase(partition);
    leadership_.announceLosses();
    context_.stateClient.transact(
        std::move(transaction), protocol::RequestPriority::lease,
        [this, partition, newRecord](const protocol::CompareAndSwapResponse& response) {
            pendingPartitions_.erase(partition);
            // After a failed transfer the record still names this node, which then acquires the
            // partition anew with a higher term.
            if (response.result != protocol::StateResult::ok) return;
            spdlog::info("failover: leadership_transferred partition={} to={}", partition,
                         newRecord.leader);
            storage::applyAnswer(*context_.clusterState.lock(),
                                 {storage::keys::partition(partition),
                                  storage::partitionValue(newRecord), response.revision},
                                 context_.now());
        });
}

}  // namespace fawnwheel::coordination
