/// @file
/// Work migration: samples the ready queues and migrates unstarted work to other partitions.
///
/// In each sample period the queue's average is compared with the thresholds (`QueueAverage`). Work
/// migrates at once if no machine of its partition can run it, if it has waited for long, or if its
/// objective is at risk. Peers are asked one after the other; one whose queue stays below its low
/// threshold accepts, and one compare-and-swap on the durable record migrates the work.
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

    /// Starts sampling; must be called once.
    void start();
    /// Decides whether this node accepts a peer's work, and responds at once.
    void onMigrationRequest(const std::string& peer, const protocol::MigrationRequest& request);
    void onMigrationResponse(const protocol::MigrationResponse& response);
    /// The first partition of a new job: that of its last active dependency, otherwise the one
    /// where the job is expected to start earliest.
    [[nodiscard]] std::uint32_t choosePartition(const Job& job);

  private:
    /// Work that is looking for a target partition.
    struct Migration {
        PartitionId partition = 0;  // source partition
        std::string job;
        std::uint32_t slice = 0;
        bool wholeJob = false;
        storage::TaskRange range;  // tasks of the slice
        std::uint32_t tasks = 0;
        std::vector<std::uint32_t> remainingPartitions;  // in the order of asking
        std::uint32_t requestedPartition = 0;            // partition asked last
        std::uint64_t generation = 0;  // of the cluster state in which the work is marked
    };
    /// Work that this node has accepted from a peer and not yet received.
    struct AcceptedWork {
        PartitionId partition = 0;
        std::uint32_t tasks = 0;
        SteadyTime until{};
    };

    /// The reasons for migrating a job.
    struct Pressure {
        bool immediate = false;
        double stickinessFactor = 0;
    };

    void sampleAll();
    void samplePartition(PartitionId partition);
    /// `longWaiting`: some of the job's tasks have waited for a place for longer than the
    /// threshold. None if the job no longer exists.
    [[nodiscard]] std::optional<Pressure> pressureFor(const std::string& id, PartitionId partition,
                                                      bool longWaiting);
    /// Starts migrating the job's slices; only the first one unless `all`.
    void migrateSlices(PartitionId partition, const std::string& id, bool all);
    // Whether any of the job's tasks in the partition can be migrated.
    [[nodiscard]] bool isMigratable(const Job& job, PartitionId partition);
    // The tasks of a slice that can be migrated together; empty if there are none.
    [[nodiscard]] storage::TaskRange migratableRange(const Slice& slice);
    void beginMigration(PartitionId partition, Job& job, const Slice& slice, bool wholeJob);
    /// Lists the partitions to ask, the best first, and limits the work to the greatest capacity
    /// among them.
    void choosePeers(Migration& migration, const Job& job);
    void requestNextPeer(std::uint64_t requestId);
    void migrate(std::uint64_t requestId);
    void migrateJob(std::uint64_t requestId, const Migration& migration, std::uint32_t target);
    void migrateTasks(std::uint64_t requestId, const Migration& migration, std::uint32_t target);
    void finishMigration(std::uint64_t requestId, std::uint32_t target, bool migrated);
    void setMigrating(const Migration& migration, bool migrating);
    [[nodiscard]] QueueAverage::Tuning tuningFor(PartitionId partition);
    [[nodiscard]] std::optional<std::uint32_t> partitionOfDependencies(const Job& job);
    [[nodiscard]] double stickinessFactor(const Job& job, PartitionId partition);
    [[nodiscard]] std::uint32_t acceptedTasks(PartitionId partition);

    Context& context_;
    Membership& membership_;
    TransactionPipeline& pipeline_;
    StateWriter& stateWriter_;
    Placement& placement_;
    std::map<std::uint32_t, QueueAverage> queues_;
    // By partition and job: when the job was first seen with tasks waiting for a place.
    std::map<std::uint32_t, std::map<std::string, SteadyTime>> waitingSince_;
    std::map<std::uint64_t, Migration> pending_;
    std::vector<AcceptedWork> acceptedWork_;
    std::uint64_t nextRequestId_ = 1;
};

}  // namespace fawnwheel::coordination
