/// @file
/// Writes slices into a transaction, whole or divided, some of their tasks for another partition,
/// and applies the transaction's outcome to the cluster state.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/replication/transaction_pipeline.h"

namespace fawnwheel::coordination {

/// Tasks of a slice that move to another partition: ascending ranges, each in a slice of its own
/// afterwards.
struct MigratingTasks {
    std::vector<storage::TaskRange> ranges;
    PartitionId target = 0;  // partition

    [[nodiscard]] bool contains(const storage::TaskRange& range) const {
        return std::find(ranges.begin(), ranges.end(), range) != ranges.end();
    }
};

/// A slice as it is written: in one record, or divided into several.
struct WrittenSlice {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t version = 0;        // before the transaction
    storage::TaskRange range;         // before the transaction
    std::vector<std::uint32_t> cuts;  // tasks that begin a new piece
    std::uint32_t nextIndex = 0;      // of the pieces that are added
    MigratingTasks migrating;
    std::vector<protocol::Write> writes;  // by piece
};

/// A transaction of slice records while it is put together and until its outcome is applied.
struct SliceBatch {
    protocol::CompareAndSwap transaction;
    std::vector<WrittenSlice> slices;
    std::size_t bytes = 0;                             // estimated size of the transaction
    std::set<std::string> jobs;                        // whose versions are compared already
    std::map<std::string, std::uint32_t> addedSlices;  // by job, through divisions
    std::uint64_t generation = 0;  // of the cluster state's records that it rests on
};

/// Fills batches within the state service's limits, which it lowers after a rejection.
class SliceWriter {
  public:
    explicit SliceWriter(Context& context)
        : context_(context),
          maxWrites_(context.settings.transactionChanges),
          maxValueBytes_(context.settings.valueBytes()) {}

    /// Adds the slice's record, or those of the pieces into which it is divided. False, with the
    /// batch's transaction as it was, if they don't fit.
    [[nodiscard]] bool add(SliceBatch& batch, Job& job, const Slice& slice,
                           MigratingTasks migrating = {});
    /// Applies the outcome; returns the machines on which allocations have become durable. After a
    /// failure the allocations that were to become durable are undone.
    [[nodiscard]] std::set<std::string> applyOutcome(ClusterState& clusterState,
                                                     const SliceBatch& batch, CommitResult result,
                                                     std::uint64_t revision) const;
    /// The state service has rejected a transaction of so many writes: its limits are lower than
    /// announced. What was rejected is divided further when it is sent again.
    void onRejected(PartitionId partition, std::size_t writes);
    [[nodiscard]] bool full(const SliceBatch& batch) const;
    /// How many writes the state service is known to accept in one transaction.
    [[nodiscard]] std::size_t maxWrites() const { return maxWrites_; }

    static constexpr std::size_t bytesPerWrite = 160;
    static constexpr std::size_t bytesPerJob = 700;

  private:
    /// Where a slice has to be cut so that each piece's record fits into a value.
    [[nodiscard]] std::vector<std::uint32_t> cutsToFit(const Slice& slice) const;
    void finishSlice(ClusterState& clusterState, const SliceBatch& batch,
                     const WrittenSlice& written, std::uint64_t revision,
                     std::set<std::string>& machines) const;
    /// Marks as durable what the piece's record holds, and keeps what has changed since as dirty.
    static void markRecorded(const Job& job, Slice& piece, const protocol::Json& value,
                             std::uint64_t revision, std::set<std::string>& machines);
    /// Discards changes to migrated pieces that came after their records were written.
    static void discardAfterMigration(ClusterState& clusterState, Job& job,
                                      const WrittenSlice& written,
                                      const std::vector<Slice>& pieces);
    static void undoAllocations(ClusterState& clusterState, const WrittenSlice& written);

    Context& context_;
    std::size_t maxWrites_;
    std::size_t maxValueBytes_;
};

}  // namespace fawnwheel::coordination
