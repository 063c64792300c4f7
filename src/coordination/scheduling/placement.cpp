#include "coordination/scheduling/placement.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr double silentHeartbeats = 2.5;  // no new work after so many missed heartbeats
constexpr double unlimited = 1e12;
constexpr double quotaTolerance = 1e-6;
constexpr double fetchThatCounts = 0.25;  // of the time that a task runs
constexpr double fetchesPassedOver = 3;

}  // namespace

std::map<std::string, std::uint32_t> zoneUseOf(const ClusterState& clusterState, const Job& job) {
    std::map<std::string, std::uint32_t> use;
    for (const auto& slice : job.slices) {
        for (const auto& allocation : slice.allocations) {
            // A machine we have lost sight of still counts, wherever it is.
            const auto found = clusterState.machines.find(allocation.machine);
            ++use[found == clusterState.machines.end() ? std::string() : found->second.zone];
        }
    }
    return use;
}

bool Placement::typeAllowed(const protocol::JobSpec& spec, const MachineType& type,
                            const std::string& zone, bool spot) {
    if (spot && !spec.spot) return false;
    if (spec.zone && *spec.zone != zone) return false;
    if (spec.types &&
        std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end())
        return false;
    return spec.each.fits(type.capacity);
}

bool Placement::takesWork(const Machine& machine) const {
    return takesWork(machine, context_.now());
}

bool Placement::takesWork(const Machine& machine, SteadyTime now) const {
    return machine.version != 0 && machine.acknowledged() && !machine.transferring &&
           !machine.decommissioned && !machine.consolidating && !machine.interruptionAt &&
           machine.lastHeartbeat &&
           now - *machine.lastHeartbeat <
               ticks(context_.settings.heartbeatInterval * silentHeartbeats) &&
           now >= machine.notBefore;
}

std::uint64_t Placement::nextAttempt(std::uint32_t partition) {
    // Terms grow over all leaders, so attempts do too, without a record of their own.
    return (membership_.term(partition) << taskBits) | (++sequence_ & ((1U << taskBits) - 1));
}

storage::QuotaShare Placement::quotaShareOf(const ClusterState& clusterState,
                                            const config::Team& team,
                                            std::uint32_t partition) const {
    const auto partitions = static_cast<double>(context_.partitionCount());
    storage::QuotaShare quota{team.cpusMax / partitions, team.gpusMax / partitions};
    const auto known = clusterState.quotas.find(team.name);
    if (known == clusterState.quotas.end() || !known->second.contains(partition)) return quota;
    storage::QuotaShare total;
    for (const auto& [number, recorded] : known->second) {
        total.cpus += recorded.cpus;
        total.gpus += recorded.gpus;
    }
    const auto& mine = known->second.at(partition);
    // Recorded for another limit or other partitions: the lesser of both never exceeds the limit.
    const bool fits = known->second.size() == context_.partitionCount() &&
                      std::abs(total.cpus - team.cpusMax) < quotaTolerance &&
                      std::abs(total.gpus - team.gpusMax) < quotaTolerance;
    return fits ? mine
                : storage::QuotaShare{std::min(quota.cpus, mine.cpus),
                                      std::min(quota.gpus, mine.gpus)};
}

Resources Placement::remainingQuota(ClusterState& clusterState, const std::string& name,
                                    std::uint32_t partition) const {
    Resources left{unlimited, unlimited, unlimited};
    const auto* team = context_.team(name);
    if (team == nullptr) return left;
    const auto used = clusterState.usedBy(name, partition);
    auto quota = quotaShareOf(clusterState, *team, partition);
    if (const auto leaving = clusterState.outgoingQuotas.find(name);
        leaving != clusterState.outgoingQuotas.end() && leaving->second.partition == partition) {
        quota.cpus -= leaving->second.quota.cpus;
        quota.gpus -= leaving->second.quota.gpus;
    }
    if (team->cpusMax > 0) left.cpus = quota.cpus - used.cpus;
    if (team->gpusMax > 0) left.gpus = quota.gpus - used.gpus;
    return left;
}

bool Placement::letsCachedGoFirst(const Job& job) const {
    // In a backlog every job has waited long. Each machine that came free then fetched the image of
    // the first in the queue, while later ones had theirs there: half of the GPUs' time went into
    // fetches, and the backlog stayed (day zone of a fleet). What finds no place at all for long
    // takes one wherever it is.
    const auto fetch = fetchTime(job);
    const Seconds waited = context_.timers.wallNow() - job.readySince;
    return fetch > job.spec.estimate * fetchThatCounts &&
           (job.anyAllocation() || waited < fetch * fetchesPassedOver);
}

