// The paper's runtime adaptation: watch the ready queue, and migrate unstarted work to a peer.
#pragma once

#include <random>

#include "coordination/replication/state_writer.h"
#include "coordination/replication/transaction_pipeline.h"
#include "coordination/scheduling/placement.h"
#include "protocol/peer_codec.h"

namespace fawnwheel::coordination {

// Exponentially weighted average of the queue and the RED-like probability of a move.
class QueueAverage {
  public:
    struct Tuning {
        double weight = 0.2;
        double low = 20;
        double high = 200;
        double probability = 0.1;
    };

    void sample(double queueLength, const Tuning& tuning);
    // Probability of moving one job, given its stickiness from 0 (stays) to 1 (free to go).
    [[nodiscard]] double moveProbability(double stickinessFactor, const Tuning& tuning) const;
    void considered() { ++count_; }
    void moved() { count_ = 0; }
    [[nodiscard]] double average() const { return average_; }
    [[nodiscard]] bool aboveHigh(const Tuning& tuning) const { return average_ > tuning.high; }

  private:
    double average_ = 0;
    double count_ = 0;  // jobs seen since the last move
};

class WorkMigrator {
  public:
    WorkMigrator(Context& context, Membership& membership, TransactionPipeline& pipeline,
                 StateWriter& stateWriter, Placement& placement)
        : context_(context),
          membership_(membership),
          pipeline_(pipeline),
          stateWriter_(stateWriter),
          placement_(placement) {}

    void start();
    void onMigrationRequest(const std::string& peer, const protocol::MigrationRequest& requestId);
    void onMigrationResponse(const protocol::MigrationResponse& answer);
    // Where a new job starts out.
    [[nodiscard]] std::uint32_t mapJob(const Job& job);

  private:
    struct Migration {
        std::uint32_t partition = 0;  // ours
        std::string job;
        std::uint32_t slice = 0;
        bool wholeJob = false;
        storage::TaskRange range;  // of the slice
        std::uint32_t tasks = 0;
        std::vector<std::uint32_t> peersLeft;  // partitions to ask, in turn
        std::uint32_t asked = 0;               // partition
    };
    struct Promise {
        std::uint32_t partition = 0;
        std::uint32_t tasks = 0;
        SteadyTime until{};
    };

    void sampleAll();
    void samplePartition(std::uint32_t partition);
    void consider(std::uint32_t partition, const std::string& id, bool always);
    // Whether some of the job's tasks here could be migrated.
    [[nodiscard]] bool movable(const Job& job, std::uint32_t partition);
    // The tasks of a slice that may be migrated together; none: an empty range.
    [[nodiscard]] storage::TaskRange movableRange(const Slice& slice);
    void migration(std::uint32_t partition, Job& job, const Slice& slice, bool wholeJob);
    void requestNextPeer(std::uint64_t requestId);
    void migrate(std::uint64_t requestId);
    void migrateJob(std::uint64_t requestId, const Migration& migration, std::uint32_t target);
    void migrateTasks(std::uint64_t requestId, const Migration& migration, std::uint32_t target);
    void finishMigration(std::uint64_t requestId, std::uint32_t target, bool migrated);
    void setLeaving(const Migration& migration, bool leaving);
    [[nodiscard]] QueueAverage::Tuning tuningFor(std::uint32_t partition);
    [[nodiscard]] std::optional<std::uint32_t> partitionOfDependencies(const Job& job);
    [[nodiscard]] double stickinessFactor(const Job& job, std::uint32_t partition);
    [[nodiscard]] std::uint32_t promised(std::uint32_t partition);

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
