#include "coordination/scheduling/placement.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr std::uint32_t taskBits = 24;     // of an attempt's number; the rest is the term
constexpr double significantFetch = 0.25;  // of the time that a task runs
constexpr double maxFetchTimesWaited = 3;  // until a job no longer gives way for a fetch

UnschedulableWork unschedulableWork(const ReadyJob& ready, std::uint32_t tasks, bool overQuota) {
    return {.job = ready.job->spec.id, .tasks = tasks, .overQuota = overQuota};
}

}  // namespace

std::vector<UnschedulableWork> Placement::run(PartitionId partition) {
    auto clusterState = context_.clusterState.lock();
    gangs_.expireReservations(*clusterState, partition);
    PlacementRun run(context_, quotas_, *clusterState, partition);
    const auto queue = queueOrder_.readyJobs(*clusterState, partition);
    run.recordsLagging = queueOrder_.areRecordsLagging(*clusterState, partition);
    for (const auto& ready : queue)
        if (ready.job->spec.kind == JobKind::gang)
            runGang(run, ready);
        else
            runArray(run, ready);
    for (const auto& ready : run.toFetch) runFetching(run, ready);
    return std::move(run.unschedulable);
}

void Placement::runArray(PlacementRun& run, ReadyJob ready) {
    const Job& job = *ready.job;
    if (context_.isBestEffort(job)) {
        if (run.recordsLagging) return;
        // Best-effort jobs come last, so that what the entitled jobs have just taken counts.
        run.countSpareSlots();
    }
    const bool cachedOnly = !ready.probe && yieldsToCached(job);
    const auto array =
        placeArray(run, ready, cachedOnly ? ImageRule::cachedOnly : ImageRule::mayFetch);
    ready.tasks -= array.placed + array.waitingForImage;
    if (ready.tasks == 0 || ready.probe) return;
    if (cachedOnly && !array.overQuota)
        run.toFetch.push_back(ready);
    else
        run.unschedulable.push_back(unschedulableWork(ready, ready.tasks, array.overQuota));
}

void Placement::runFetching(PlacementRun& run, const ReadyJob& ready) {
    const auto array = placeArray(run, ready, ImageRule::mayFetch);
    const auto left = ready.tasks - (array.placed + array.waitingForImage);
    if (left > 0) run.unschedulable.push_back(unschedulableWork(ready, left, array.overQuota));
}

void Placement::runGang(PlacementRun& run, const ReadyJob& ready) {
    Job& job = *ready.job;
    const auto result = placeGang(run, job);
    if (result == GangResult::placed || ready.probe) return;
    const bool overQuota = result == GangResult::overQuota;
    // One task alone needs no assembly and lies in one zone anyway.
    if (job.spec.tasks == 1 || overQuota) {
        run.unschedulable.push_back(unschedulableWork(ready, ready.tasks, overQuota));
        return;
    }
    gangs_.chooseZone(run.clusterState, run.partition, job);
    const bool blocked = run.blockedZones.contains(job.assemblyZone);
    AssemblyProgress progress;
    if (blocked) {
        // It has machines provisioned for it meanwhile, but only once: each round it once asked for
        // all of them again.
        const auto reserved = gangs_.reservedTasks(run.clusterState, run.partition, job);
        progress = {job.spec.tasks - std::min(job.spec.tasks, reserved), job.spec.tasks};
    } else {
        progress = gangs_.assemble(run.clusterState, run.partition, job, run.capacityIndex,
                                   run.blockedZones);
    }
    run.unschedulable.push_back({.job = job.spec.id,
                                 .tasks = progress.missingTasks,
                                 .gang = true,
                                 .zone = job.assemblyZone,
                                 .blockedByEarlierGang = blocked,
                                 .tasksWithoutFreeMachine = progress.tasksWithoutFreeMachine});
}