void Placement::useSpare(FragmentationGuard& fragmentationGuard,
                         const MachineCapacity& machineCapacity, const Job& job) const {
    const Machine& machine = *machineCapacity.machine;
    const auto* type = context_.type(machine.type);
    for (auto& largerTask : fragmentationGuard)
        largerTask.spare -= std::min(
            largerTask.spare,
            slotsLost(largerTask, *type, machine.zone, machine.spot, machineCapacity.free, job));
}

Placement::Placed Placement::placeArray(ClusterState& clusterState, std::uint32_t partition,
                                        Job& job, CapacityIndex& capacityIndex,
                                        FragmentationGuard& fragmentationGuard, Resources& left,
                                        bool& overQuota, bool cachedOnly, std::uint32_t most) {
    // Counted in each round, the places of thousands of tasks took half of a round's time.
    ZoneUse zoneUse;
    if (job.spec.oneZone || job.spec.spread) zoneUse = zoneUseOf(clusterState, job);
    // The entitled jobs' places stay open for what comes next. What finds no other place takes a
    // few of them, so that a best-effort job never waits for good.
    const bool bestEffort = context_.isBestEffort(job);
    auto allowance = bestEffort ? bestEffortAllowance(job, partition) : 0;
    Placed placed;
    std::optional<std::uint32_t> mayWait;  // worked out when the first would have to fetch
    for (auto& slice : job.slices) {
        if (slice.partition != partition || slice.waiting() == 0) continue;
        for (std::uint32_t i = 0; i < slice.done.size(); ++i) {
            const auto task = slice.first + i;
            if (!slice.unstarted(task) || slice.isMigrating(task)) continue;
            if (placed.tasks >= most) return placed;
            if (!job.spec.each.fits(left)) {
                overQuota = true;
                return placed;
            }
            MachineCapacity* machineCapacity =
                choose(clusterState, capacityIndex, job, fragmentationGuard, zoneUse, bestEffort);
            if (machineCapacity == nullptr && allowance > 0) {
                --allowance;
                machineCapacity =
                    choose(clusterState, capacityIndex, job, fragmentationGuard, zoneUse, false);
            }
            if (machineCapacity == nullptr) return placed;
            const Machine* machine = machineCapacity->machine;
            if (!hasImage(clusterState, *machine, job)) {
                if (cachedOnly) return placed;
                if (!mayWait) mayWait = worthWaiting(capacityIndex, job);
                if (*mayWait > 0) {
                    --*mayWait;
                    ++placed.waiting;
                    continue;
                }
            }
            Allocation allocation;
            allocation.task = task;
            allocation.machine = machine->id;
            allocation.attempt = nextAttempt(partition);
            allocation.made = context_.now();
            ++zoneUse[machine->zone];
            left -= job.spec.each;
            spdlog::debug("task {}/{}: to {} ({}), class {}, {:.1f} s after submission",
                          job.spec.id, task, machine->id, machine->type, job.spec.jobClass,
                          Seconds(context_.timers.wallNow() - job.submitted).count());
            clusterState.addAllocation(job, slice, std::move(allocation));
            if (bestEffort) useSpare(fragmentationGuard, *machineCapacity, job);
            consume(*machineCapacity, job.spec.each);
            ++placed.tasks;
        }
    }
    return placed;
}

bool Placement::placeGang(ClusterState& clusterState, std::uint32_t partition, Job& job,
                          CapacityIndex& capacityIndex, Resources& left, bool& overQuota) {
    Resources all;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) all += job.spec.each;
    if (!all.fits(left)) {
        overQuota = true;
        return false;
    }
    // One zone after the other for a gang that must stay together; else all at once.
    std::vector<std::string> zones{std::string()};
    if (job.spec.oneZone) {
        std::set<std::string> found;
        for (const auto& kind : capacityIndex) found.insert(kind.zone);
        zones.clear();
        for (const auto& zone : found) zones.push_back(zone);
    }
    for (const auto& zone : zones) {
        ZoneUse use;
        if (!zone.empty()) use[zone] = 1;  // holds the choice to this zone
        if (placesFor(capacityIndex, job, use) < job.spec.tasks) continue;
        const auto attempt = nextAttempt(partition);
        std::vector<MachineCapacity*> chosen;
        std::vector<bool> dirty;
        for (auto& slice : job.slices) {
            dirty.push_back(slice.dirty);
            for (std::uint32_t i = 0; i < slice.done.size(); ++i) {
                MachineCapacity* machineCapacity =
                    choose(clusterState, capacityIndex, job, {}, use, false);
                if (machineCapacity == nullptr) break;
                Allocation allocation;
                allocation.task = slice.first + i;
                allocation.machine = machineCapacity->machine->id;
                allocation.attempt = attempt;
                allocation.made = context_.now();
                ++use[machineCapacity->machine->zone];
                clusterState.addAllocation(job, slice, std::move(allocation));
                consume(*machineCapacity, job.spec.each);
                chosen.push_back(machineCapacity);
            }
        }
        if (chosen.size() == job.spec.tasks) {
            left -= all;
            spdlog::debug("gang {}: placed, first on {}, class {}, {:.1f} s after submission",
                          job.spec.id, job.slices.front().allocations.front().machine,
                          job.spec.jobClass,
                          Seconds(context_.timers.wallNow() - job.submitted).count());
            return true;
        }
        for (auto* machineCapacity : chosen) restore(*machineCapacity, job.spec.each);
        for (auto& slice : job.slices) {
            while (!slice.allocations.empty())
                clusterState.removeAllocation(job, slice, slice.allocations.front().task);
            // As it was: the ends of the attempt before may still wait to be recorded. Once they
            // never were, and peers took the gang for running (scenario gang_lending).
            slice.dirty = dirty[slice.index];
        }
    }
    return false;
}

