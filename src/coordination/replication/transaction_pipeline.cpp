#include "coordination/replication/transaction_pipeline.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>

#include "storage/record_keys.h"
#include "storage/record_replay.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto retryDelay = 250ms;

}  // namespace

void TransactionPipeline::commit(PartitionId partition, protocol::CompareAndSwap transaction,
                                 CommitCallback done) {
    for (const auto& write : transaction.writes) inFlightKeys_.insert(write.key);
    auto& queue = queues_[partition];
    const auto partitionVersion = context_.clusterState.lock()->partitions[partition].version;
    queue.push_back({std::move(transaction), std::move(done), false, false, false, nextId_++,
                     partitionVersion});
    if (queue.size() == 1) send(partition);
}

bool TransactionPipeline::busy(PartitionId partition) const {
    const auto found = queues_.find(partition);
    return found != queues_.end() && !found->second.empty();
}

bool TransactionPipeline::idle() const {
    return std::all_of(queues_.begin(), queues_.end(),
                       [](const auto& entry) { return entry.second.empty(); });
}

void TransactionPipeline::abandon(PartitionId partition) {
    const auto abandoned = std::move(queues_[partition]);
    queues_.erase(partition);
    for (const auto& pending : abandoned) resolve(pending, CommitResult::partitionLost, 0);
}

void TransactionPipeline::resolve(const PendingTransaction& pending, CommitResult result,
                                  std::uint64_t revision) {
    std::vector<std::string> keys;
    for (const auto& write : pending.transaction.writes) {
        inFlightKeys_.erase(inFlightKeys_.find(write.key));
        keys.push_back(write.key);
    }
    pending.done(result, revision);
    if (observer_ != nullptr) observer_->onKeysReleased(keys);
}

TransactionPipeline::PendingTransaction* TransactionPipeline::head(PartitionId partition,
                                                                   std::uint64_t id) {
    const auto queue = queues_.find(partition);
    if (queue == queues_.end() || queue->second.empty() || queue->second.front().id != id)
        return nullptr;
    return &queue->second.front();
}

void TransactionPipeline::send(PartitionId partition) {
    const auto found = queues_.find(partition);
    if (found == queues_.end() || found->second.empty()) return;
    PendingTransaction& pending = found->second.front();
    // A callback of the previous transaction may already have queued and sent this one.
    if (pending.awaitingResponse) return;
    pending.awaitingResponse = true;
    protocol::CompareAndSwap transaction = pending.transaction;
    // The partition's version is the fencing token: a late or stale transaction of a leader that
    // has lost its partition, or of an earlier run of this process, fails this compare. The version
    // is that at the time of the decision. With the version at the time of sending, a decision made
    // in one term could be committed in a later term, against changes that another leader had made
    // in between (test TransactionDecidedInEarlierTermIsNotCommittedInLaterTerm).
    transaction.compares.push_back({storage::keys::partition(partition), pending.partitionVersion});
    context_.stateClient.transact(
        std::move(transaction), protocol::RequestPriority::write,
        [this, partition, id = pending.id](const protocol::CompareAndSwapResponse& answer) {
            onResponse(partition, id, answer);
        });
}

void TransactionPipeline::onResponse(PartitionId partition, std::uint64_t id,
                                     const protocol::CompareAndSwapResponse& answer) {
    PendingTransaction* pending = head(partition, id);
    if (pending == nullptr) return;
    pending->awaitingResponse = false;
    switch (answer.result) {
        case protocol::StateResult::ok:
            return complete(partition, CommitResult::committed, answer.revision);
        case protocol::StateResult::rejected:
            // Retrying a rejected transaction would block the partition's queue for ever. An
            // earlier attempt may have been committed before the limits changed, so the records
            // are read to determine the outcome.
            pending->rejected = true;
            return readAffectedRecords(partition);
        case protocol::StateResult::conflict:
            return readAffectedRecords(partition);
        case protocol::StateResult::unknown:
            // The transaction may still be committed. Sending it again settles the outcome:
            // whichever attempt is executed second fails its compares, because the first one has
            // changed the versions.
            pending->maybeCommitted = true;
            [[fallthrough]];
        case protocol::StateResult::notExecuted:
            context_.timers.after(context_.jittered(retryDelay), [this, partition, id] {
                if (head(partition, id) != nullptr) send(partition);
            });
    }
}

