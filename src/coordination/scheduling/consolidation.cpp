#include "coordination/scheduling/consolidation.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

constexpr auto minRunToMove = std::chrono::seconds(32);
constexpr double minSecondsLeftToMove = 20;  // by the estimate
constexpr double maxUtilization = 0.5;

}  // namespace

bool Consolidation::canMove(const Job& job, const Allocation& allocation) const {
    return allocation.durable && !allocation.stopGrace && allocation.runningSince &&
           context_.now() - *allocation.runningSince >= minRunToMove &&
           job.spec.checkpointInterval.count() > 0 && !job.cancelled &&
           (job.spec.tasks <= 1 || !job.requiresSingleLeader());
}

bool Consolidation::findCapacity(const ClusterState& clusterState, const Machine& machine,
                                 const Job& job, std::map<std::string, Resources>& consumed) const {
    for (const auto* other : clusterState.machinesOf(machine.partition)) {
        // On machines in use only: an empty one might be the next to go.
        if (other == &machine || other->allocations.empty() || !acceptsTasks(context_, *other))
            continue;
        Machine after = *other;
        after.used += consumed[other->id];
        if (!canHost(context_, job, after)) continue;
        consumed[other->id] += job.spec.each;
        return true;
    }
    return false;
}

bool Consolidation::canConsolidate(ClusterState& clusterState, const Machine& machine,
                                   std::vector<Allocation*>& allocations) const {
    const auto now = context_.now();
    std::map<std::string, Resources> consumed;
    double longestLeft = 0;
    for (const auto& ref : machine.allocations) {
        const auto [job, slice, allocation] = clusterState.findAllocation(ref);
        if (allocation == nullptr || !canMove(*job, *allocation)) return false;
        longestLeft = std::max(
            longestLeft,
            Seconds(job->spec.estimate - Seconds(now - *allocation->runningSince)).count());
        if (!findCapacity(clusterState, machine, *job, consumed)) return false;
        allocations.push_back(allocation);
    }
    return longestLeft > minSecondsLeftToMove;
}

std::optional<std::string> Consolidation::consolidateOneMachine(PartitionId partition) {
    auto clusterState = context_.clusterState.lock();
    Machine* best = nullptr;
    std::vector<Allocation*> bestAllocations;
    double bestWaste = 0;
    for (auto* entry : clusterState->machinesOf(partition)) {
        Machine& machine = *entry;
        if (machine.consolidating && !machine.allocations.empty())
            return std::nullopt;  // one at a time
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
