/// @file
/// Decides which waiting task goes to which machine of a partition.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/scheduling/capacity_estimator.h"
#include "coordination/scheduling/gang_assembler.h"
#include "coordination/scheduling/machine_selector.h"
#include "coordination/scheduling/placement_run.h"

namespace fawnwheel::coordination {

/// Places arrays and gangs. Also answers what other modules ask about queues and capacity.
class Placement {
  public:
    Placement(Context& context, Membership& membership, QueueOrder& queueOrder,
              const TeamQuotas& quotas, const CloudAvailability& cloud)
        : context_(context),
          membership_(membership),
          queueOrder_(queueOrder),
          quotas_(quotas),
          cloud_(cloud),
          selector_(context),
          gangs_(context, cloud),
          capacity_(context, membership) {}

    /// Allocates machines to what can start; what finds none is returned, in the queue's order. The
    /// allocations become durable before anything is sent.
    [[nodiscard]] std::vector<UnschedulableWork> run(PartitionId partition);

    /// @name Questions of other modules; see the classes that answer them.
    /// @{
    [[nodiscard]] std::uint32_t queueLength(PartitionId partition) {
        return queueOrder_.queueLength(partition);
    }
    [[nodiscard]] std::vector<std::uint32_t> queueLengths() { return queueOrder_.queueLengths(); }
    [[nodiscard]] bool precedes(const Job& one, const Job& other) const {
        return queueOrder_.precedes(one, other);
    }
    [[nodiscard]] Seconds fetchTime(const Job& job) const {
        return queueOrder_.fetchTime(job.spec);
    }
    [[nodiscard]] bool isSloAtRisk(const Job& job) const { return queueOrder_.isSloAtRisk(job); }
    [[nodiscard]] std::uint32_t capacityFor(const Job& job, PartitionId partition,
                                            std::uint32_t limit) {
        return capacity_.capacityFor(job, partition, limit);
    }
    [[nodiscard]] bool isFeasible(const Job& job, PartitionId partition) {
        return capacity_.isFeasible(job, partition);
    }
    [[nodiscard]] bool withinGuarantee(const ClusterState& clusterState, const Job& job) const {
        return quotas_.withinGuarantee(clusterState, job);
    }
    [[nodiscard]] bool canProvision(const Job& job, const std::string& zone) const {
        return cloud_.canProvision(job, zone);
    }
    [[nodiscard]] bool acceptsTasks(const Machine& machine) const {
        return coordination::acceptsTasks(context_, machine);
    }
    [[nodiscard]] static bool typeAllowed(const protocol::JobSpec& spec, const MachineType& type,
                                          const std::string& zone, bool spot) {
        return coordination::typeAllowed(spec, type, zone, spot);
    }
    void reserve(Machine& machine, const Job& job, std::uint32_t tasks, Duration length) const {
        coordination::reserve(context_, machine, job, tasks, length);
    }
    /// @}

  private:
    enum class ImageRule { mayFetch, cachedOnly };
    enum class GangResult { placed, overQuota, noCapacity };
    enum class TaskResult { next, stop };
    // What has been done and may be done for one array in a run.
    struct ArrayProgress {
        Job& job;
        ImageRule imageRule;
        std::uint32_t limit = 0;  // of tasks to place
        Resources& quotaLeft;     // of its team
        ZoneUse zoneUse{};
        bool bestEffort = false;
        std::uint32_t allowance = 0;  // of slots of entitled jobs
        // How many tasks may wait for a cached image; worked out when the first would have to
        // fetch.
        std::optional<std::uint32_t> mayWait{};
        std::uint32_t placed = 0;
        std::uint32_t waitingForImage = 0;  // rather than being placed elsewhere
        bool overQuota = false;
    };

    void runArray(PlacementRun& run, ReadyJob ready);
    void runGang(PlacementRun& run, const ReadyJob& ready);
    // Second chance of an array that gave way to those that need no fetch.
    void runFetching(PlacementRun& run, const ReadyJob& ready);

    ArrayProgress placeArray(PlacementRun& run, const ReadyJob& ready, ImageRule imageRule);
    TaskResult placeTask(PlacementRun& run, ArrayProgress& array, Slice& slice, std::uint32_t task);
    [[nodiscard]] MachineCapacity* selectForArray(PlacementRun& run, ArrayProgress& array) const;
    // Whether the task should rather wait for a machine with its image.
    [[nodiscard]] bool waitsForImage(const PlacementRun& run, ArrayProgress& array) const;
    // How many of a job's tasks do better to wait for machines that have its image.
    [[nodiscard]] std::uint32_t countWorthWaiting(const CapacityIndex& capacityIndex,
                                                  const Job& job) const;
    // Whether jobs that need no fetch may go first where this job would have to fetch.
    [[nodiscard]] bool yieldsToCached(const Job& job) const;

    GangResult placeGang(PlacementRun& run, Job& job);
    // All tasks or none. `zoneUse` confines the choice to a zone, or leaves it open.
    bool placeGangIn(PlacementRun& run, Job& job, ZoneUse zoneUse);
    static void undoGang(PlacementRun& run, Job& job, const std::vector<MachineCapacity*>& chosen,
                         const std::vector<bool>& dirty);

    void allocate(PlacementRun& run, Job& job, Slice& slice, std::uint32_t task,
                  std::uint64_t attempt, MachineCapacity& machineCapacity) const;
    std::uint64_t nextAttempt(PartitionId partition);

    Context& context_;
    Membership& membership_;
    QueueOrder& queueOrder_;
    const TeamQuotas& quotas_;
    const CloudAvailability& cloud_;
    MachineSelector selector_;
    GangAssembler gangs_;
    CapacityEstimator capacity_;
    std::uint64_t sequence_ = 0;
};

}  // namespace fawnwheel::coordination
