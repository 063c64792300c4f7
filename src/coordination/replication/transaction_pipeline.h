/// @file
/// Sends a leader's transactions to the state service, one at a time for each partition. Each is
/// fenced by the version of the partition's record and retried until its outcome is definite.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// The definite outcome of a transaction.
enum class CommitResult {
    committed,
    conflict,       ///< another writer came first; the cluster state has been refreshed
    rejected,       ///< too large for the state service; the cluster state has been refreshed
    partitionLost,  ///< this node no longer leads the partition in that term
};

/// Receives notifications of transactions that affect the replica of the records.
class TransactionObserver {
  public:
    virtual ~TransactionObserver() = default;
    /// The cluster state of a lost partition may be wrong, so all records must be read again.
    virtual void onResyncRequired() = 0;
    /// A transaction has an outcome and its callback has run. The keys that it writes are no longer
    /// in flight unless another queued transaction writes them too.
    virtual void onKeysReleased(const std::vector<std::string>& keys) = 0;
};

/// Queues transactions by partition and sends them in the order in which they were queued.
class TransactionPipeline {
  public:
    using CommitCallback = std::function<void(CommitResult, std::uint64_t revision)>;

    explicit TransactionPipeline(Context& context) : context_(context) {}

    /// Called once, by the constructor of the replica, which is built after the pipeline.
    void setObserver(TransactionObserver& observer) { observer_ = &observer; }

    /// Queues a transaction. `done` is called exactly once, with the revision if the transaction
    /// was committed. The presently known version of the partition's record is added to the
    /// compares, so that a decision made in one term is never committed in a later term.
    void commit(PartitionId partition, protocol::CompareAndSwap transaction, CommitCallback done);
    /// Whether the partition has a transaction without an outcome.
    [[nodiscard]] bool busy(PartitionId partition) const;
    /// Whether no partition has a transaction without an outcome.
    [[nodiscard]] bool idle() const;
    /// Number of transactions queued since the process started.
    [[nodiscard]] std::uint64_t queuedCount() const { return nextId_ - 1; }
    /// Whether a queued transaction writes this key.
    [[nodiscard]] bool inFlight(const std::string& key) const {
        return inFlightKeys_.contains(key);
    }
    /// Called when this node no longer leads the partition: its queued transactions end as
    /// `partitionLost`.
    void abandon(PartitionId partition);

  private:
    struct PendingTransaction {
        protocol::CompareAndSwap transaction;
        CommitCallback done;
        bool maybeCommitted = false;    // a request had no definite result
        bool awaitingResponse = false;  // of the last request sent
        bool rejected = false;
        std::uint64_t id = 0;
        std::uint64_t partitionVersion = 0;  // identifies the term of the decision
    };
    /// Results of reading, one by one, the records that a failed transaction compares or writes.
    struct RecordReads {
        std::size_t outstanding = 0;
        bool failed = false;
        std::vector<protocol::Item> items;
        std::map<std::string, std::uint64_t> absent;  // key and the revision of the read
    };

    /// The head of the partition's queue; null unless it is the transaction with this id.
    [[nodiscard]] PendingTransaction* head(PartitionId partition, std::uint64_t id);
    void send(PartitionId partition);
    void onResponse(PartitionId partition, std::uint64_t id,
                    const protocol::CompareAndSwapResponse& answer);
    /// Removes the head of the queue, reports its outcome and sends the next transaction.
    void complete(PartitionId partition, CommitResult result, std::uint64_t revision);
    /// Releases the keys of a transaction and reports its outcome.
    void resolve(const PendingTransaction& pending, CommitResult result, std::uint64_t revision);
    /// Reads all records that the head of the queue compares or writes, to find out whether it was
    /// committed.
    void readAffectedRecords(PartitionId partition);
    void onRecordsRead(PartitionId partition, const RecordReads& reads);
    /// The revision at which all writes were committed, 0 if all of them are deletions; none if not
    /// all writes are found.
    [[nodiscard]] static std::optional<std::uint64_t> committedRevision(
        const protocol::CompareAndSwap& transaction, const RecordReads& reads);
    void refreshClusterState(const RecordReads& reads);

    Context& context_;
    TransactionObserver* observer_ = nullptr;
    std::map<std::uint32_t, std::deque<PendingTransaction>> queues_;  // by partition
    std::multiset<std::string> inFlightKeys_;
    std::uint64_t nextId_ = 1;
};

}  // namespace fawnwheel::coordination
