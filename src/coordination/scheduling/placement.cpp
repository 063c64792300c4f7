#include "coordination/scheduling/placement.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr std::uint32_t sequenceBits = 24;  // of an attempt number; the bits above are the term
constexpr double significantFetchFraction = 0.25;  // of a task's estimated run time
constexpr double maxFetchTimesWaited = 3;          // in fetch times; then a job no longer yields

UnschedulableWork makeUnschedulableWork(const ReadyJob& ready, std::uint32_t tasks,
                                        bool overQuota) {
    return {.job = ready.job->spec.id, .tasks = tasks, .overQuota = overQuota};
}

}  // namespace

std::vector<UnschedulableWork> Placement::run(PartitionId partition) {
    auto clusterState = context_.clusterState.lock();
    gangAssembler_.expireReservations(*clusterState, partition);
    PlacementRun run(context_, quotas_, *clusterState, partition);
    const auto queue = queueOrder_.readyJobs(*clusterState, partition);
    run.recordsLagging = queueOrder_.areRecordsLagging(*clusterState, partition);
    for (const auto& ready : queue)
        if (ready.job->spec.kind == JobKind::gang)
            processGang(run, ready);
        else
            processArray(run, ready);
    for (const auto& ready : run.deferredForFetch) processDeferredArray(run, ready);
    return std::move(run.unschedulable);
}

void Placement::processArray(PlacementRun& run, ReadyJob ready) {
    const Job& job = *ready.job;
    if (context_.isBestEffort(job)) {
        if (run.recordsLagging) return;
        // Best-effort jobs come last in the queue, so that the count includes what all other jobs
        // have taken in this run.
        run.countSpareSlots();
    }
    const bool cachedOnly = !ready.probe && yieldsToCachedImages(job);
    const auto array =
        placeArray(run, ready, cachedOnly ? ImageRule::cachedOnly : ImageRule::mayFetch);
    ready.tasks -= array.placed + array.waitingForImage;
    if (ready.tasks == 0 || ready.probe) return;
    if (cachedOnly && !array.overQuota)
        run.deferredForFetch.push_back(ready);
    else
        run.unschedulable.push_back(makeUnschedulableWork(ready, ready.tasks, array.overQuota));
}

void Placement::processDeferredArray(PlacementRun& run, const ReadyJob& ready) {
    const auto array = placeArray(run, ready, ImageRule::mayFetch);
    const auto left = ready.tasks - (array.placed + array.waitingForImage);
    if (left > 0) run.unschedulable.push_back(makeUnschedulableWork(ready, left, array.overQuota));
}

