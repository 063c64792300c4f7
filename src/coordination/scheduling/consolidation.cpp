#include "coordination/scheduling/consolidation.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

constexpr auto minRunTime = std::chrono::seconds(32);
// Of the task with the most time left, by its job's estimate.
constexpr double minRemainingSeconds = 20;
constexpr double maxUtilization = 0.5;

}  // namespace

bool Consolidation::canMove(const Job& job, const Allocation& allocation) const {
    return allocation.durable && !allocation.stopGrace && allocation.runningSince &&
           context_.now() - *allocation.runningSince >= minRunTime &&
           job.spec.checkpointInterval.count() > 0 && !job.cancelled &&
           (job.spec.tasks <= 1 || !job.requiresSingleLeader());
}

bool Consolidation::tryConsumeCapacity(const ClusterState& clusterState, const Machine& machine,
                                       const Job& job,
                                       std::map<std::string, Resources>& consumed) const {
    for (const auto* other : clusterState.machinesOf(machine.partition)) {
        // Only machines in use are considered: an empty machine may be the next to be released.
        if (other == &machine || other->allocations.empty() || !acceptsTasks(context_, *other))
            continue;
        Machine after = *other;
        after.used += consumed[other->id];
        if (!canHost(context_, job, after)) continue;
        consumed[other->id] += job.spec.taskResources;
        return true;
    }
    return false;
}

bool Consolidation::canConsolidate(ClusterState& clusterState, const Machine& machine,
                                   std::vector<Allocation*>& allocations) const {
    const auto now = context_.now();
    std::map<std::string, Resources> consumed;
    double longestRemaining = 0;
    for (const auto& ref : machine.allocations) {
        const auto [job, slice, allocation] = clusterState.findAllocation(ref);
        if (allocation == nullptr || !canMove(*job, *allocation)) return false;
        longestRemaining = std::max(
            longestRemaining,
            Seconds(job->spec.estimate - Seconds(now - *allocation->runningSince)).count());
        if (!tryConsumeCapacity(clusterState, machine, *job, consumed)) return false;
        allocations.push_back(allocation);
    }
    return longestRemaining > minRemainingSeconds;
}

std::optional<std::string> Consolidation::consolidateOneMachine(PartitionId partition) {
    auto clusterState = context_.clusterState.lock();
    Machine* best = nullptr;
    std::vector<Allocation*> bestAllocations;
    double bestWaste = 0;
    for (auto* entry : clusterState->machinesOf(partition)) {
        Machine& machine = *entry;
        if (machine.consolidating && !machine.allocations.empty())
            return std::nullopt;  // one machine at a time
        const auto* type = context_.findMachineType(machine.type);
        if (type == nullptr || machine.allocations.empty() || !acceptsTasks(context_, machine))
            continue;
        const double utilization = std::max(machine.used.cpus / std::max(1.0, type->capacity.cpus),
                                            machine.used.gpus / std::max(1.0, type->capacity.gpus));
        if (utilization > maxUtilization) continue;
        const double waste = (machine.spot ? type->spotPrice : type->price) * (1 - utilization);
        std::vector<Allocation*> allocations;
        if (waste <= bestWaste || !canConsolidate(*clusterState, machine, allocations)) continue;
        best = &machine;
        bestAllocations = std::move(allocations);
        bestWaste = waste;
    }
    if (best == nullptr) return std::nullopt;
    spdlog::debug("consolidation: machine_draining machine={} tasks={}", best->id,
                  bestAllocations.size());
    best->consolidating = true;
    for (std::size_t i = 0; i < bestAllocations.size(); ++i)
        bestAllocations[i]->stopGrace =
            clusterState->job(best->allocations[i].job)->spec.checkpointDuration;
    return best->id;
}

}  // namespace fawnwheel::coordination