std::vector<UnschedulableWork> Placement::run(std::uint32_t partition) {
    std::vector<UnschedulableWork> unschedulable;
    auto clusterState = context_.clusterState.lock();
    std::map<std::string, Resources> left;
    std::set<std::string> blockedZones;
    dropReservations(*clusterState, partition);
    auto capacityIndex = capacityIndexOf(*clusterState, partition);
    auto fragmentationGuard = largestOfClasses(*clusterState);
    auto queue = readyJobs(*clusterState, partition);
    const auto leftFor = [&](const Job& job) -> Resources& {
        const auto [entry, fresh] = left.try_emplace(job.spec.team);
        if (fresh) entry->second = remainingQuota(*clusterState, job.spec.team, partition);
        return entry->second;
    };
    std::vector<Ready> toFetch;
    bool spareCounted = false;
    const bool recordsLag = allocationsPending(*clusterState, partition);
    for (auto& ready : queue) {
        Job& job = *ready.job;
        bool overQuota = false;
        if (job.spec.kind != JobKind::gang) {
            const bool bestEffort = context_.isBestEffort(job);
            if (bestEffort && recordsLag) continue;
            // Best-effort jobs come last, so that what the entitled jobs have just taken counts.
            if (bestEffort && !std::exchange(spareCounted, true))
                countSpare(fragmentationGuard, capacityIndex, *clusterState, partition);
            const bool cachedOnly = !ready.probe && letsCachedGoFirst(job);
            const auto placed =
                placeArray(*clusterState, partition, job, capacityIndex, fragmentationGuard,
                           leftFor(job), overQuota, cachedOnly, mostToPlace(ready));
            ready.tasks -= placed.tasks + placed.waiting;
            if (ready.tasks == 0) continue;
            if (ready.probe) continue;
            if (cachedOnly && !overQuota)
                toFetch.push_back(ready);
            else
                unschedulable.push_back({job.spec.id, ready.tasks, overQuota, false, {}, false, 0});
            continue;
        }
        if (placeGang(*clusterState, partition, job, capacityIndex, leftFor(job), overQuota) ||
            ready.probe)
            continue;
        // One task alone gathers nothing and lies in one zone anyway.
        if (job.spec.tasks == 1 || overQuota) {
            unschedulable.push_back({job.spec.id, ready.tasks, overQuota, false, {}, false, 0});
            continue;
        }
        chooseZone(*clusterState, partition, job);
        const bool waitsTurn = blockedZones.contains(job.assemblyZone);
        // What waits for its turn has machines provisioned for it, but only once: each round it
        // once asked for all of them again.
        auto lacking = job.spec.tasks;
        const auto missing =
            waitsTurn
                ? job.spec.tasks - std::min(job.spec.tasks, heldFor(*clusterState, partition, job))
                : assembleGang(*clusterState, partition, job, capacityIndex, blockedZones, lacking);
        unschedulable.push_back(
            {job.spec.id, missing, false, true, job.assemblyZone, waitsTurn, lacking});
    }
    for (auto& ready : toFetch) {
        Job& job = *ready.job;
        bool overQuota = false;
        const auto placed =
            placeArray(*clusterState, partition, job, capacityIndex, fragmentationGuard,
                       leftFor(job), overQuota, false, mostToPlace(ready));
        ready.tasks -= placed.tasks + placed.waiting;
        if (ready.tasks > 0)
            unschedulable.push_back({job.spec.id, ready.tasks, overQuota, false, {}, false, 0});
    }
    return unschedulable;
}

}  // namespace fawnwheel::coordination
