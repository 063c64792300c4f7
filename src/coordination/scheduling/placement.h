// Which waiting task goes to which machine of a partition.
#pragma once

#include "coordination/membership/membership.h"

namespace fawnwheel::coordination {

// Work of a partition that found no machine now.
struct UnschedulableWork {
    std::string job;
    std::uint32_t tasks = 0;
    bool overQuota = false;  // only the team's limit keeps it waiting
    // A gang: as many machines are missing, and they must be in this zone (empty: in any).
    bool gang = false;
    std::string zone;
    bool waitsTurn = false;  // an earlier gang gathers in that zone
    // A gang: as many have no machine that is free now; for some a busy one is kept here.
    std::uint32_t lacking = 0;
};

class Placement {
  public:
    Placement(Context& context, Membership& membership)
        : context_(context), membership_(membership) {}

    // Allocations machines for what can start; the allocations become durable before anything is
    // sent.
    std::vector<UnschedulableWork> run(std::uint32_t partition);

    // Stops work of lower priority for a job that would miss its objective; the machines concerned.
    std::set<std::string> preemptFor(std::uint32_t partition,
                                     const std::vector<UnschedulableWork>& unschedulable);

    // Picks a thinly used machine whose tasks fit on others and stops them to move there.
    std::optional<std::string> consolidateOne(std::uint32_t partition);

    // Ready tasks of the partition: to start, without a place (the paper's readyQ).
    [[nodiscard]] std::uint32_t queueLength(std::uint32_t partition);
    [[nodiscard]] std::vector<std::uint32_t> queueLengths();  // by partition
    // How many more tasks like the job's the partition's machines could start right now.
    [[nodiscard]] std::uint32_t capacityFor(const Job& job, std::uint32_t partition,
                                            std::uint32_t most);
    // Whether any machine of the partition, were it empty, could run one task of the job.
    [[nodiscard]] bool isFeasible(const Job& job, std::uint32_t partition);

    // Keeps room on a machine for a job.
    void reserve(Machine& machine, const Job& job, std::uint32_t tasks, Duration length) const;
    // How many tasks like the job's go into this room, up to `most`.
    [[nodiscard]] static std::uint32_t countThatFit(const Job& job, Resources capacity,
                                                    std::uint32_t most);

    [[nodiscard]] static bool typeAllowed(const protocol::JobSpec& spec, const MachineType& type,
                                          const std::string& zone, bool spot);
    [[nodiscard]] bool takesWork(const Machine& machine) const;
    [[nodiscard]] bool takesWork(const Machine& machine, SteadyTime now) const;
    // What a partition may still use of a team's limit, and its share of it.
    [[nodiscard]] Resources remainingQuota(ClusterState& clusterState, const std::string& team,
                                           std::uint32_t partition) const;
    [[nodiscard]] storage::QuotaShare quotaShareOf(const ClusterState& clusterState,
                                                   const config::Team& team,
                                                   std::uint32_t partition) const;
    // Whether what the job's team uses, with one more task of it, lies within its guarantee.
    [[nodiscard]] bool withinGuarantee(const ClusterState& clusterState, const Job& job) const;
    // The queue's order.
    [[nodiscard]] bool before(const Job& one, const Job& other) const;
    // When a job should have started at the latest to meet what is expected of it.
    [[nodiscard]] transport::WallTime latestStart(const Job& job) const;
    // Seconds to fetch its image onto the fastest machine it may use.
    [[nodiscard]] Seconds fetchTime(const Job& job) const { return fetchTime(job.spec); }
    [[nodiscard]] Seconds fetchTime(const protocol::JobSpec& spec) const;
    // From a job's release to its end, if its tasks find places at once.
    [[nodiscard]] Seconds stepTime(const protocol::JobSpec& spec) const;
    // Whether it will miss its next objective unless it gets a place about now.
    [[nodiscard]] bool isSloAtRisk(const Job& job) const;

