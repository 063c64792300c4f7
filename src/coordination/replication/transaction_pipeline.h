/// @file
/// Carries a leader's writes to the state service: for each partition one transaction at a time,
/// each fenced by the partition's own record, repeated until there is a definite answer.
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

/// Told what transactions mean for the replicated records.
class TransactionObserver {
  public:
    virtual ~TransactionObserver() = default;
    /// What is known of a partition may be wrong: the records have to be read again.
    virtual void onRecordsUncertain() = 0;
    /// A transaction has its outcome, and its caller has been told of it. The keys that it wrote
    /// may no longer be in flight.
    virtual void onKeysReleased(const std::vector<std::string>& keys) = 0;
};

/// A queue of transactions for each partition, in the order in which they were decided.
class TransactionPipeline {
  public:
    using Done = std::function<void(CommitResult, std::uint64_t revision)>;

    explicit TransactionPipeline(Context& context) : context_(context) {}

    /// Called once, by the replica, which is constructed with the pipeline and after it.
    void setObserver(TransactionObserver& observer) { observer_ = &observer; }

    /// Queues a transaction; `done` is called exactly once, with its revision if it was committed.
    /// The version of the partition's record as known now is added to the compares: what was
    /// decided in one term is never committed in a later one.
    void commit(PartitionId partition, protocol::CompareAndSwap transaction, Done done);
    /// Whether a transaction of the partition waits for its outcome.
    [[nodiscard]] bool busy(PartitionId partition) const;
    /// Whether a queued transaction writes this key.
    [[nodiscard]] bool inFlight(const std::string& key) const { return keys_.contains(key); }
    /// This node no longer leads the partition: its queued transactions end as `partitionLost`.
    void abandon(PartitionId partition);

  private:
    struct PendingTransaction {
        protocol::CompareAndSwap transaction;
        Done done;
        bool maybeCommitted = false;    // sent at least once without a definite answer
        bool awaitingResponse = false;  // to the request that was sent last
        bool rejected = false;
        std::uint64_t id = 0;
        std::uint64_t partitionVersion = 0;  // the term in which it was decided
    };
    /// The records that a refused transaction names, read one by one.
    struct RecordReads {
        std::size_t outstanding = 0;
        bool failed = false;
        std::vector<protocol::Item> items;
        std::map<std::string, std::uint64_t> absent;  // as of this revision
    };

    /// The transaction at the head of the partition's queue, if it is still this one.
    [[nodiscard]] PendingTransaction* head(PartitionId partition, std::uint64_t id);
    void send(PartitionId partition);
    void onResponse(PartitionId partition, std::uint64_t id,
                    const protocol::CompareAndSwapResponse& answer);
    /// Removes the head of the queue with its outcome, and sends the next one.
    void complete(PartitionId partition, CommitResult result, std::uint64_t revision);
    /// Releases the keys of a transaction and tells its caller of the outcome.
    void resolve(const PendingTransaction& pending, CommitResult result, std::uint64_t revision);
    /// Reads all records that the head of the queue names, to learn whether it was committed.
    void readRecords(PartitionId partition);
    void onRecordsRead(PartitionId partition, const RecordReads& reads);
    /// The revision at which all writes were committed (0: there were only deletions), or none.
    [[nodiscard]] static std::optional<std::uint64_t> committedRevision(
        const protocol::CompareAndSwap& transaction, const RecordReads& reads);
    void refreshClusterState(const RecordReads& reads);

    Context& context_;
    TransactionObserver* observer_ = nullptr;
    std::map<std::uint32_t, std::deque<PendingTransaction>> queues_;  // by partition
    std::multiset<std::string> keys_;                                 // in flight
    std::uint64_t nextId_ = 1;
};

}  // namespace fawnwheel::coordination
