/// @file
/// Assigns the waiting tasks of a partition to its machines.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/scheduling/capacity_estimator.h"
#include "coordination/scheduling/gang_assembler.h"
#include "coordination/scheduling/machine_selector.h"
#include "coordination/scheduling/placement_run.h"

namespace fawnwheel::coordination {

/// Places arrays and gangs, and gives other modules access to queue and capacity information.
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
          gangAssembler_(context, cloud),
          capacityEstimator_(context, membership) {}

    /// Allocates machines to tasks that can start. Returns the work without a machine, in queue
    /// order. No task is started before its allocation is durable.
    [[nodiscard]] std::vector<UnschedulableWork> run(PartitionId partition);

    /// @name Queries of other modules; documented in the classes that they are forwarded to.
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
        return capacityEstimator_.capacityFor(job, partition, limit);
    }
    [[nodiscard]] bool isFeasible(const Job& job, PartitionId partition) {
        return capacityEstimator_.isFeasible(job, partition);
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
    // Progress and limits of one array in a placement run.
    struct ArrayProgress {
        Job& job;
        ImageRule imageRule;
        std::uint32_t limit = 0;  // on tasks to place in this run
        Resources& quotaLeft;     // of the job's team; owned by the run
        ZoneUse zoneUse{};
        bool bestEffort = false;
        std::uint32_t protectedSlotAllowance = 0;  // tasks that may still take protected slots
        // How many more tasks may wait for a machine that has the image. Computed when the first
        // task would have to fetch the image.
        std::optional<std::uint32_t> remainingImageWaits{};
        std::uint32_t placed = 0;
        std::uint32_t waitingForImage = 0;  // tasks not placed for this reason
        bool overQuota = false;
    };

    void processArray(PlacementRun& run, ReadyJob ready);
    void processGang(PlacementRun& run, const ReadyJob& ready);
    // Places tasks of an array that yielded to jobs with cached images earlier in the run.
    void processDeferredArray(PlacementRun& run, const ReadyJob& ready);

    ArrayProgress placeArray(PlacementRun& run, const ReadyJob& ready, ImageRule imageRule);
    TaskResult placeTask(PlacementRun& run, ArrayProgress& array, Slice& slice, std::uint32_t task);
    [[nodiscard]] MachineCapacity* selectForArray(PlacementRun& run, ArrayProgress& array) const;
    // Whether the task should wait for a machine that has its image; if so, counts it as waiting.
    [[nodiscard]] bool tryWaitForImage(const PlacementRun& run, ArrayProgress& array) const;
    // How many of a job's tasks get a machine that has the image sooner than they could fetch it.
    [[nodiscard]] std::uint32_t maxTasksWaitingForImage(const CapacityIndex& capacityIndex,
                                                        const Job& job) const;
    // Whether the job leaves machines without its image to jobs that need no fetch there.
    [[nodiscard]] bool yieldsToCachedImages(const Job& job) const;

    GangResult placeGang(PlacementRun& run, Job& job);
    // Allocates machines to all of the gang's tasks, or to none. A non-empty `zoneUse` restricts
    // them to its zone.
    bool allocateGang(PlacementRun& run, Job& job, ZoneUse zoneUse);
    static void rollBackGang(PlacementRun& run, Job& job,
                             const std::vector<MachineCapacity*>& chosen,
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
    GangAssembler gangAssembler_;
    CapacityEstimator capacityEstimator_;
    std::uint64_t sequence_ = 0;
};

}  // namespace fawnwheel::coordination
