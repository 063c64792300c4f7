// Stopping work: for jobs of higher priority, and to empty thinly used machines.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

#include "coordination/scheduling/placement.h"

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr auto settledRun = std::chrono::seconds(32);
constexpr double leastLeftToMove = 20;  // seconds, by the estimate
constexpr double thinUse = 0.5;
constexpr auto reservation = std::chrono::seconds(20);  // to save, heartbeat and be placed
constexpr double fetchWorth = 5;
constexpr std::uint32_t mostPreempted = 4;

}  // namespace

bool Placement::preemptTasksFor(ClusterState& clusterState, const CapacityIndex& capacityIndex,
                                const Job& job, std::set<std::string>& machines) {
    struct Victim {
        Allocation* allocation = nullptr;
        const Job* job = nullptr;
        double loss = 0;
    };
    const auto now = context_.now();
    auto use = zoneUseOf(clusterState, job);
    if (!job.assemblyZone.empty()) use[job.assemblyZone] = 1;
    Machine* best = nullptr;
    std::vector<Victim> bestVictims;
    double bestLoss = std::numeric_limits<double>::max();
    const auto consider = [&](const MachineCapacity& machineCapacity) {
        Machine& machine = *machineCapacity.machine;
        if (now < machine.reservedUntil || job.avoids(machine.id, now) ||
            (machine.lender && job.spec.kind != JobKind::gang))
            return;
        std::vector<Victim> candidates;
        Resources available = machineCapacity.free;
        for (const auto& ref : machine.allocations) {
            const auto [other, slice, allocation] = clusterState.findAllocation(ref);
            if (allocation == nullptr || !allocation->durable) continue;
            if (allocation->stopGrace) {
                available += other->spec.each;  // on its way out already
                continue;
            }
            // Strictly lower priority only; a gang would lose all its tasks for one.
            if (other->priority <= job.priority || other->spec.kind == JobKind::gang) continue;
            const bool saves = other->spec.checkpointInterval.count() > 0;
            const double ran = allocation->ran ? Seconds(now - *allocation->ran).count() : 0;
            candidates.push_back({allocation, other,
                                  other->spec.checkpointDuration.count() + (saves ? 0 : ran) +
                                      (allocation->ran ? 0 : fetchWorth)});
        }
        std::sort(candidates.begin(), candidates.end(),
                  [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
        std::vector<Victim> victims;
        double loss = 0;
        for (const auto& candidate : candidates) {
            if (job.spec.each.fits(available)) break;
            available += candidate.job->spec.each;
            victims.push_back(candidate);
            loss += candidate.loss;
        }
        if (!job.spec.each.fits(available) || loss >= bestLoss) return;
        best = &machine;
        bestVictims = std::move(victims);
        bestLoss = loss;
    };
    for (const auto& kind : capacityIndex)
        if (kindAllowed(job, kind, use))
            for (const auto& machineCapacity : kind.machines) consider(machineCapacity);
    if (best == nullptr) return false;
    for (const auto& victim : bestVictims) {
        if (!victim.allocation->seen) victim.allocation->abandoned = true;
        victim.allocation->stopGrace = victim.job->spec.checkpointDuration;
        spdlog::debug("task {}/{}: stopped on {} for job {}", victim.job->spec.id,
                      victim.allocation->task, best->id, job.spec.id);
    }
    reserve(*best, job, 1, reservation);
    machines.insert(best->id);
    return true;
}

protocol::Priority Placement::lowestRunning(const ClusterState& clusterState,
                                            std::uint32_t partition) {
    auto lowest = protocol::Priority::production;
    for (const auto& [id, job] : clusterState.jobs)
        if (job.priority > lowest && job.spec.kind != JobKind::gang &&
            std::any_of(job.slices.begin(), job.slices.end(), [partition](const Slice& slice) {
                return slice.partition == partition && !slice.allocations.empty();
            }))
            lowest = job.priority;
    return lowest;
}

std::set<std::string> Placement::preemptFor(std::uint32_t partition,
                                            const std::vector<UnschedulableWork>& unschedulable) {
    std::set<std::string> machines;
    auto clusterState = context_.clusterState.lock();
    std::optional<protocol::Priority> lowest;  // that could give way
    std::optional<CapacityIndex> capacityIndex;
    for (const auto& entry : unschedulable) {
        Job* job = clusterState->job(entry.job);
        if (job == nullptr || entry.overQuota || entry.waitsTurn || !isSloAtRisk(*job) ||
            context_.now() < job->preemptedUntil)
            continue;
        if (!lowest) lowest = lowestRunning(*clusterState, partition);
        if (*lowest <= job->priority) continue;
        if (!capacityIndex) capacityIndex = capacityIndexOf(*clusterState, partition);
        // A gang gets nothing from a partition of the room it needs.
        const auto most = entry.gang ? entry.tasks : std::min(entry.tasks, mostPreempted);
        for (std::uint32_t i = 0; i < most; ++i) {
            if (!preemptTasksFor(*clusterState, *capacityIndex, *job, machines)) break;
            job->preemptedUntil = context_.now() + reservation;
        }
    }
    return machines;
}

bool Placement::canConsolidate(ClusterState& clusterState, const Machine& machine,
                               std::vector<Allocation*>& allocations) {
    const auto now = context_.now();
    std::map<std::string, Resources> consumed;
    double longestLeft = 0;
    for (const auto& ref : machine.allocations) {
        const auto [job, slice, allocation] = clusterState.findAllocation(ref);
        // Only what saves its progress, runs long enough to have counted as started, and is not
        // tied to other tasks.
        if (allocation == nullptr || !allocation->durable || allocation->stopGrace ||
            !allocation->ran || now - *allocation->ran < settledRun ||
            job->spec.checkpointInterval.count() <= 0 || job->cancelled ||
            (job->spec.tasks > 1 && job->undivided()))
            return false;
        longestLeft = std::max(
            longestLeft, Seconds(job->spec.estimate - Seconds(now - *allocation->ran)).count());
        bool fits = false;
        for (const auto* other : clusterState.machinesOf(machine.partition)) {
            // Into machines in use only: an empty one might be the next to go.
            if (other == &machine || other->allocations.empty() || !takesWork(*other)) continue;
            Machine after = *other;
            after.used += consumed[other->id];
            if (!allowed(*job, after)) continue;
            consumed[other->id] += job->spec.each;
            fits = true;
            break;
        }
        if (!fits) return false;
        allocations.push_back(allocation);
    }
    return longestLeft > leastLeftToMove;
}

std::optional<std::string> Placement::consolidateOne(std::uint32_t partition) {
    auto clusterState = context_.clusterState.lock();
    Machine* best = nullptr;
    std::vector<Allocation*> bestAllocations;
    double bestWaste = 0;
    for (auto* entry : clusterState->machinesOf(partition)) {
        Machine& machine = *entry;
        if (machine.consolidating && !machine.allocations.empty())
            return std::nullopt;  // one at a time
        const auto* type = context_.type(machine.type);
        if (type == nullptr || machine.allocations.empty() || !takesWork(machine)) continue;
        const double utilization = std::max(machine.used.cpus / std::max(1.0, type->capacity.cpus),
                                            machine.used.gpus / std::max(1.0, type->capacity.gpus));
        if (utilization > thinUse) continue;
        const double waste = (machine.spot ? type->spotPrice : type->price) * (1 - utilization);
        std::vector<Allocation*> allocations;
        if (waste <= bestWaste || !canConsolidate(*clusterState, machine, allocations)) continue;
        best = &machine;
        bestAllocations = std::move(allocations);
        bestWaste = waste;
    }
    if (best == nullptr) return std::nullopt;
    spdlog::debug("machine {}: emptying, {} tasks", best->id, bestAllocations.size());
    best->consolidating = true;
    for (std::size_t i = 0; i < bestAllocations.size(); ++i)
        bestAllocations[i]->stopGrace =
            clusterState->job(best->allocations[i].job)->spec.checkpointDuration;
    return best->id;
}

}  // namespace fawnwheel::coordination
