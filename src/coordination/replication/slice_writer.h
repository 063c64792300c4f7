// Writes slices into a transaction, whole or divided, some of their tasks for another partition,
// and takes its outcome in.
#pragma once

#include "coordination/replication/transaction_pipeline.h"

namespace fawnwheel::coordination {

// Tasks of a slice that another partition shall own: ascending, and in slices of their own
// afterwards.
struct LeavingTasks {
    std::vector<storage::TaskRange> ranges;
    std::uint32_t target = 0;  // partition

    [[nodiscard]] bool contains(const storage::TaskRange& range) const {
        return std::find(ranges.begin(), ranges.end(), range) != ranges.end();
    }
};

// A slice as it is written: in one record, or divided into several.
struct WrittenSlice {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t version = 0;        // before
    storage::TaskRange range;         // before
    std::vector<std::uint32_t> cuts;  // tasks that begin a new piece
    std::uint32_t nextIndex = 0;      // of the pieces that are added
    LeavingTasks leaving;
    std::vector<protocol::Write> writes;  // by piece
};

struct SliceBatch {
    protocol::CompareAndSwap transaction;
    std::vector<WrittenSlice> slices;
    std::size_t bytes = 0;
    std::set<std::string> jobs;                        // with a condition already
    std::map<std::string, std::uint32_t> addedSlices;  // by job, through divisions
    std::uint64_t generation = 0;  // of the cluster state's records that it rests on
};

class SliceWriter {
  public:
    explicit SliceWriter(Context& context)
        : context_(context),
          mostChanges_(context.settings.transactionChanges),
          mostValueBytes_(context.settings.valueBytes()) {}

    // Whether there was room for it.
    bool add(SliceBatch& batch, Job& job, const Slice& slice, LeavingTasks leaving = {});
    // The machines on which allocations have become durable.
    std::set<std::string> finish(ClusterState& clusterState, const SliceBatch& batch,
                                 CommitResult result, std::uint64_t revision) const;
    // The state service has rejected so many changes: its limits are lower than announced. Divided
    // further, what was refused is sent again.
    void onRejected(std::uint32_t partition, std::size_t writes);
    [[nodiscard]] bool full(const SliceBatch& batch) const;
    // What the state service is known to accept in one transaction.
    [[nodiscard]] std::size_t mostChanges() const { return mostChanges_; }

    static constexpr std::size_t bytesPerChange = 160;
    static constexpr std::size_t bytesPerJob = 700;

  private:
    [[nodiscard]] std::vector<std::uint32_t> cutsToFit(const Slice& slice) const;
    void finishSlice(ClusterState& clusterState, const SliceBatch& batch,
                     const WrittenSlice& written, std::uint64_t revision,
                     std::set<std::string>& machines) const;
    static void undoAllocations(ClusterState& clusterState, const WrittenSlice& written);

    Context& context_;
    std::size_t mostChanges_;
    std::size_t mostValueBytes_;
};

}  // namespace fawnwheel::coordination
