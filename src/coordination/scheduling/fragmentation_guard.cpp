#include "coordination/scheduling/fragmentation_guard.h"

#include <algorithm>

namespace fawnwheel::coordination {

FragmentationGuard::FragmentationGuard(const ClusterState& clusterState) {
    for (const auto& entry : clusterState.jobs) {
        const Job& job = entry.second;
        if (!clusterState.schedulable(job)) continue;
        const auto same = std::find_if(
            largestTaskByClass_.begin(), largestTaskByClass_.end(),
            [&](const LargerTask& other) { return other.job->spec.jobClass == job.spec.jobClass; });
        if (same == largestTaskByClass_.end())
            largestTaskByClass_.push_back({&job, 0});
        else if (job.spec.taskResources.cpus > same->job->spec.taskResources.cpus)
            same->job = &job;
    }
}

std::uint32_t FragmentationGuard::slotsNeeded(const std::string& jobClass,
                                              const ClusterState& clusterState,
                                              PartitionId partition) {
    std::uint32_t needed = 0;
    std::uint32_t largest = 0;
    for (const auto& [id, job] : clusterState.jobs) {
        if (job.spec.jobClass != jobClass || !clusterState.schedulable(job)) continue;
        // At most this many tasks of one job come to a partition at the same time.
        largest = std::max(largest, std::min(job.spec.tasks, job.sliceSize));
        for (const auto& slice : job.slices)
            if (slice.partition == partition) needed += slice.waitingTasks();
    }
    return needed + largest;
}

void FragmentationGuard::countSpareSlots(const CapacityIndex& capacityIndex,
                                         const ClusterState& clusterState, PartitionId partition) {
    for (auto& largerTask : largestTaskByClass_) {
        const auto& spec = largerTask.job->spec;
        const auto needed = slotsNeeded(spec.jobClass, clusterState, partition);
        std::uint32_t slots = 0;
        for (const auto& pool : capacityIndex.pools()) {
            if (!typeAllowed(spec, *pool.type, pool.zone, pool.spot)) continue;
            for (const auto& machineCapacity : pool.machines)
                slots += countFittingTasks(*largerTask.job, machineCapacity.unreserved, spec.tasks);
        }
        largerTask.spareSlots = slots > needed ? slots - needed : 0;
    }
}

void FragmentationGuard::consumeSpareSlots(const MachineType& type,
                                           const MachineCapacity& machineCapacity, const Job& job) {
    const Machine& machine = *machineCapacity.machine;
    const CandidateSlot slot{type, machine.zone, machine.spot, machineCapacity.free};
    for (auto& largerTask : largestTaskByClass_)
        largerTask.spareSlots -= std::min(largerTask.spareSlots, slotsLost(largerTask, slot, job));
}

bool FragmentationGuard::isGuardedAgainst(const LargerTask& largerTask, const Job& job) {
    return largerTask.job->spec.jobClass != job.spec.jobClass &&
           largerTask.job->priority <= job.priority &&
           !largerTask.job->spec.taskResources.fits(job.spec.taskResources);
}

std::uint32_t FragmentationGuard::slotsLost(const LargerTask& largerTask, const CandidateSlot& slot,
                                            const Job& job) {
    const auto& spec = largerTask.job->spec;
    if (!isGuardedAgainst(largerTask, job) || !spec.taskResources.fits(slot.free) ||
        !typeAllowed(spec, slot.type, slot.zone, slot.spot))
        return 0;
    Resources after = slot.free;
    after -= job.spec.taskResources;
    return countFittingTasks(*largerTask.job, slot.free, spec.tasks) -
           countFittingTasks(*largerTask.job, after, spec.tasks);
}

LostSlots FragmentationGuard::slotsLost(const CandidateSlot& slot, const Job& job) const {
    // Without this guard, small tasks spread over all large machines left none with enough free
    // capacity for a large task.
    LostSlots lost;
    for (const auto& largerTask : largestTaskByClass_) {
        const auto count = slotsLost(largerTask, slot, job);
        lost.total += count;
        const auto& spec = largerTask.job->spec;
        if (count > largerTask.spareSlots && spec.team != job.spec.team &&
            largerTask.job->priority < job.priority)
            lost.protectedSlots += count;
    }
    return lost;
}

}  // namespace fawnwheel::coordination
