#include "coordination/scheduling/preemption.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

// Covers the checkpoint, the heartbeat that reports it, and the placement.
constexpr auto reservationDuration = std::chrono::seconds(20);
constexpr double lostFetchSeconds = 5;             // if the task has not run yet
constexpr std::uint32_t maxPreemptionsPerJob = 4;  // in one placement run

}  // namespace

std::vector<Preemption::Victim> Preemption::candidatesOn(ClusterState& clusterState,
                                                         const Machine& machine, const Job& job,
                                                         Resources& available) const {
    const auto now = context_.now();
    std::vector<Victim> candidates;
    for (const auto& ref : machine.allocations) {
        const auto [other, slice, allocation] = clusterState.findAllocation(ref);
        if (allocation == nullptr || !allocation->durable) continue;
        if (allocation->stopGrace) {
            available += other->spec.taskResources;  // already being stopped
            continue;
        }
        // Only tasks of strictly lower priority are stopped, and none of gangs: stopping one task
        // would end the whole gang.
        if (other->priority <= job.priority || other->spec.kind == JobKind::gang) continue;
        const bool hasCheckpoints = other->spec.checkpointInterval.count() > 0;
        const double ran =
            allocation->runningSince ? Seconds(now - *allocation->runningSince).count() : 0;
        candidates.push_back({allocation, other,
                              other->spec.checkpointDuration.count() + (hasCheckpoints ? 0 : ran) +
                                  (allocation->runningSince ? 0 : lostFetchSeconds)});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Victim& a, const Victim& b) { return a.lossSeconds < b.lossSeconds; });
    return candidates;
}

void Preemption::considerMachine(ClusterState& clusterState, const MachineCapacity& machineCapacity,
                                 const Job& job, Choice& best) const {
    Machine& machine = *machineCapacity.machine;
    const auto now = context_.now();
    if (now < machine.reservedUntil || job.avoids(machine.id, now) ||
        (machine.lender && job.spec.kind != JobKind::gang))
        return;
    Resources available = machineCapacity.free;
    Choice choice{&machine, {}, 0};
    for (const auto& candidate : candidatesOn(clusterState, machine, job, available)) {
        if (job.spec.taskResources.fits(available)) break;
        available += candidate.job->spec.taskResources;
        choice.victims.push_back(candidate);
        choice.lossSeconds += candidate.lossSeconds;
    }
    if (!job.spec.taskResources.fits(available) || choice.lossSeconds >= best.lossSeconds) return;
    best = std::move(choice);
}

bool Preemption::preemptForTask(ClusterState& clusterState, const CapacityIndex& capacityIndex,
                                const Job& job, std::set<std::string>& machines) const {
    auto zoneUse = zoneUseOf(clusterState, job);
    if (!job.assemblyZone.empty()) zoneUse[job.assemblyZone] = 1;
    Choice best;
    for (const auto& pool : capacityIndex.pools())
        if (pool.allows(job, zoneUse))
            for (const auto& machineCapacity : pool.machines)
                considerMachine(clusterState, machineCapacity, job, best);
    if (best.machine == nullptr) return false;
    for (const auto& victim : best.victims) {
        if (!victim.allocation->reported) victim.allocation->startCancelled = true;
        victim.allocation->stopGrace = victim.job->spec.checkpointDuration;
        spdlog::debug("preemption: task_stopped task={}/{} machine={} for_job={}",
                      victim.job->spec.id, victim.allocation->task, best.machine->id, job.spec.id);
    }
    reserve(context_, *best.machine, job, 1, reservationDuration);
    machines.insert(best.machine->id);
    return true;
}

protocol::Priority Preemption::lowestPreemptiblePriority(const ClusterState& clusterState,
                                                         PartitionId partition) {
    auto lowest = protocol::Priority::production;
    for (const auto& [id, job] : clusterState.jobs)
        if (job.priority > lowest && job.spec.kind != JobKind::gang &&
            std::any_of(job.slices.begin(), job.slices.end(), [partition](const Slice& slice) {
                return slice.partition == partition && !slice.allocations.empty();
            }))
            lowest = job.priority;
    return lowest;
}

std::set<std::string> Preemption::preemptFor(PartitionId partition,
                                             const std::vector<UnschedulableWork>& unschedulable) {
    std::set<std::string> machines;
    auto clusterState = context_.clusterState.lock();
    std::optional<protocol::Priority> lowest;  // of preemptible tasks
    std::optional<CapacityIndex> capacityIndex;
    for (const auto& entry : unschedulable) {
        Job* job = clusterState->job(entry.job);
        if (job == nullptr || entry.overQuota || entry.blockedByEarlierGang ||
            !queueOrder_.isSloAtRisk(*job) || context_.now() < job->preemptionReservedUntil)
            continue;
        if (!lowest) lowest = lowestPreemptiblePriority(*clusterState, partition);
        if (*lowest <= job->priority) continue;
        if (!capacityIndex) capacityIndex.emplace(context_, *clusterState, partition);
        // A gang has no limit, because it cannot start on only some of the machines it needs.
        const auto limit = entry.gang ? entry.tasks : std::min(entry.tasks, maxPreemptionsPerJob);
        for (std::uint32_t i = 0; i < limit; ++i) {
            if (!preemptForTask(*clusterState, *capacityIndex, *job, machines)) break;
            job->preemptionReservedUntil = context_.now() + reservationDuration;
        }
    }
    return machines;
}

}  // namespace fawnwheel::coordination
