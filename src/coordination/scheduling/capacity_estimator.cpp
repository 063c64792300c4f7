#include "coordination/scheduling/capacity_estimator.h"

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

}  // namespace

std::uint32_t CapacityEstimator::capacityFor(const Job& job, PartitionId partition,
                                             std::uint32_t limit) {
    auto clusterState = context_.clusterState.lock();
    if (job.spec.kind == JobKind::gang) return gangCapacity(*clusterState, partition, job);
    std::uint32_t capacity = 0;
    const bool isLeader = membership_.isLeader(partition);
    const auto guard =
        context_.isBestEffort(job) ? FragmentationGuard(*clusterState) : FragmentationGuard();
    for (const auto* machine : clusterState->machinesOf(partition)) {
        if (machine->decommissioned || (isLeader && !acceptsTasks(context_, *machine)) ||
            !mayUseLoan(context_, job, *machine))
            continue;
        const auto* type = context_.findMachineType(machine->type);
        if (type == nullptr || !typeAllowed(job.spec, *type, machine->zone, machine->spot))
            continue;
        Resources free = type->capacity;
        free -= machine->used;
        const auto fitting = countFittingTasks(job, free, limit - capacity);
        for (std::uint32_t i = 0; i < fitting; ++i, free -= job.spec.taskResources, ++capacity)
            if (!guard.empty() &&
                guard.slotsLost({*type, machine->zone, machine->spot, free}, job).protectedSlots >
                    0)
                break;
        if (capacity >= limit) break;
    }
    return capacity;
}

std::uint32_t CapacityEstimator::gangCapacity(const ClusterState& clusterState,
                                              PartitionId partition, const Job& job) const {
    // A gang starts with all of its tasks or not at all: capacity for only some of them counts as
    // none.
    const bool isLeader = membership_.isLeader(partition);
    std::map<std::string, std::uint32_t> fittingTasksByZone;
    for (const auto* machine : clusterState.machinesOf(partition)) {
        const auto* type = context_.findMachineType(machine->type);
        if (machine->decommissioned || (isLeader && !acceptsTasks(context_, *machine)) ||
            type == nullptr || !typeAllowed(job.spec, *type, machine->zone, machine->spot))
            continue;
        Resources free = type->capacity;
        free -= machine->used;
        if (context_.now() < machine->reservedUntil && machine->reservedFor != job.spec.id)
            free -= machine->reservedCapacity;
        fittingTasksByZone[job.spec.oneZone ? machine->zone : std::string()] +=
            countFittingTasks(job, free, job.spec.tasks);
    }
    const bool fits =
        std::any_of(fittingTasksByZone.begin(), fittingTasksByZone.end(),
                    [&](const auto& entry) { return entry.second >= job.spec.tasks; });
    return fits ? job.spec.tasks : 0;
}

bool CapacityEstimator::isFeasible(const Job& job, PartitionId partition) {
    auto clusterState = context_.clusterState.lock();
    const auto& machines = clusterState->machinesOf(partition);
    return std::any_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        const auto* type = context_.findMachineType(machine->type);
        return !machine->decommissioned && type != nullptr &&
               typeAllowed(job.spec, *type, machine->zone, machine->spot);
    });
}

}  // namespace fawnwheel::coordination