    // Whether the cloud may still have machines for the job in this zone (empty: in any).
    std::function<bool(const Job&, const std::string& zone)> canProvision =
        [](const Job&, const std::string&) { return true; };

    static constexpr std::uint32_t taskBits = 24;

  private:
    struct Ready {
        Job* job = nullptr;
        std::uint32_t tasks = 0;
        transport::WallTime latest;
        bool probe = false;  // a try of a job that fails everywhere: after all others
    };

    // A partition's machines that take work, by kind, with the room on them. Made once for a run:
    // with each job asking every machine anew, runs took half of a controller's time on a large
    // partition.
    struct MachineCapacity {
        Machine* machine = nullptr;
        Resources free;
        Resources open;  // less what is kept for some job
    };
    struct MachinePool {
        const MachineType* type = nullptr;
        std::string zone;
        bool spot = false;
        std::vector<MachineCapacity> machines;
    };
    using CapacityIndex = std::vector<MachinePool>;
    // One job for each class, with the largest tasks.
    struct LargerTask {
        const Job* job = nullptr;
        std::uint32_t spare = 0;  // places for it beyond what waits and what may come next
    };
    using FragmentationGuard = std::vector<LargerTask>;
    using ZoneUse = std::map<std::string, std::uint32_t>;

    [[nodiscard]] CapacityIndex capacityIndexOf(const ClusterState& clusterState,
                                                std::uint32_t partition) const;
    static bool kindAllowed(const Job& job, const MachinePool& kind, const ZoneUse& zoneUse);
    [[nodiscard]] Resources capacityOn(const MachineCapacity& machineCapacity,
                                       const Job& job) const;
    // How many of the job's tasks would find a place, up to all of them.
    [[nodiscard]] std::uint32_t placesFor(const CapacityIndex& capacityIndex, const Job& job,
                                          const ZoneUse& zoneUse) const;

