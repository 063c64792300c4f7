#include "coordination/scheduling/machine_selector.h"

#include <algorithm>
#include <limits>

namespace fawnwheel::coordination {

namespace {

using protocol::TaskState;

constexpr double sharedFetchFactor = 0.4;  // of a fetch that another task has begun
constexpr double idleGpuSeconds = 25;      // what using up a GPU machine's CPUs counts as
constexpr double lostSlotSeconds = 30;     // what taking a slot of larger tasks counts as
constexpr double emptyMachineSeconds = 4;  // what breaking into an empty machine counts as
// Of a best-effort job on a partition that may take slots of entitled jobs.
constexpr std::size_t maxBestEffortTasks = 32;
constexpr auto bestEffortPatience = std::chrono::seconds(60);  // until others' slots may be taken

}  // namespace

bool hasImage(ClusterState& clusterState, const Machine& machine, const Job& job) {
    const auto& image = job.spec.image;
    return std::any_of(machine.images.begin(), machine.images.end(),
                       [&](const auto& i) { return i.name == image; }) ||
           // Under way for another task.
           std::any_of(machine.allocations.begin(), machine.allocations.end(),
                       [&](const auto& ref) {
                           const Job* other = clusterState.job(ref.job);
                           return other != nullptr && other->spec.image == image;
                       });
}

double MachineSelector::fetchCost(ClusterState& clusterState, const Job& job,
                                  const Machine& machine, const MachineType& type) {
    const bool cached = std::any_of(machine.images.begin(), machine.images.end(),
                                    [&](const auto& i) { return i.name == job.spec.image; });
    if (cached) return 0;
    const double fetch = job.spec.imageSize / type.fetchRate;
    bool begun = false;
    std::set<std::string> others;
    for (const auto& ref : machine.allocations) {
        const auto [other, slice, allocation] = clusterState.findAllocation(ref);
        if (allocation == nullptr || allocation->state != TaskState::fetching) continue;
        begun = begun || other->spec.image == job.spec.image;
        others.insert(other->spec.image);
    }
    return begun ? fetch * sharedFetchFactor : fetch * (1 + static_cast<double>(others.size()));
}

double MachineSelector::cost(ClusterState& clusterState, const Job& job, const Machine& machine,
                             const MachineType& type) {
    double seconds = fetchCost(clusterState, job, machine, type);
    if (job.spec.each.gpus <= 0 && type.capacity.gpus > 0)
        seconds += idleGpuSeconds * job.spec.each.cpus / std::max(1.0, type.capacity.cpus) +
                   idleGpuSeconds;
    const double freeFraction =
        1.0 - (machine.used.cpus + job.spec.each.cpus) / std::max(1.0, type.capacity.cpus);
    seconds += emptyMachineSeconds * freeFraction;
    return seconds;
}

MachineCapacity* MachineSelector::select(ClusterState& clusterState, CapacityIndex& capacityIndex,
                                         const Job& job, const FragmentationGuard& guard,
                                         const ZoneUse& zoneUse,
                                         EntitledSlots entitledSlots) const {
    MachineCapacity* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (auto& pool : capacityIndex.pools()) {
        if (!pool.allows(job, zoneUse)) continue;
        for (auto& machineCapacity : pool.machines) {
            if (!job.spec.each.fits(machineCapacity.free) ||
                !job.spec.each.fits(capacityIndex.capacityFor(job, machineCapacity)))
                continue;
            const auto lost =
                guard.slotsLost({*pool.type, pool.zone, pool.spot, machineCapacity.free}, job);
            if (entitledSlots == EntitledSlots::preserved && lost.ofEntitled > 0) continue;
            const double value = cost(clusterState, job, *machineCapacity.machine, *pool.type) +
                                 lostSlotSeconds * lost.all;
            if (value < bestCost) {
                bestCost = value;
                best = &machineCapacity;
            }
        }
    }
    return best;
}

std::uint32_t MachineSelector::bestEffortAllowance(const Job& job, PartitionId partition) const {
    if (context_.timers.wallNow() - job.readySince < bestEffortPatience) return 0;
    std::size_t allocated = 0;
    for (const auto& slice : job.slices)
        if (slice.partition == partition) allocated += slice.allocations.size();
    return static_cast<std::uint32_t>(maxBestEffortTasks - std::min(maxBestEffortTasks, allocated));
}

}  // namespace fawnwheel::coordination
