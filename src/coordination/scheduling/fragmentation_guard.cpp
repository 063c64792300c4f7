#include "coordination/scheduling/fragmentation_guard.h"

#include <algorithm>

namespace fawnwheel::coordination {

FragmentationGuard::FragmentationGuard(const ClusterState& clusterState) {
    for (const auto& entry : clusterState.jobs) {
        const Job& job = entry.second;
        if (!clusterState.schedulable(job)) continue;
        const auto same = std::find_if(
            largestOfClasses_.begin(), largestOfClasses_.end(),
            [&](const LargerTask& other) { return other.job->spec.jobClass == job.spec.jobClass; });
        if (same == largestOfClasses_.end())
            largestOfClasses_.push_back({&job, 0});
        else if (job.spec.each.cpus > same->job->spec.each.cpus)
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
        // As much of a job as comes to one partition together.
        largest = std::max(largest, std::min(job.spec.tasks, job.sliceSize));
        for (const auto& slice : job.slices)
            if (slice.partition == partition) needed += slice.waitingTasks();
    }
    return needed + largest;
}

void FragmentationGuard::countSpareSlots(const CapacityIndex& capacityIndex,
                                         const ClusterState& clusterState, PartitionId partition) {
    for (auto& largerTask : largestOfClasses_) {
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

void FragmentationGuard::useSpareSlots(const MachineType& type,
                                       const MachineCapacity& machineCapacity, const Job& job) {
    const Machine& machine = *machineCapacity.machine;
    const CandidateSlot slot{type, machine.zone, machine.spot, machineCapacity.free};
    for (auto& largerTask : largestOfClasses_)
        largerTask.spareSlots -= std::min(largerTask.spareSlots, slotsLost(largerTask, slot, job));
}

bool FragmentationGuard::mayLoseSlots(const LargerTask& largerTask, const Job& job) {
    return largerTask.job->spec.jobClass != job.spec.jobClass &&
           largerTask.job->priority <= job.priority &&
           !largerTask.job->spec.each.fits(job.spec.each);
}

std::uint32_t FragmentationGuard::slotsLost(const LargerTask& largerTask, const CandidateSlot& slot,
                                            const Job& job) {
    const auto& spec = largerTask.job->spec;
    if (!mayLoseSlots(largerTask, job) || !spec.each.fits(slot.free) ||
        !typeAllowed(spec, slot.type, slot.zone, slot.spot))
        return 0;
    Resources after = slot.free;
    after -= job.spec.each;
    return countFittingTasks(*largerTask.job, slot.free, spec.tasks) -
           countFittingTasks(*largerTask.job, after, spec.tasks);
}

LostSlots FragmentationGuard::slotsLost(const CandidateSlot& slot, const Job& job) const {
    // Small tasks spread over large machines left no capacity for a large one on any of them.
    LostSlots lost;
    for (const auto& largerTask : largestOfClasses_) {
        const auto count = slotsLost(largerTask, slot, job);
        lost.all += count;
        const auto& spec = largerTask.job->spec;
        if (count > largerTask.spareSlots && spec.team != job.spec.team &&
            largerTask.job->priority < job.priority)
            lost.ofEntitled += count;
    }
    return lost;
}

}  // namespace fawnwheel::coordination
