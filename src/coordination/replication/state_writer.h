// Makes a leader's changes of slices and jobs durable, many in one transaction.
#pragma once

#include "coordination/replication/slice_writer.h"

namespace fawnwheel::coordination {

// Tasks of a partition's slice, none of them started, that another partition shall own.
struct SliceMigration {
    std::string job;
    std::uint32_t slice = 0;
    storage::TaskRange range;
    std::uint32_t target = 0;  // partition
    SteadyTime until{};        // the other partition's word holds no longer
    std::function<void(bool migrated)> done;
};

class StateWriter {
  public:
    StateWriter(Context& context, TransactionPipeline& pipeline)
        : context_(context), pipeline_(pipeline), writer_(context) {}

    // Writes what has changed in this partition, if nothing of it is under way already.
    void flush(std::uint32_t partition);
    // What other changes of slices are written with.
    [[nodiscard]] SliceWriter& writer() { return writer_; }
    // Gives the tasks to the other partition with the next flush, in a slice of their own if they
    // are not the whole slice. Refused if one of them has started by then.
    void migrate(std::uint32_t partition, SliceMigration migrate);

    // A job has reached its end, durably.
    std::function<void(const std::string& job, bool cancelled)> onTerminal = [](const std::string&,
                                                                                bool) {};
    // Jobs that needed a cancelled one are cancelled now, durably.
    std::function<void()> onCancelled = [] {};
    // Allocations on these machines have become durable: their starts may be sent.
    std::function<void(const std::set<std::string>& machines)> onDurable =
        [](const std::set<std::string>&) {};

  private:
    struct WrittenTerminal {
        std::string job;
        storage::TerminalState state;
    };
    struct Batch : SliceBatch {
        std::vector<WrittenTerminal> terminals;
        std::vector<protocol::Write> cancellations;  // of jobs that need a cancelled one
        std::vector<std::function<void(bool migrated)>> migrated;
    };

    void addCancellations(Batch& batch, ClusterState& clusterState, std::uint32_t partition);
    // Whether there was room for it.
    bool addMigration(Batch& batch, Job& job, const SliceMigration& migrate);
    void addMigrations(Batch& batch, ClusterState& clusterState, std::uint32_t partition);
    // A slice that has changed since its record.
    struct Dirty {
        SteadyTime due{};
        Job* job = nullptr;
        const Slice* slice = nullptr;
    };
    // Those of best-effort jobs or of all others, while the batch has fewer changes than this.
    void addTerminals(Batch& batch, ClusterState& clusterState, std::uint32_t partition,
                      bool bestEffort, std::size_t mostChanges);
    // In the order in which they are to be written.
    [[nodiscard]] std::vector<Dirty> dirtySlices(ClusterState& clusterState,
                                                 std::uint32_t partition, const Batch& batch) const;
    [[nodiscard]] static std::vector<Dirty> interleaved(const std::vector<Dirty>& entitled,
                                                        const std::vector<Dirty>& bestEffort);
    void addSlices(Batch& batch, ClusterState& clusterState, std::uint32_t partition);
    void addTerminal(Batch& batch, const ClusterState& clusterState, Job& job);
    // Whether the job has ended and its active record may go.
    [[nodiscard]] bool over(ClusterState& clusterState, const Job& job) const;
    // Whether a transaction of ours on one of its slices has no outcome yet.
    [[nodiscard]] bool sliceUnderWay(const Job& job) const;
    void finish(std::uint32_t partition, const Batch& batch, CommitResult result,
                std::uint64_t revision);
    // Deletes slice records that have outlived their jobs, when there is nothing else to write.
    void deleteOrphans(std::uint32_t partition);

    Context& context_;
    TransactionPipeline& pipeline_;
    SliceWriter writer_;
    std::map<std::uint32_t, std::deque<SliceMigration>> migrations_;  // by partition
    std::map<std::uint32_t, SteadyTime> pausedUntil_;  // by partition, after a rejection
};

}  // namespace fawnwheel::coordination
