/// @file
/// The ready queue of a partition: the jobs that wait, their order and their urgency.
#pragma once

#include "coordination/scheduling/placement_constraints.h"

namespace fawnwheel::coordination {

/// A job with tasks that a partition may place now.
struct ReadyJob {
    Job* job = nullptr;
    std::uint32_t tasks = 0;
    transport::WallTime latestStart;
    bool probe = false;  ///< one task of a crash-looping job; sorted last
};

/// Orders jobs by priority, then by the latest start that meets their objectives.
class QueueOrder {
  public:
    explicit QueueOrder(Context& context) : context_(context) {}

    /// The jobs with tasks that the partition may place, in the order of the queue. Also marks the
    /// remaining tasks of a gang that has lost a task as to be stopped. The results point to jobs
    /// of the cluster state.
    [[nodiscard]] std::vector<ReadyJob> readyJobs(ClusterState& clusterState,
                                                  PartitionId partition);
    /// Whether `one` comes before `other` in the queue.
    [[nodiscard]] bool precedes(const Job& one, const Job& other) const;
    /// The latest start with which the job meets its next objective.
    [[nodiscard]] transport::WallTime latestStart(const Job& job) const;
    /// Whether the job will miss its next objective unless it is placed soon.
    [[nodiscard]] bool isSloAtRisk(const Job& job) const;
    /// Time to fetch the job's image on the machine type with the highest fetch rate among those
    /// that the job may use.
    [[nodiscard]] Seconds fetchTime(const protocol::JobSpec& spec) const;
    /// Estimated time from a job's release to its end if its tasks are placed immediately.
    [[nodiscard]] Seconds estimatedTurnaround(const protocol::JobSpec& spec) const;
    /// How many tasks of an array may be placed in one placement run.
    [[nodiscard]] std::uint32_t maxTasksToPlace(const ReadyJob& ready) const;
    /// Whether some allocation has waited too long for its record. Further allocations would only
    /// hold machines without starting tasks.
    [[nodiscard]] bool areRecordsLagging(const ClusterState& clusterState,
                                         PartitionId partition) const;

    /// Number of the partition's tasks that could start and have no allocation (readyQ in the paper
    /// on runtime adaptation, see `QueueAverage`).
    [[nodiscard]] std::uint32_t queueLength(PartitionId partition);
    /// The queue lengths of all partitions, indexed by partition number.
    [[nodiscard]] std::vector<std::uint32_t> queueLengths();

  private:
    // Whether the job is a gang and this process has seen no larger gang of its class.
    [[nodiscard]] bool isLargestGangOfClass(const Job& job) const;
    void recordLargestGangs(const ClusterState& clusterState);
    // Whether this partition may start one task of a crash-looping job as a probe.
    [[nodiscard]] static bool mayProbe(const Job& job, PartitionId partition);
    static void stopIncompleteGang(Job& job);

    Context& context_;
    std::map<std::string, std::uint32_t> largestGangTasks_;  // number of tasks, by job class
};

}  // namespace fawnwheel::coordination