void Placement::processGang(PlacementRun& run, const ReadyJob& ready) {
    Job& job = *ready.job;
    const auto result = placeGang(run, job);
    if (result == GangResult::placed || ready.probe) return;
    const bool overQuota = result == GangResult::overQuota;
    // A single task needs no assembly and is always in one zone.
    if (job.spec.tasks == 1 || overQuota) {
        run.unschedulable.push_back(makeUnschedulableWork(ready, ready.tasks, overQuota));
        return;
    }
    gangAssembler_.chooseZone(run.clusterState, run.partition, job);
    const bool blocked = run.blockedZones.contains(job.assemblyZone);
    AssemblyProgress progress;
    if (blocked) {
        // Machines are provisioned for the gang while it is blocked. Those already reserved for it
        // are subtracted; otherwise it would request all of its machines again in each round.
        const auto reserved = gangAssembler_.reservedTasks(run.clusterState, run.partition, job);
        progress = {job.spec.tasks - std::min(job.spec.tasks, reserved), job.spec.tasks};
    } else {
        progress = gangAssembler_.assemble(run.clusterState, run.partition, job, run.capacityIndex,
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
    // Counted only for jobs with zone rules: counting the zones of thousands of allocations in each
    // round took half of the round's time.
    if (job.spec.oneZone || job.spec.spread) array.zoneUse = zoneUseOf(run.clusterState, job);
    // Protected slots are kept free for the jobs that arrive next. A best-effort job that finds no
    // other slot may take a few of them, so that it is not starved.
    array.bestEffort = context_.isBestEffort(job);
    if (array.bestEffort)
        array.protectedSlotAllowance = selector_.protectedSlotAllowance(job, run.partition);
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
    if (!job.spec.taskResources.fits(array.quotaLeft)) {
        array.overQuota = true;
        return TaskResult::stop;
    }
    MachineCapacity* machineCapacity = selectForArray(run, array);
    if (machineCapacity == nullptr) return TaskResult::stop;
    const Machine& machine = *machineCapacity->machine;
    if (!hasOrFetchesImage(run.clusterState, machine, job)) {
        if (array.imageRule == ImageRule::cachedOnly) return TaskResult::stop;
        if (tryWaitForImage(run, array)) return TaskResult::next;
    }
    const auto attempt = nextAttempt(run.partition);
    ++array.zoneUse[machine.zone];
    array.quotaLeft -= job.spec.taskResources;
    spdlog::debug("placement: task_placed task={}/{} machine={} type={} class={} wait_s={:.1f}",
                  job.spec.id, task, machine.id, machine.type, job.spec.jobClass,
                  Seconds(context_.timers.wallNow() - job.submitted).count());
    // The guard needs the machine's free capacity as it is before this allocation.
    if (array.bestEffort)
        run.guard.consumeSpareSlots(*context_.findMachineType(machine.type), *machineCapacity, job);
    allocate(run, job, slice, task, attempt, *machineCapacity);
    ++array.placed;
    return TaskResult::next;
}

MachineCapacity* Placement::selectForArray(PlacementRun& run, ArrayProgress& array) const {
    const auto select = [&](ProtectedSlotRule protectedSlotRule) {
        return selector_.select(run.clusterState, run.capacityIndex, array.job, run.guard,
                                array.zoneUse, protectedSlotRule);
    };
    auto* machineCapacity =
        select(array.bestEffort ? ProtectedSlotRule::preserved : ProtectedSlotRule::usable);
    if (machineCapacity == nullptr && array.protectedSlotAllowance > 0) {
        --array.protectedSlotAllowance;
        machineCapacity = select(ProtectedSlotRule::usable);
    }
    return machineCapacity;
}

bool Placement::tryWaitForImage(const PlacementRun& run, ArrayProgress& array) const {
    if (!array.remainingImageWaits)
        array.remainingImageWaits = maxTasksWaitingForImage(run.capacityIndex, array.job);
    if (*array.remainingImageWaits == 0) return false;
    --*array.remainingImageWaits;
    ++array.waitingForImage;
    return true;
}

std::uint32_t Placement::maxTasksWaitingForImage(const CapacityIndex& capacityIndex,
                                                 const Job& job) const {
    const auto fetch = queueOrder_.fetchTime(job.spec);
    const Seconds waited = context_.timers.wallNow() - job.readySince;
    if (waited >= fetch || job.spec.estimate.count() <= 0) return 0;
    // Each slot on a machine with the image becomes free once per estimated run time. The result is
    // the number of slots that become free within one fetch time.
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

bool Placement::yieldsToCachedImages(const Job& job) const {
    // In a backlog every job has waited for long. Without this rule, each machine that became free
    // fetched the image of the first job in the queue although it had the image of a later job
    // cached: fetches took half of the GPU time and the backlog remained (simulated day "zone" of a
    // fleet). A job that has no allocation for several fetch times takes any machine.
    const auto fetch = queueOrder_.fetchTime(job.spec);
    const Seconds waited = context_.timers.wallNow() - job.readySince;
    return fetch > job.spec.estimate * significantFetchFraction &&
           (job.hasAllocations() || waited < fetch * maxFetchTimesWaited);
}

Placement::GangResult Placement::placeGang(PlacementRun& run, Job& job) {
    auto& quotaLeft = run.quotaLeft(job.spec.team);
    Resources all;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) all += job.spec.taskResources;
    if (!all.fits(quotaLeft)) return GangResult::overQuota;
    // For a gang that must run in one zone, the zones are tried one by one; otherwise all together.
    std::set<std::string> zones;
    if (job.spec.oneZone)
        for (const auto& pool : run.capacityIndex.pools()) zones.insert(pool.zone);
    else
        zones.insert(std::string());
    for (const auto& zone : zones) {
        ZoneUse zoneUse;
        if (!zone.empty()) zoneUse[zone] = 1;  // restricts the placement to this zone
        if (run.capacityIndex.countSlots(job, zoneUse) < job.spec.tasks) continue;
        if (!allocateGang(run, job, std::move(zoneUse))) continue;
        quotaLeft -= all;
        spdlog::debug("placement: gang_placed job={} first_machine={} class={} wait_s={:.1f}",
                      job.spec.id, job.slices.front().allocations.front().machine,
                      job.spec.jobClass,
                      Seconds(context_.timers.wallNow() - job.submitted).count());
        return GangResult::placed;
    }
    return GangResult::noCapacity;
}

bool Placement::allocateGang(PlacementRun& run, Job& job, ZoneUse zoneUse) {
    const auto attempt = nextAttempt(run.partition);
    std::vector<MachineCapacity*> chosen;
    std::vector<bool> dirty;
    for (auto& slice : job.slices) {
        dirty.push_back(slice.dirty);
        for (std::uint32_t i = 0; i < slice.done.size(); ++i) {
            auto* machineCapacity = selector_.select(run.clusterState, run.capacityIndex, job, {},
                                                     zoneUse, ProtectedSlotRule::usable);
            if (machineCapacity == nullptr) break;
            ++zoneUse[machineCapacity->machine->zone];
            allocate(run, job, slice, slice.first + i, attempt, *machineCapacity);
            chosen.push_back(machineCapacity);
        }
    }
    if (chosen.size() == job.spec.tasks) return true;
    rollBackGang(run, job, chosen, dirty);
    return false;
}

void Placement::rollBackGang(PlacementRun& run, Job& job,
                             const std::vector<MachineCapacity*>& chosen,
                             const std::vector<bool>& dirty) {
    for (auto* machineCapacity : chosen) machineCapacity->restore(job.spec.taskResources);
    for (auto& slice : job.slices) {
        while (!slice.allocations.empty())
            run.clusterState.removeAllocation(job, slice, slice.allocations.front().task);
        // Restores the dirty flag: the ends of the previous attempt may not be recorded yet. With
        // the flag cleared they never were, and peers treated the gang as running (scenario
        // gang_lending).
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
    machineCapacity.consume(job.spec.taskResources);
}

std::uint64_t Placement::nextAttempt(PartitionId partition) {
    // Terms increase from leader to leader, so attempt numbers increase too and need no record of
    // their own.
    return (membership_.term(partition) << sequenceBits) |
           (++sequence_ & ((1U << sequenceBits) - 1));
}

}  // namespace fawnwheel::coordination
