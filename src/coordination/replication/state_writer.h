/// @file
/// Makes a leader's changes to slices and jobs durable, many of them in one transaction.
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
    PartitionId target = 0;
    SteadyTime consentExpiry{};  // when the target's consent to the migration expires
    /// Called exactly once, with whether the migration was committed.
    std::function<void(bool migrated)> done;
};

/// Receives notifications of changes that have become durable.
class StateWriterObserver {
  public:
    virtual ~StateWriterObserver() = default;
    /// A job has ended. Called with the cluster state locked.
    virtual void onJobTerminal(const std::string& job, bool cancelled) = 0;
    /// Jobs that depended on a cancelled one have been cancelled.
    virtual void onDependentsCancelled() = 0;
    /// Allocations on these machines have become durable, so their starts may be sent.
    virtual void onAllocationsDurable(const std::set<std::string>& machines) = 0;
};

/// Collects the changes of a partition into transactions, the most urgent changes first.
class StateWriter {
  public:
    /// The arguments must outlive the writer.
    StateWriter(Context& context, TransactionPipeline& pipeline, StateWriterObserver& observer)
        : context_(context), pipeline_(pipeline), observer_(observer), writer_(context) {}

    /// Writes the partition's changes, unless one of its transactions is in flight.
    void flush(PartitionId partition);
    /// The slice writer, for modules that write slices in their own transactions.
    [[nodiscard]] SliceWriter& sliceWriter() { return writer_; }
    /// Migrates the tasks to the target partition with the next flush, as a separate slice if they
    /// are only part of their slice. Fails if one of them is allocated or done by then.
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
    /// A slice that has changed since its record was written.
    struct DirtySlice {
        SteadyTime due{};
        Job* job = nullptr;
        const Slice* slice = nullptr;
    };

    void addCancellations(Batch& batch, ClusterState& clusterState, PartitionId partition) const;
    /// Returns false if the migration doesn't fit into the batch.
    [[nodiscard]] bool addMigration(Batch& batch, Job& job, const SliceMigration& migration);
    void addMigrations(Batch& batch, ClusterState& clusterState, PartitionId partition);
    [[nodiscard]] bool isMigrationPossible(const Batch& batch, ClusterState& clusterState,
                                           PartitionId partition,
                                           const SliceMigration& migration) const;
    /// Adds the ends of this tier's jobs while the batch has fewer than `maxWrites` writes.
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
    void applyOutcome(PartitionId partition, const Batch& batch, CommitResult result,
                      std::uint64_t revision);
    void applyTerminals(ClusterState& clusterState, const Batch& batch, CommitResult result);
    /// Deletes slice records of jobs that have ended. Called when there is nothing else to write.
    void deleteOrphans(PartitionId partition);
    /// Schedules another flush after the events that the last transaction deferred are applied.
    void scheduleFlush(PartitionId partition);

    Context& context_;
    TransactionPipeline& pipeline_;
    StateWriterObserver& observer_;
    SliceWriter writer_;
    std::map<std::uint32_t, std::deque<SliceMigration>> migrations_;  // by partition
    std::map<std::uint32_t, SteadyTime> pausedUntil_;  // by partition, after a rejection
};

}  // namespace fawnwheel::coordination
