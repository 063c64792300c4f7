/// @file
/// Adds slice records to a transaction and applies the transaction's outcome to the cluster state.
/// A slice can be written whole or divided, and some of its tasks can migrate to another partition.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/replication/transaction_pipeline.h"

namespace fawnwheel::coordination {

/// Tasks of a slice that migrate to another partition. The ranges are ascending, and each becomes a
/// separate slice.
struct MigratingTasks {
    std::vector<storage::TaskRange> ranges;
    PartitionId target = 0;

    [[nodiscard]] bool contains(const storage::TaskRange& range) const {
        return std::find(ranges.begin(), ranges.end(), range) != ranges.end();
    }
};

/// A slice in a transaction, written as one record or divided into several.
struct WrittenSlice {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t version = 0;        // before the transaction
    storage::TaskRange range;         // before the transaction
    std::vector<std::uint32_t> cuts;  // the first task of each added piece
    std::uint32_t nextIndex = 0;      // the first index of the added pieces
    MigratingTasks migrating;
    std::vector<protocol::Write> writes;  // one for each piece
};

/// A transaction of slice records, from the first added slice until its outcome is applied.
struct SliceBatch {
    protocol::CompareAndSwap transaction;
    std::vector<WrittenSlice> slices;
    std::size_t bytes = 0;                             // estimated size of the transaction
    std::set<std::string> jobs;                        // jobs whose versions are compared
    std::map<std::string, std::uint32_t> addedSlices;  // by job: pieces added by divisions
    std::uint64_t generation = 0;  // of the cluster state on which the batch is based
};

/// Fills batches within the known limits of the state service, and lowers these after a rejection.
class SliceWriter {
  public:
    explicit SliceWriter(Context& context)
        : context_(context),
          maxWrites_(context.settings.maxTransactionWrites),
          maxValueBytes_(context.settings.maxValueBytes()) {}

    /// Adds the slice's record, or the records of the pieces into which it is divided. Returns
    /// false and leaves the batch's transaction unchanged if they don't fit.
    [[nodiscard]] bool add(SliceBatch& batch, Job& job, const Slice& slice,
                           MigratingTasks migrating = {});
    /// Applies the transaction's outcome and returns the machines on which allocations have become
    /// durable. After a failure the allocations that have not become durable are undone.
    [[nodiscard]] std::set<std::string> applyOutcome(ClusterState& clusterState,
                                                     const SliceBatch& batch, CommitResult result,
                                                     std::uint64_t revision) const;
    /// Lowers the limits after the state service has rejected a transaction with this many writes,
    /// because its limits are lower than announced. The rejected content is divided into smaller
    /// transactions or records when it is sent again.
    void lowerLimits(PartitionId partition, std::size_t writes);
    [[nodiscard]] bool isFull(const SliceBatch& batch) const;
    /// The number of writes that one transaction may have.
    [[nodiscard]] std::size_t maxWrites() const { return maxWrites_; }

    static constexpr std::size_t bytesPerWrite = 160;
    static constexpr std::size_t bytesPerJob = 700;

  private:
    /// Returns the tasks at which to cut a slice so that each piece's record fits into a value.
    [[nodiscard]] std::vector<std::uint32_t> cutsToFit(const Slice& slice) const;
    void applyCommittedSlice(ClusterState& clusterState, const SliceBatch& batch,
                             const WrittenSlice& written, std::uint64_t revision,
                             std::set<std::string>& machines) const;
    /// Marks the allocations in the piece's record as durable. The piece stays dirty if it has
    /// changed since the record was built.
    static void markRecorded(const Job& job, Slice& piece, const protocol::Json& value,
                             std::uint64_t revision, std::set<std::string>& machines);
    /// Discards changes to migrated pieces that were made after their records were built.
    static void discardAfterMigration(ClusterState& clusterState, Job& job,
                                      const WrittenSlice& written,
                                      const std::vector<Slice>& pieces);
    static void undoAllocations(ClusterState& clusterState, const WrittenSlice& written);

    Context& context_;
    std::size_t maxWrites_;
    std::size_t maxValueBytes_;
};

}  // namespace fawnwheel::coordination