Placement::ArrayProgress Placement::placeArray(PlacementRun& run, const ReadyJob& ready,
                                               ImageRule imageRule) {
    Job& job = *ready.job;
    ArrayProgress array{job, imageRule, queueOrder_.maxTasksToPlace(ready),
                        run.quotaLeft(job.spec.team)};
    // Counted in each round, the zones of thousands of allocations took half of a round's time.
    if (job.spec.oneZone || job.spec.spread) array.zoneUse = zoneUseOf(run.clusterState, job);
    // The entitled jobs' slots stay open for what comes next. What finds no other slot takes a
    // few of them, so that a best-effort job never waits for good.
    array.bestEffort = context_.isBestEffort(job);
    if (array.bestEffort) array.allowance = selector_.bestEffortAllowance(job, run.partition);
    for (auto& slice : job.slices) {
        if (slice.partition != run.partition || slice.waitingTasks() == 0) continue;
        for (std::uint32_t i = 0; i < slice.done.size(); ++i) {
            const auto task = slice.first + i;
            if (!slice.unstarted(task) || slice.isMigrating(task)) continue;
            if (placeTask(run, array, slice, task) == TaskResult::stop) return array;
        }
    }
    return array;
}

Placement::TaskResult Placement::placeTask(PlacementRun& run, ArrayProgress& array, Slice& slice,
                                           std::uint32_t task) {
    Job& job = array.job;
    if (array.placed >= array.limit) return TaskResult::stop;
    if (!job.spec.each.fits(array.quotaLeft)) {
        array.overQuota = true;
        return TaskResult::stop;
    }
    MachineCapacity* machineCapacity = selectForArray(run, array);
    if (machineCapacity == nullptr) return TaskResult::stop;
    const Machine& machine = *machineCapacity->machine;
    if (!hasImage(run.clusterState, machine, job)) {
        if (array.imageRule == ImageRule::cachedOnly) return TaskResult::stop;
        if (waitsForImage(run, array)) return TaskResult::next;
    }
    const auto attempt = nextAttempt(run.partition);
    ++array.zoneUse[machine.zone];
    array.quotaLeft -= job.spec.each;
    spdlog::debug("placement: task_placed task={}/{} machine={} type={} class={} wait_s={:.1f}",
                  job.spec.id, task, machine.id, machine.type, job.spec.jobClass,
                  Seconds(context_.timers.wallNow() - job.submitted).count());
    // The guard looks at the capacity before this task takes its part.
    if (array.bestEffort)
        run.guard.useSpareSlots(*context_.findMachineType(machine.type), *machineCapacity, job);
    allocate(run, job, slice, task, attempt, *machineCapacity);
    ++array.placed;
    return TaskResult::next;
}

MachineCapacity* Placement::selectForArray(PlacementRun& run, ArrayProgress& array) const {
    const auto select = [&](EntitledSlots entitledSlots) {
        return selector_.select(run.clusterState, run.capacityIndex, array.job, run.guard,
                                array.zoneUse, entitledSlots);
    };
    auto* machineCapacity =
        select(array.bestEffort ? EntitledSlots::preserved : EntitledSlots::usable);
    if (machineCapacity == nullptr && array.allowance > 0) {
        --array.allowance;
        machineCapacity = select(EntitledSlots::usable);
    }
    return machineCapacity;
}

bool Placement::waitsForImage(const PlacementRun& run, ArrayProgress& array) const {
    if (!array.mayWait) array.mayWait = countWorthWaiting(run.capacityIndex, array.job);
    if (*array.mayWait == 0) return false;
    --*array.mayWait;
    ++array.waitingForImage;
    return true;
}

std::uint32_t Placement::countWorthWaiting(const CapacityIndex& capacityIndex,
                                           const Job& job) const {
    const auto fetch = queueOrder_.fetchTime(job.spec);
    const Seconds waited = context_.timers.wallNow() - job.readySince;
    if (waited >= fetch || job.spec.estimate.count() <= 0) return 0;
    // Slots on machines that have the image come free at this rate.
    double slots = 0;
    for (const auto& pool : capacityIndex.pools()) {
        if (!pool.allows(job, {})) continue;
        const auto each = countFittingTasks(job, pool.type->capacity, job.spec.tasks);
        for (const auto& machineCapacity : pool.machines)
            if (std::any_of(machineCapacity.machine->images.begin(),
                            machineCapacity.machine->images.end(),
                            [&](const auto& i) { return i.name == job.spec.image; }))
                slots += each;
    }
    return static_cast<std::uint32_t>(slots * (fetch / job.spec.estimate));
}

