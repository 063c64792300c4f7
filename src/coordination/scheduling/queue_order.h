/// @file
/// The ready queue of a partition: which jobs wait, in what order, and how urgent each is.
#pragma once

#include "coordination/scheduling/placement_constraints.h"

namespace fawnwheel::coordination {

/// A job with tasks that a partition may place now.
struct ReadyJob {
    Job* job = nullptr;
    std::uint32_t tasks = 0;
    transport::WallTime latestStart;
    bool probe = false;  ///< one try of a crash-looping job: after all others
};

/// Orders jobs by priority, then by the time at which they should have started.
class QueueOrder {
  public:
    explicit QueueOrder(Context& context) : context_(context) {}

    /// The jobs with tasks that the partition may place, first to be served first. Stops what is
    /// left of a gang that has lost a task. The jobs belong to the cluster state.
    [[nodiscard]] std::vector<ReadyJob> readyJobs(ClusterState& clusterState,
                                                  PartitionId partition);
    /// Whether the job goes before the other.
    [[nodiscard]] bool precedes(const Job& one, const Job& other) const;
    /// When the job should have started at the latest to meet its next objective.
    [[nodiscard]] transport::WallTime latestStart(const Job& job) const;
    /// Whether it will miss its next objective unless it is placed about now.
    [[nodiscard]] bool isSloAtRisk(const Job& job) const;
    /// Seconds to fetch the job's image onto the fastest machine that it may use.
    [[nodiscard]] Seconds fetchTime(const protocol::JobSpec& spec) const;
    /// Seconds from a job's release to its end, if its tasks are placed at once.
    [[nodiscard]] Seconds estimatedTurnaround(const protocol::JobSpec& spec) const;
    /// How many tasks of an array may be placed in one run.
    [[nodiscard]] std::uint32_t maxTasksToPlace(const ReadyJob& ready) const;
    /// Whether allocations have waited for their records for long: more of them would only hold
    /// machines.
    [[nodiscard]] bool areRecordsLagging(const ClusterState& clusterState,
                                         PartitionId partition) const;

    /// Tasks of the partition that could start and have no allocation (the paper's readyQ).
    [[nodiscard]] std::uint32_t queueLength(PartitionId partition);
    /// The same for every partition, by its number.
    [[nodiscard]] std::vector<std::uint32_t> queueLengths();

  private:
    // Whether no larger gang of its class has been seen so far.
    [[nodiscard]] bool isLargestGangOfClass(const Job& job) const;
    void recordLargestGangs(const ClusterState& clusterState);
    // Whether a crash-looping job may be tried once more, by this partition.
    [[nodiscard]] static bool mayProbe(const Job& job, PartitionId partition);
    static void stopIncompleteGang(Job& job);

    Context& context_;
    std::map<std::string, std::uint32_t> largestGang_;  // tasks, by class
};

}  // namespace fawnwheel::coordination
