#include "coordination/replication/transaction_pipeline.h"

#include <spdlog/spdlog.h>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto retryPause = 250ms;

}  // namespace

void TransactionPipeline::commit(std::uint32_t partition, protocol::CompareAndSwap transaction,
                                 Done done) {
    for (const auto& write : transaction.writes) keys_.insert(write.key);
    auto& queue = queues_[partition];
    const auto partitionVersion = context_.clusterState.lock()->partitions[partition].version;
    queue.push_back({std::move(transaction), std::move(done), false, false, false, nextId_++,
                     partitionVersion});
    if (queue.size() == 1) send(partition);
}

bool TransactionPipeline::busy(std::uint32_t partition) const {
    const auto found = queues_.find(partition);
    return found != queues_.end() && !found->second.empty();
}

void TransactionPipeline::abandon(std::uint32_t partition) {
    auto works = std::move(queues_[partition]);
    queues_.erase(partition);
    for (const auto& pending : works) finish(pending, CommitResult::partitionLost, 0);
}

void TransactionPipeline::finish(const PendingTransaction& pending, CommitResult result,
                                 std::uint64_t revision) {
    std::vector<std::string> keys;
    for (const auto& write : pending.transaction.writes) {
        keys_.erase(keys_.find(write.key));
        keys.push_back(write.key);
    }
    pending.done(result, revision);
    onSettled(keys);
}

void TransactionPipeline::send(std::uint32_t partition) {
    const auto found = queues_.find(partition);
    if (found == queues_.end() || found->second.empty()) return;
    PendingTransaction& pending = found->second.front();
    // What a callback of the work before has queued may be under way already.
    if (pending.sending) return;
    pending.sending = true;
    protocol::CompareAndSwap transaction = pending.transaction;
    // Guards against a late or stale transaction: a leader that has lost its partition, or an
    // earlier life of this process, can no longer change anything. The version is that of the
    // decision. With the one at the time of sending, what was decided under one term was once
    // carried out under the next, against what a dependent had done meanwhile
    // (WhatWasDecidedInAnEarlierTermIsNotSentInALaterOne).
    transaction.compares.push_back({storage::keys::partition(partition), pending.partitionVersion});
    context_.state.transact(
        std::move(transaction), protocol::RequestPriority::write,
        [this, partition, id = pending.id](const protocol::CompareAndSwapResponse& answer) {
            const auto queue = queues_.find(partition);
            if (queue == queues_.end() || queue->second.empty() || queue->second.front().id != id)
                return;
            queue->second.front().sending = false;
            switch (answer.result) {
                case protocol::StateResult::ok:
                    return settle(partition, CommitResult::done, answer.revision);
                case protocol::StateResult::rejected:
                    // Sent again it would stop the partition's queue for ever. An earlier try may
                    // have been carried out before the limits changed: the records tell.
                    queue->second.front().rejected = true;
                    return readBack(partition);
                case protocol::StateResult::refused:
                    return readBack(partition);
                case protocol::StateResult::unknown:
                    // It may yet be carried out. RequestThrottle for the same again settles it:
                    // whichever comes second fails on the versions that the first one moved.
                    queue->second.front().sent = true;
                    [[fallthrough]];
                case protocol::StateResult::notCarried:
                    context_.timers.after(context_.jittered(retryPause), [this, partition, id] {
                        const auto again = queues_.find(partition);
                        if (again != queues_.end() && !again->second.empty() &&
                            again->second.front().id == id)
                            send(partition);
                    });
            }
        });
}

void TransactionPipeline::settle(std::uint32_t partition, CommitResult result,
                                 std::uint64_t revision) {
    auto& queue = queues_[partition];
    const PendingTransaction pending = std::move(queue.front());
    queue.pop_front();
    finish(pending, result, revision);
    if (result == CommitResult::partitionLost) {
        abandon(partition);
        onDoubt();
        return;
    }
    send(partition);
}

void TransactionPipeline::readBack(std::uint32_t partition) {
    const PendingTransaction& pending = queues_[partition].front();
    std::set<std::string> wanted{storage::keys::partition(partition)};
    for (const auto& compare : pending.transaction.compares) wanted.insert(compare.key);
    for (const auto& write : pending.transaction.writes) wanted.insert(write.key);

    struct Collection {
        std::size_t left = 0;
        bool failed = false;
        std::vector<protocol::Item> items;
        std::map<std::string, std::uint64_t> missing;  // as of this revision
    };
    auto collect = std::make_shared<Collection>();
    collect->left = wanted.size();
    for (const auto& key : wanted) {
        context_.state.read(key, [this, partition, key, collect,
                                  id = pending.id](const protocol::ReadResponse& answer) {
            if (answer.result != protocol::StateResult::ok)
                collect->failed = true;
            else if (answer.items.empty())
                collect->missing[key] = answer.revision;
            else
                collect->items.push_back(answer.items.front());
            if (--collect->left > 0) return;
            const auto queue = queues_.find(partition);
            if (queue == queues_.end() || queue->second.empty() || queue->second.front().id != id)
                return;
            if (!collect->failed)
                return finishReadBack(partition, std::move(collect->items), collect->missing);
            context_.timers.after(context_.jittered(retryPause), [this, partition, id] {
                const auto again = queues_.find(partition);
                if (again != queues_.end() && !again->second.empty() &&
                    again->second.front().id == id)
                    readBack(partition);
            });
        });
    }
}

void TransactionPipeline::finishReadBack(std::uint32_t partition, std::vector<protocol::Item> items,
                                         const std::map<std::string, std::uint64_t>& missing) {
    const PendingTransaction& pending = queues_[partition].front();
    bool landed = true;
    std::optional<std::uint64_t> revision;
    for (const auto& write : pending.transaction.writes) {
        if (!write.value) {
            landed = landed && missing.contains(write.key);
            continue;
        }
        const auto stored = std::find_if(items.begin(), items.end(),
                                         [&](const auto& i) { return i.key == write.key; });
        // One transaction leaves one revision. Equal values with different ones come from several,
        // and with the later taken for all of them the others' writes failed for ever.
        if (stored == items.end() || stored->value != *write.value ||
            revision.value_or(stored->version) != stored->version) {
            landed = false;
        } else {
            revision = stored->version;
        }
    }
    bool partitionLost = missing.contains(storage::keys::partition(partition));
    for (const auto& item : items)
        if (item.key == storage::keys::partition(partition))
            partitionLost = item.version != pending.partitionVersion;
    // A first try without an answer may have been the one that landed.
    if (landed && pending.sent && !partitionLost)
        return settle(partition, CommitResult::done, revision.value_or(0));
    spdlog::info("commit: part {} refused, {}", partition,
                 partitionLost ? "part lost" : "records changed");
    if (!partitionLost) {
        auto clusterState = context_.clusterState.lock();
        for (const auto& item : items)
            storage::applyEvent(*clusterState, {item.key, item.value, item.version},
                                context_.now());
        // The watch passes over keys of ours that are under way, so a deletion has to be taken
        // in here: a job that had ended was once kept for ever, and failed every later write.
        for (const auto& [key, asOf] : missing)
            storage::applyEvent(*clusterState, {key, std::nullopt, asOf}, context_.now());
    }
    settle(partition,
           partitionLost      ? CommitResult::partitionLost
           : pending.rejected ? CommitResult::rejected
                              : CommitResult::conflict,
           0);
}

}  // namespace fawnwheel::coordination