    // Of the gangs of its class seen so far.
    [[nodiscard]] bool isLargest(const Job& job) const;
    std::vector<Ready> readyJobs(ClusterState& clusterState, std::uint32_t partition);
    // Whether allocations wait for their records already: more of them would only hold machines.
    [[nodiscard]] bool allocationsPending(const ClusterState& clusterState,
                                          std::uint32_t partition) const;
    // Whether a failing job may be tried once more, by this partition.
    [[nodiscard]] static bool mayProbe(const Job& job, std::uint32_t partition);
    // How many tasks of an array may get places in one run.
    [[nodiscard]] std::uint32_t mostToPlace(const Ready& ready) const;
    // How many of a job's tasks do better to wait for machines that have its image.
    [[nodiscard]] std::uint32_t worthWaiting(const CapacityIndex& capacityIndex,
                                             const Job& job) const;
    struct Placed {
        std::uint32_t tasks = 0;
        std::uint32_t waiting = 0;  // for a machine with the image, rather than elsewhere
    };
    Placed placeArray(ClusterState& clusterState, std::uint32_t partition, Job& job,
                      CapacityIndex& capacityIndex, FragmentationGuard& fragmentationGuard,
                      Resources& left, bool& overQuota, bool cachedOnly, std::uint32_t most);
    // Whether others that need no fetch may go first where this job would have to fetch.
    [[nodiscard]] bool letsCachedGoFirst(const Job& job) const;
    bool placeGang(ClusterState& clusterState, std::uint32_t partition, Job& job,
                   CapacityIndex& capacityIndex, Resources& left, bool& overQuota);
    // For how many of a gang's tasks machines are kept.
    [[nodiscard]] std::uint32_t heldFor(const ClusterState& clusterState, std::uint32_t partition,
                                        const Job& job) const;
    // Keeps machines for a gang that can't start yet; how many are missing.
    std::uint32_t assembleGang(ClusterState& clusterState, std::uint32_t partition, Job& job,
                               CapacityIndex& capacityIndex, std::set<std::string>& blockedZones,
                               std::uint32_t& lacking);
    // Takes no more other work on busy machines, so that they come free for the gang.
    std::uint32_t drainFor(CapacityIndex& capacityIndex, const Job& job, std::uint32_t missing);
    void keep(MachineCapacity& machineCapacity, const Job& job, std::uint32_t tasks) const;
    void chooseZone(ClusterState& clusterState, std::uint32_t partition, Job& job);
    void dropReservations(ClusterState& clusterState, std::uint32_t partition);
    [[nodiscard]] std::uint32_t gangCapacity(ClusterState& clusterState, std::uint32_t partition,
                                             const Job& job);
    void stopBrokenGang(Job& job);
    bool canConsolidate(ClusterState& clusterState, const Machine& machine,
                        std::vector<Allocation*>& allocations);
    // Of what runs on the partition and could be stopped for others.
    [[nodiscard]] static protocol::Priority lowestRunning(const ClusterState& clusterState,
                                                          std::uint32_t partition);
    bool preemptTasksFor(ClusterState& clusterState, const CapacityIndex& capacityIndex,
                         const Job& job, std::set<std::string>& machines);
    // `yields`: it closes no places of other teams' larger tasks that go before it.
    [[nodiscard]] MachineCapacity* choose(ClusterState& clusterState, CapacityIndex& capacityIndex,
                                          const Job& job,
                                          const FragmentationGuard& fragmentationGuard,
                                          const ZoneUse& zoneUse, bool yields) const;
    [[nodiscard]] static FragmentationGuard largestOfClasses(const ClusterState& clusterState);
    // How many places for others' larger tasks a task of the job would close.
    struct LostSlots {
        std::uint32_t all = 0;
        std::uint32_t ofEntitled = 0;  // of other teams, and more urgent
    };
    [[nodiscard]] static LostSlots slotsLost(const FragmentationGuard& fragmentationGuard,
                                             const MachineType& type, const std::string& zone,
                                             bool spot, const Resources& free, const Job& job);
    [[nodiscard]] static std::uint32_t slotsLost(const LargerTask& largerTask,
                                                 const MachineType& type, const std::string& zone,
                                                 bool spot, const Resources& free, const Job& job);
    // Whether the job's tasks are smaller ones that go after the larger task's.
    [[nodiscard]] static bool mayLoseSlots(const LargerTask& largerTask, const Job& job);
    void countSpare(FragmentationGuard& fragmentationGuard, const CapacityIndex& capacityIndex,
                    const ClusterState& clusterState, std::uint32_t partition) const;
    void useSpare(FragmentationGuard& fragmentationGuard, const MachineCapacity& machineCapacity,
                  const Job& job) const;
    // How many more tasks of a best-effort job that has waited for long may close places of
    // entitled jobs.
    [[nodiscard]] std::uint32_t bestEffortAllowance(const Job& job, std::uint32_t partition) const;
    // What an allocation takes of a machine's capacity, and gives back.
    static void consume(MachineCapacity& machineCapacity, const Resources& each);
    static void restore(MachineCapacity& machineCapacity, const Resources& each);
    [[nodiscard]] bool allowed(const Job& job, const Machine& machine) const;
    // Whether the job may have a place on the machine although a peer may have lent it.
    [[nodiscard]] bool mayUseLoan(const Job& job, const Machine& machine) const;
    // Or is fetching it.
    [[nodiscard]] static bool hasImage(ClusterState& clusterState, const Machine& machine,
                                       const Job& job);
    [[nodiscard]] double cost(ClusterState& clusterState, const Job& job, const Machine& machine,
                              const MachineType& type) const;
    std::uint64_t nextAttempt(std::uint32_t partition);

    Context& context_;
    Membership& membership_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, std::uint32_t> largestGang_;  // tasks, by class
};

std::map<std::string, std::uint32_t> zoneUseOf(const ClusterState& clusterState, const Job& job);

}  // namespace fawnwheel::coordination