bool Placement::yieldsToCached(const Job& job) const {
    // In a backlog every job has waited long. Each machine that came free then fetched the image of
    // the first in the queue, while later ones had theirs there: half of the GPUs' time went into
    // fetches, and the backlog stayed (day zone of a fleet). What finds no machine at all for long
    // takes one wherever it is.
    const auto fetch = queueOrder_.fetchTime(job.spec);
    const Seconds waited = context_.timers.wallNow() - job.readySince;
    return fetch > job.spec.estimate * significantFetch &&
           (job.hasAllocations() || waited < fetch * maxFetchTimesWaited);
}

Placement::GangResult Placement::placeGang(PlacementRun& run, Job& job) {
    auto& quotaLeft = run.quotaLeft(job.spec.team);
    Resources all;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) all += job.spec.each;
    if (!all.fits(quotaLeft)) return GangResult::overQuota;
    // One zone after the other for a gang that must stay together; else all at once.
    std::set<std::string> zones;
    if (job.spec.oneZone)
        for (const auto& pool : run.capacityIndex.pools()) zones.insert(pool.zone);
    else
        zones.insert(std::string());
    for (const auto& zone : zones) {
        ZoneUse zoneUse;
        if (!zone.empty()) zoneUse[zone] = 1;  // confines the choice to this zone
        if (run.capacityIndex.countSlots(job, zoneUse) < job.spec.tasks) continue;
        if (!placeGangIn(run, job, std::move(zoneUse))) continue;
        quotaLeft -= all;
        spdlog::debug("placement: gang_placed job={} first_machine={} class={} wait_s={:.1f}",
                      job.spec.id, job.slices.front().allocations.front().machine,
                      job.spec.jobClass,
                      Seconds(context_.timers.wallNow() - job.submitted).count());
        return GangResult::placed;
    }
    return GangResult::noCapacity;
}

bool Placement::placeGangIn(PlacementRun& run, Job& job, ZoneUse zoneUse) {
    const auto attempt = nextAttempt(run.partition);
    std::vector<MachineCapacity*> chosen;
    std::vector<bool> dirty;
    for (auto& slice : job.slices) {
        dirty.push_back(slice.dirty);
        for (std::uint32_t i = 0; i < slice.done.size(); ++i) {
            auto* machineCapacity = selector_.select(run.clusterState, run.capacityIndex, job, {},
                                                     zoneUse, EntitledSlots::usable);
            if (machineCapacity == nullptr) break;
            ++zoneUse[machineCapacity->machine->zone];
            allocate(run, job, slice, slice.first + i, attempt, *machineCapacity);
            chosen.push_back(machineCapacity);
        }
    }
    if (chosen.size() == job.spec.tasks) return true;
    undoGang(run, job, chosen, dirty);
    return false;
}

void Placement::undoGang(PlacementRun& run, Job& job, const std::vector<MachineCapacity*>& chosen,
                         const std::vector<bool>& dirty) {
    for (auto* machineCapacity : chosen) machineCapacity->restore(job.spec.each);
    for (auto& slice : job.slices) {
        while (!slice.allocations.empty())
            run.clusterState.removeAllocation(job, slice, slice.allocations.front().task);
        // As it was: the ends of the attempt before may still wait to be recorded. Once they
        // never were, and peers took the gang for running (scenario gang_lending).
        slice.dirty = dirty[slice.index];
    }
}

void Placement::allocate(PlacementRun& run, Job& job, Slice& slice, std::uint32_t task,
                         std::uint64_t attempt, MachineCapacity& machineCapacity) const {
    Allocation allocation;
    allocation.task = task;
    allocation.machine = machineCapacity.machine->id;
    allocation.attempt = attempt;
    allocation.createdAt = context_.now();
    run.clusterState.addAllocation(job, slice, std::move(allocation));
    machineCapacity.consume(job.spec.each);
}

std::uint64_t Placement::nextAttempt(PartitionId partition) {
    // Terms grow over all leaders, so attempts do too, without a record of their own.
    return (membership_.term(partition) << taskBits) | (++sequence_ & ((1U << taskBits) - 1));
}

}  // namespace fawnwheel::coordination
