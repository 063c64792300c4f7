/// @file
/// Work migration: samples the ready queues and gives unstarted work to peers.
///
/// Each sample period the queue's average is tested against the thresholds (`QueueAverage`). Work
/// that no machine here can run, that has waited for long, or whose objective is at risk migrates
/// at once. Peers are asked in turn; one that stays below its low threshold accepts, and one
/// guarded change of the durable record moves the work.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/migration/queue_average.h"
#include "coordination/replication/state_writer.h"
#include "coordination/replication/transaction_pipeline.h"
#include "coordination/scheduling/placement.h"
#include "protocol/peer_codec.h"

namespace fawnwheel::coordination {

/// Migrates unstarted jobs or slices from partitions that this node leads to those of peers.
class WorkMigrator {
  public:
    WorkMigrator(Context& context, Membership& membership, TransactionPipeline& pipeline,
                 StateWriter& stateWriter, Placement& placement)
        : context_(context),
          membership_(membership),
          pipeline_(pipeline),
          stateWriter_(stateWriter),
          placement_(placement) {}

    /// Begins to sample; to be called once.
    void start();
    /// A peer asks whether this node takes its work; it is answered at once.
    void onMigrationRequest(const std::string& peer, const protocol::MigrationRequest& request);
    void onMigrationResponse(const protocol::MigrationResponse& answer);
    /// The partition that a new job starts out in: that of its last active dependency, else where
    /// it would run first.
    [[nodiscard]] std::uint32_t choosePartition(const Job& job);

  private:
    /// Work for which a peer is being found.
    struct Migration {
        PartitionId partition = 0;  // ours
        std::string job;
        std::uint32_t slice = 0;
        bool wholeJob = false;
        storage::TaskRange range;  // of the slice
        std::uint32_t tasks = 0;
        std::vector<std::uint32_t> peersLeft;  // partitions to ask, in turn
        std::uint32_t asked = 0;               // partition
    };
    /// Work accepted from a peer that has not arrived yet.
    struct Promise {
        PartitionId partition = 0;
        std::uint32_t tasks = 0;
        SteadyTime until{};
    };

    /// What speaks for migrating a job.
    struct Pressure {
        bool immediate = false;
        double stickinessFactor = 0;
    };

    void sampleAll();
    void samplePartition(PartitionId partition);
    /// None: the job is gone. `longWaiting`: some of its tasks have found no place here for long.
    [[nodiscard]] std::optional<Pressure> pressureOn(const std::string& id, PartitionId partition,
                                                     bool longWaiting);
    /// Begins migrations of the job's slices; only of the first one unless `all`.
    void consider(PartitionId partition, const std::string& id, bool all);
    // Whether some of the job's tasks here could be migrated.
    [[nodiscard]] bool movable(const Job& job, PartitionId partition);
    // The tasks of a slice that may be migrated together; none: an empty range.
    [[nodiscard]] storage::TaskRange movableRange(const Slice& slice);
    void beginMigration(PartitionId partition, Job& job, const Slice& slice, bool wholeJob);
    /// Fills in the peers to ask, the best first, and cuts the work to what one of them can take.
    void choosePeers(Migration& migration, const Job& job);
    void requestNextPeer(std::uint64_t requestId);
    void migrate(std::uint64_t requestId);
    void migrateJob(std::uint64_t requestId, const Migration& migration, std::uint32_t target);
    void migrateTasks(std::uint64_t requestId, const Migration& migration, std::uint32_t target);
    void finishMigration(std::uint64_t requestId, std::uint32_t target, bool migrated);
    void setLeaving(const Migration& migration, bool leaving);
    [[nodiscard]] QueueAverage::Tuning tuningFor(PartitionId partition);
    [[nodiscard]] std::optional<std::uint32_t> partitionOfDependencies(const Job& job);
    [[nodiscard]] double stickinessFactor(const Job& job, PartitionId partition);
    [[nodiscard]] std::uint32_t promised(PartitionId partition);

    Context& context_;
    Membership& membership_;
    TransactionPipeline& pipeline_;
    StateWriter& stateWriter_;
    Placement& placement_;
    std::map<std::uint32_t, QueueAverage> queues_;
    // By partition and job: since when some of its tasks have waited to be placed.
    std::map<std::uint32_t, std::map<std::string, SteadyTime>> waitingSince_;
    std::map<std::uint64_t, Migration> pending_;
    std::vector<Promise> promises_;
    std::uint64_t nextRequestId_ = 1;
};

}  // namespace fawnwheel::coordination