void TransactionPipeline::complete(PartitionId partition, CommitResult result,
                                   std::uint64_t revision) {
    auto& queue = queues_[partition];
    const PendingTransaction pending = std::move(queue.front());
    queue.pop_front();
    resolve(pending, result, revision);
    if (result == CommitResult::partitionLost) {
        abandon(partition);
        if (observer_ != nullptr) observer_->onResyncRequired();
        return;
    }
    send(partition);
}

void TransactionPipeline::readAffectedRecords(PartitionId partition) {
    const PendingTransaction& pending = queues_[partition].front();
    const auto id = pending.id;
    std::set<std::string> keys{storage::keys::partition(partition)};
    for (const auto& compare : pending.transaction.compares) keys.insert(compare.key);
    for (const auto& write : pending.transaction.writes) keys.insert(write.key);

    auto reads = std::make_shared<RecordReads>();
    reads->outstanding = keys.size();
    for (const auto& key : keys) {
        context_.stateClient.read(
            key, [this, partition, key, reads, id](const protocol::ReadResponse& answer) {
                if (answer.result != protocol::StateResult::ok)
                    reads->failed = true;
                else if (answer.items.empty())
                    reads->absent[key] = answer.revision;
                else
                    reads->items.push_back(answer.items.front());
                if (--reads->outstanding > 0 || head(partition, id) == nullptr) return;
                if (!reads->failed) return onRecordsRead(partition, *reads);
                context_.timers.after(context_.jittered(retryDelay), [this, partition, id] {
                    if (head(partition, id) != nullptr) readAffectedRecords(partition);
                });
            });
    }
}

std::optional<std::uint64_t> TransactionPipeline::committedRevision(
    const protocol::CompareAndSwap& transaction, const RecordReads& reads) {
    std::optional<std::uint64_t> revision;
    for (const auto& write : transaction.writes) {
        if (!write.value) {
            if (!reads.absent.contains(write.key)) return std::nullopt;
            continue;
        }
        const auto stored = std::find_if(reads.items.begin(), reads.items.end(),
                                         [&](const auto& item) { return item.key == write.key; });
        // A transaction writes all its records at one revision. Equal values at different revisions
        // come from several transactions. If the last revision were taken for all records, later
        // writes of the others would fail for ever
        // (test EqualValuesAtDifferentRevisionsAreNotTakenAsCommitted).
        if (stored == reads.items.end() || stored->value != *write.value ||
            revision.value_or(stored->version) != stored->version)
            return std::nullopt;
        revision = stored->version;
    }
    return revision.value_or(0);
}

void TransactionPipeline::refreshClusterState(const RecordReads& reads) {
    auto clusterState = context_.clusterState.lock();
    for (const auto& item : reads.items)
        storage::applyAnswer(*clusterState, {item.key, item.value, item.version}, context_.now());
    // The watch does not apply events of keys that are in flight, so deletions must be applied
    // here. Otherwise a job that has ended would stay in the cluster state for ever, and every
    // later write for that job would fail.
    for (const auto& [key, asOf] : reads.absent)
        storage::applyAnswer(*clusterState, {key, std::nullopt, asOf}, context_.now());
}

void TransactionPipeline::onRecordsRead(PartitionId partition, const RecordReads& reads) {
    const PendingTransaction& pending = queues_[partition].front();
    bool partitionLost = reads.absent.contains(storage::keys::partition(partition));
    for (const auto& item : reads.items)
        if (item.key == storage::keys::partition(partition))
            partitionLost = item.version != pending.partitionVersion;
    // An earlier attempt that got no response may have been committed.
    const auto revision = committedRevision(pending.transaction, reads);
    if (revision && pending.maybeCommitted && !partitionLost)
        return complete(partition, CommitResult::committed, *revision);
    spdlog::info("pipeline: transaction_refused partition={} cause={}", partition,
                 partitionLost ? "partition_lost" : "records_changed");
    if (!partitionLost) refreshClusterState(reads);
    complete(partition,
             partitionLost      ? CommitResult::partitionLost
             : pending.rejected ? CommitResult::rejected
                                : CommitResult::conflict,
             0);
}

}  // namespace fawnwheel::coordination
