/// @file
/// Makes a leader's changes of slices and jobs durable, many in one transaction.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/replication/slice_writer.h"

namespace fawnwheel::coordination {

/// Unstarted tasks of one slice that are to be moved to another partition.
struct SliceMigration {
    std::string job;
    std::uint32_t slice = 0;
    storage::TaskRange range;
    PartitionId target = 0;  // partition
    SteadyTime until{};      // the target's consent expires
    /// Called once, with whether the migration was committed.
    std::function<void(bool migrated)> done;
};

/// Told of what has become durable.
class StateWriterObserver {
  public:
    virtual ~StateWriterObserver() = default;
    /// A job has ended. Called with the cluster state locked.
    virtual void onJobTerminal(const std::string& job, bool cancelled) = 0;
    /// Jobs that depended on a cancelled one have been cancelled.
    virtual void onDependentsCancelled() = 0;
    /// Allocations on these machines: their starts may be sent.
    virtual void onAllocationsDurable(const std::set<std::string>& machines) = 0;
};

/// Collects what has changed in a partition into transactions, the most urgent changes first.
class StateWriter {
  public:
    /// The arguments must outlive the writer.
    StateWriter(Context& context, TransactionPipeline& pipeline, StateWriterObserver& observer)
        : context_(context), pipeline_(pipeline), observer_(observer), writer_(context) {}

    /// Writes what has changed in this partition, unless a transaction of it is in flight.
    void flush(PartitionId partition);
    /// The slice writer, for modules that write slices in transactions of their own.
    [[nodiscard]] SliceWriter& sliceWriter() { return writer_; }
    /// Moves the tasks to the target partition with the next flush, in a slice of their own if they
    /// are not the whole slice. Fails if one of them has started by then.
    void migrate(PartitionId partition, SliceMigration migration);

  private:
    struct WrittenTerminal {
        std::string job;
        storage::TerminalState state;
    };
    struct Batch : SliceBatch {
        std::vector<WrittenTerminal> terminals;
        std::vector<protocol::Write> cancellations;  // of jobs that depend on a cancelled one
        std::vector<std::function<void(bool migrated)>> migrationCallbacks;
    };
    enum class Tier { entitled, bestEffort };
    /// A slice that has changed since its record.
    struct DirtySlice {
        SteadyTime due{};
        Job* job = nullptr;
        const Slice* slice = nullptr;
    };

    void addCancellations(Batch& batch, ClusterState& clusterState, PartitionId partition) const;
    /// False if there was no capacity left in the batch.
    [[nodiscard]] bool addMigration(Batch& batch, Job& job, const SliceMigration& migration);
    void addMigrations(Batch& batch, ClusterState& clusterState, PartitionId partition);
    [[nodiscard]] bool isMigrationPossible(const Batch& batch, ClusterState& clusterState,
                                           PartitionId partition,
                                           const SliceMigration& migration) const;
    /// Adds the ends of jobs of this tier, while the batch has fewer writes than this.
    void addTerminals(Batch& batch, ClusterState& clusterState, PartitionId partition, Tier tier,
                      std::size_t maxWrites) const;
    void addTerminal(Batch& batch, const ClusterState& clusterState, Job& job) const;
    /// The partition's dirty slices in the order in which they are to be written.
    [[nodiscard]] std::vector<DirtySlice> dirtySlices(ClusterState& clusterState,
                                                      PartitionId partition,
                                                      const Batch& batch) const;
    [[nodiscard]] static std::vector<DirtySlice> interleave(
        const std::vector<DirtySlice>& entitled, const std::vector<DirtySlice>& bestEffort);
    void addSlices(Batch& batch, ClusterState& clusterState, PartitionId partition);
    /// Whether the job has ended and its active record may be deleted.
    [[nodiscard]] bool isTerminal(ClusterState& clusterState, const Job& job) const;
    [[nodiscard]] bool hasSliceInFlight(const Job& job) const;
    void finish(PartitionId partition, const Batch& batch, CommitResult result,
                std::uint64_t revision);
    void finishTerminals(ClusterState& clusterState, const Batch& batch, CommitResult result);
    /// Deletes slice records that have outlived their jobs, when there is nothing else to write.
    void deleteOrphans(PartitionId partition);
    /// Flushes once more as soon as the events that were deferred by the transaction are applied.
    void flushNext(PartitionId partition);

    Context& context_;
    TransactionPipeline& pipeline_;
    StateWriterObserver& observer_;
    SliceWriter writer_;
    std::map<std::uint32_t, std::deque<SliceMigration>> migrations_;  // by partition
    std::map<std::uint32_t, SteadyTime> pausedUntil_;  // by partition, after a rejection
};

}  // namespace fawnwheel::coordination
