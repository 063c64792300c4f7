#include "coordination/scheduling/machine_selector.h"

#include <algorithm>
#include <limits>

namespace fawnwheel::coordination {

namespace {

using protocol::TaskState;

// Share of the fetch time that counts if another task is already fetching the image.
constexpr double sharedFetchFactor = 0.4;
// For a task without GPUs that takes CPUs from a machine's GPUs.
constexpr double idleGpuPenaltySeconds = 25;
// For each slot of a larger task that is taken.
constexpr double lostSlotPenaltySeconds = 30;
// Times the fraction of CPUs left free, so that used machines are filled before empty ones.
constexpr double freeCpusPenaltySeconds = 4;
// Protected slots are open to a best-effort job only until it has this many allocations on the
// partition.
constexpr std::size_t maxBestEffortTasks = 32;
constexpr auto minWaitForProtectedSlots = std::chrono::seconds(60);  // of a best-effort job

}  // namespace

bool hasOrFetchesImage(ClusterState& clusterState, const Machine& machine, const Job& job) {
    const auto& image = job.spec.image;
    return std::any_of(machine.images.begin(), machine.images.end(),
                       [&](const auto& i) { return i.name == image; }) ||
           // Another task on the machine uses the image, so it is cached or being fetched.
           std::any_of(machine.allocations.begin(), machine.allocations.end(),
                       [&](const auto& ref) {
                           const Job* other = clusterState.job(ref.job);
                           return other != nullptr && other->spec.image == image;
                       });
}

double MachineSelector::fetchCostSeconds(ClusterState& clusterState, const Job& job,
                                         const Machine& machine, const MachineType& type) {
    const bool cached = std::any_of(machine.images.begin(), machine.images.end(),
                                    [&](const auto& i) { return i.name == job.spec.image; });
    if (cached) return 0;
    const double fetch = job.spec.imageSize / type.fetchRate;
    bool fetchingSameImage = false;
    std::set<std::string> imagesBeingFetched;
    for (const auto& ref : machine.allocations) {
        const auto [other, slice, allocation] = clusterState.findAllocation(ref);
        if (allocation == nullptr || allocation->state != TaskState::fetching) continue;
        fetchingSameImage = fetchingSameImage || other->spec.image == job.spec.image;
        imagesBeingFetched.insert(other->spec.image);
    }
    return fetchingSameImage ? fetch * sharedFetchFactor
                             : fetch * (1 + static_cast<double>(imagesBeingFetched.size()));
}

double MachineSelector::costSeconds(ClusterState& clusterState, const Job& job,
                                    const Machine& machine, const MachineType& type) {
    double seconds = fetchCostSeconds(clusterState, job, machine, type);
    if (job.spec.taskResources.gpus <= 0 && type.capacity.gpus > 0)
        seconds += idleGpuPenaltySeconds * job.spec.taskResources.cpus /
                       std::max(1.0, type.capacity.cpus) +
                   idleGpuPenaltySeconds;
    const double freeFraction =
        1.0 - (machine.used.cpus + job.spec.taskResources.cpus) / std::max(1.0, type.capacity.cpus);
    seconds += freeCpusPenaltySeconds * freeFraction;
    return seconds;
}

MachineCapacity* MachineSelector::select(ClusterState& clusterState, CapacityIndex& capacityIndex,
                                         const Job& job, const FragmentationGuard& guard,
                                         const ZoneUse& zoneUse,
                                         ProtectedSlotRule protectedSlotRule) const {
    MachineCapacity* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (auto& pool : capacityIndex.pools()) {
        if (!pool.allows(job, zoneUse)) continue;
        for (auto& machineCapacity : pool.machines) {
            if (!job.spec.taskResources.fits(machineCapacity.free) ||
                !job.spec.taskResources.fits(capacityIndex.capacityFor(job, machineCapacity)))
                continue;
            const auto lost =
                guard.slotsLost({*pool.type, pool.zone, pool.spot, machineCapacity.free}, job);
            if (protectedSlotRule == ProtectedSlotRule::preserved && lost.protectedSlots > 0)
                continue;
            const double value =
                costSeconds(clusterState, job, *machineCapacity.machine, *pool.type) +
                lostSlotPenaltySeconds * lost.total;
            if (value < bestCost) {
                bestCost = value;
                best = &machineCapacity;
            }
        }
    }
    return best;
}

std::uint32_t MachineSelector::protectedSlotAllowance(const Job& job, PartitionId partition) const {
    if (context_.timers.wallNow() - job.readySince < minWaitForProtectedSlots) return 0;
    std::size_t allocated = 0;
    for (const auto& slice : job.slices)
        if (slice.partition == partition) allocated += slice.allocations.size();
    return static_cast<std::uint32_t>(maxBestEffortTasks - std::min(maxBestEffortTasks, allocated));
}

}  // namespace fawnwheel::coordination
