// Where a task could go: the room on a partition's machines, by kind, and what each choice costs.
#include <algorithm>
#include <limits>

#include "coordination/scheduling/placement.h"

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;
using protocol::TaskState;

constexpr double sharedFetch = 0.4;        // of a fetch that another task has begun
constexpr double idleGpuSeconds = 25;      // what using up a GPU machine's CPUs counts as
constexpr double closedPlaceSeconds = 30;  // what closing a place for larger tasks counts as
// What a machine heartbeats has to fit into 64 KiB, with those that have ended and are not recorded
// yet.
constexpr std::size_t mostTasks = 448;
constexpr std::size_t bestEffortTasks =
    32;  // of a job on a partition that may close places of entitled jobs
constexpr auto bestEffortPatience =
    std::chrono::seconds(60);              // until places of others may be closed
constexpr double emptyMachineSeconds = 4;  // what breaking into an empty machine counts as

}  // namespace

Placement::CapacityIndex Placement::capacityIndexOf(const ClusterState& clusterState,
                                                    std::uint32_t partition) const {
    CapacityIndex capacityIndex;
    const auto now = context_.now();
    for (auto* machine : clusterState.machinesOf(partition)) {
        if (!takesWork(*machine, now) || machine->allocations.size() + machine->exited >= mostTasks)
            continue;
        auto kind =
            std::find_if(capacityIndex.begin(), capacityIndex.end(), [&](const MachinePool& k) {
                return k.type->name == machine->type && k.zone == machine->zone &&
                       k.spot == machine->spot;
            });
        if (kind == capacityIndex.end()) {
            const auto* type = context_.type(machine->type);
            if (type == nullptr) continue;
            kind =
                capacityIndex.insert(capacityIndex.end(), {type, machine->zone, machine->spot, {}});
        }
        MachineCapacity machineCapacity{machine, kind->type->capacity, {}};
        machineCapacity.free -= machine->used;
        machineCapacity.open = machineCapacity.free;
        if (now < machine->reservedUntil) machineCapacity.open -= machine->reservedCapacity;
        kind->machines.push_back(machineCapacity);
    }
    return capacityIndex;
}

bool Placement::kindAllowed(const Job& job, const MachinePool& kind, const ZoneUse& zoneUse) {
    if (!typeAllowed(job.spec, *kind.type, kind.zone, kind.spot)) return false;
    if (job.spec.oneZone)
        for (const auto& [zone, count] : zoneUse)
            if (count > 0 && zone != kind.zone) return false;
    if (job.spec.spread) {
        const auto here = zoneUse.find(kind.zone);
        const auto lost = zoneUse.find(std::string());
        const auto count =
            (here == zoneUse.end() ? 0 : here->second) + (lost == zoneUse.end() ? 0 : lost->second);
        if (count + 1 > (job.spec.tasks + 1) / 2) return false;
    }
    return true;
}

Resources Placement::capacityOn(const MachineCapacity& machineCapacity, const Job& job) const {
    const Machine& machine = *machineCapacity.machine;
    if (!mayUseLoan(job, machine)) return {};
    if (!job.failures.machines.empty() && job.avoids(machine.id, context_.now())) return {};
    return machine.reservedFor == job.spec.id ? machineCapacity.free : machineCapacity.open;
}

std::uint32_t Placement::placesFor(const CapacityIndex& capacityIndex, const Job& job,
                                   const ZoneUse& zoneUse) const {
    std::uint32_t places = 0;
    for (const auto& kind : capacityIndex) {
        if (!kindAllowed(job, kind, zoneUse)) continue;
        for (const auto& machineCapacity : kind.machines) {
            if (!job.spec.each.fits(machineCapacity.free)) continue;
            places += countThatFit(job, capacityOn(machineCapacity, job), job.spec.tasks - places);
            if (places >= job.spec.tasks) return places;
        }
    }
    return places;
}

void Placement::consume(MachineCapacity& machineCapacity, const Resources& each) {
    machineCapacity.free -= each;
    machineCapacity.open -= each;
}

void Placement::restore(MachineCapacity& machineCapacity, const Resources& each) {
    machineCapacity.free += each;
    machineCapacity.open += each;
}

double Placement::cost(ClusterState& clusterState, const Job& job, const Machine& machine,
                       const MachineType& type) const {
    double seconds = 0;
    const bool cached = std::any_of(machine.images.begin(), machine.images.end(),
                                    [&](const auto& i) { return i.name == job.spec.image; });
    if (!cached) {
        const double fetch = job.spec.imageSize / type.fetchRate;
        bool begun = false;
        std::set<std::string> others;
        for (const auto& ref : machine.allocations) {
            const auto [other, slice, allocation] = clusterState.findAllocation(ref);
            if (allocation == nullptr || allocation->state != TaskState::fetching) continue;
            begun = begun || other->spec.image == job.spec.image;
            others.insert(other->spec.image);
        }
        seconds += begun ? fetch * sharedFetch : fetch * (1 + static_cast<double>(others.size()));
    }
    if (job.spec.each.gpus <= 0 && type.capacity.gpus > 0)
        seconds += idleGpuSeconds * job.spec.each.cpus / std::max(1.0, type.capacity.cpus) +
                   idleGpuSeconds;
    const double freeFraction =
        1.0 - (machine.used.cpus + job.spec.each.cpus) / std::max(1.0, type.capacity.cpus);
    seconds += emptyMachineSeconds * freeFraction;
    return seconds;
}

bool Placement::hasImage(ClusterState& clusterState, const Machine& machine, const Job& job) {
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

Placement::FragmentationGuard Placement::largestOfClasses(const ClusterState& clusterState) {
    FragmentationGuard largest;
    for (const auto& entry : clusterState.jobs) {
        const Job& job = entry.second;
        if (!clusterState.schedulable(job)) continue;
        const auto same = std::find_if(
            largest.begin(), largest.end(),
            [&](const LargerTask& other) { return other.job->spec.jobClass == job.spec.jobClass; });
        if (same == largest.end())
            largest.push_back({&job, 0});
        else if (job.spec.each.cpus > same->job->spec.each.cpus)
            same->job = &job;
    }
    return largest;
}

void Placement::countSpare(FragmentationGuard& fragmentationGuard,
                           const CapacityIndex& capacityIndex, const ClusterState& clusterState,
                           std::uint32_t partition) const {
    for (auto& largerTask : fragmentationGuard) {
        const auto& spec = largerTask.job->spec;
        std::uint32_t needed = 0;
        std::uint32_t largest = 0;
        for (const auto& [id, job] : clusterState.jobs) {
            if (job.spec.jobClass != spec.jobClass || !clusterState.schedulable(job)) continue;
            // As much of a job as comes to one partition together.
            largest = std::max(largest, std::min(job.spec.tasks, job.sliceSize));
            for (const auto& slice : job.slices)
                if (slice.partition == partition) needed += slice.waiting();
        }
        needed += largest;
        std::uint32_t places = 0;
        for (const auto& kind : capacityIndex) {
            if (!typeAllowed(spec, *kind.type, kind.zone, kind.spot)) continue;
            for (const auto& machineCapacity : kind.machines)
                places += countThatFit(*largerTask.job, machineCapacity.open, spec.tasks);
        }
        largerTask.spare = places > needed ? places - needed : 0;
    }
}

bool Placement::mayLoseSlots(const LargerTask& largerTask, const Job& job) {
    return largerTask.job->spec.jobClass != job.spec.jobClass &&
           largerTask.job->priority <= job.priority &&
           !largerTask.job->spec.each.fits(job.spec.each);
}

std::uint32_t Placement::slotsLost(const LargerTask& largerTask, const MachineType& type,
                                   const std::string& zone, bool spot, const Resources& free,
                                   const Job& job) {
    const auto& spec = largerTask.job->spec;
    if (!mayLoseSlots(largerTask, job) || !spec.each.fits(free) ||
        !typeAllowed(spec, type, zone, spot))
        return 0;
    Resources after = free;
    after -= job.spec.each;
    return countThatFit(*largerTask.job, free, spec.tasks) -
           countThatFit(*largerTask.job, after, spec.tasks);
}

Placement::LostSlots Placement::slotsLost(const FragmentationGuard& fragmentationGuard,
                                          const MachineType& type, const std::string& zone,
                                          bool spot, const Resources& free, const Job& job) {
    // Small tasks spread over large machines left no room for a large one on any of them.
    LostSlots closed;
    for (const auto& largerTask : fragmentationGuard) {
        const auto count = slotsLost(largerTask, type, zone, spot, free, job);
        closed.all += count;
        const auto& spec = largerTask.job->spec;
        if (count > largerTask.spare && spec.team != job.spec.team &&
            largerTask.job->priority < job.priority)
            closed.ofEntitled += count;
    }
    return closed;
}

std::uint32_t Placement::bestEffortAllowance(const Job& job, std::uint32_t partition) const {
    if (context_.timers.wallNow() - job.readySince < bestEffortPatience) return 0;
    std::size_t claimed = 0;
    for (const auto& slice : job.slices)
        if (slice.partition == partition) claimed += slice.allocations.size();
    return static_cast<std::uint32_t>(bestEffortTasks - std::min(bestEffortTasks, claimed));
}

Placement::MachineCapacity* Placement::choose(ClusterState& clusterState,
                                              CapacityIndex& capacityIndex, const Job& job,
                                              const FragmentationGuard& fragmentationGuard,
                                              const ZoneUse& zoneUse, bool yields) const {
    MachineCapacity* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (auto& kind : capacityIndex) {
        if (!kindAllowed(job, kind, zoneUse)) continue;
        for (auto& machineCapacity : kind.machines) {
            if (!job.spec.each.fits(machineCapacity.free) ||
                !job.spec.each.fits(capacityOn(machineCapacity, job)))
                continue;
            const auto closed = slotsLost(fragmentationGuard, *kind.type, kind.zone, kind.spot,
                                          machineCapacity.free, job);
            if (yields && closed.ofEntitled > 0) continue;
            const double value = cost(clusterState, job, *machineCapacity.machine, *kind.type) +
                                 closedPlaceSeconds * closed.all;
            if (value < bestCost) {
                bestCost = value;
                best = &machineCapacity;
            }
        }
    }
    return best;
}

std::uint32_t Placement::worthWaiting(const CapacityIndex& capacityIndex, const Job& job) const {
    const auto fetch = fetchTime(job);
    const Seconds waited = context_.timers.wallNow() - job.readySince;
    if (waited >= fetch || job.spec.estimate.count() <= 0) return 0;
    // Places on machines that have the image come free at this rate.
    double places = 0;
    for (const auto& kind : capacityIndex) {
        if (!kindAllowed(job, kind, {})) continue;
        const auto each = countThatFit(job, kind.type->capacity, job.spec.tasks);
        for (const auto& machineCapacity : kind.machines)
            if (std::any_of(machineCapacity.machine->images.begin(),
                            machineCapacity.machine->images.end(),
                            [&](const auto& i) { return i.name == job.spec.image; }))
                places += each;
    }
    return static_cast<std::uint32_t>(places * (fetch / job.spec.estimate));
}

}  // namespace fawnwheel::coordination
