#include "coordination/scheduling/queue_order.h"

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr std::uint32_t maxPlacementsPerRun = 64;
// Of allocations; beyond it no more are made for best-effort jobs.
constexpr std::chrono::seconds maxRecordingTime{30};
// At a time, of a job of which no task has been seen to run.
constexpr std::uint32_t maxUnprovenTasks = 256;
// What has no objective (left) is served as if it had to start this long after its submission.
constexpr Seconds defaultStartWithin{600};
constexpr Seconds largestGangStartWithin{240};  // what the operators ask of a class's largest jobs
constexpr Seconds gangAssemblyTime{120};        // to assemble machines for them
constexpr Seconds riskMargin{10};

}  // namespace

transport::WallTime QueueOrder::latestStart(const Job& job) const {
    // The next of the job's objectives that can still be met. What has missed all of them goes
    // behind, since hurrying it helps nobody, but its age still counts, so that it does not starve.
    const auto now = context_.timers.wallNow();
    std::optional<transport::WallTime> next;
    const auto consider = [&](transport::WallTime latest) {
        if (latest > now && (!next || latest < *next)) next = latest;
    };
    // A job that had to wait for others is late only from when it could have begun.
    const auto sinceReady = [&job](Seconds time) { return addSeconds(job.readySince, time); };
    for (const auto& objective : context_.settings.objectives) {
        if (objective.jobClass != job.spec.jobClass) continue;
        if (objective.kind == config::ObjectiveKind::wait) consider(sinceReady(objective.within));
        if (objective.kind == config::ObjectiveKind::finished)
            consider(sinceReady(objective.within - job.spec.estimate));
    }
    if (job.spec.deadline)
        consider(addSeconds(job.submitted, *job.spec.deadline - job.spec.estimate));
    if (job.latestEnd) consider(addSeconds(*job.latestEnd, -job.spec.estimate));
    const auto latest = next ? *next : sinceReady(defaultStartWithin);
    // A day on which a class's largest gangs don't begin in time is lost, and they need the most
    // machines at once: behind what is easier to place, under half of them began.
    if (isLargestGangOfClass(job) && now < sinceReady(largestGangStartWithin))
        return std::min(latest, sinceReady(largestGangStartWithin - gangAssemblyTime));
    return latest;
}

bool QueueOrder::isLargestGangOfClass(const Job& job) const {
    const auto largest = largestGang_.find(job.spec.jobClass);
    return job.spec.kind == JobKind::gang && job.spec.tasks > 1 && largest != largestGang_.end() &&
           job.spec.tasks >= largest->second;
}

Seconds QueueOrder::estimatedTurnaround(const protocol::JobSpec& spec) const {
    // A start waits for a worker's heartbeat, and so may an end that was reported while one was
    // in flight.
    return spec.estimate + fetchTime(spec) + context_.settings.heartbeatInterval;
}

Seconds QueueOrder::fetchTime(const protocol::JobSpec& spec) const {
    std::optional<double> fetch;
    for (const auto& type : context_.catalog) {
        if (!typeAllowed(spec, type, spec.zone.value_or(""), false)) continue;
        const double here = spec.imageSize / type.fetchRate;
        fetch = fetch ? std::min(*fetch, here) : here;
    }
    return Seconds(fetch.value_or(0));
}

bool QueueOrder::isSloAtRisk(const Job& job) const {
    const Seconds needed =
        fetchTime(job.spec) + context_.settings.heartbeatInterval * 2 + riskMargin;
    return latestStart(job) < addSeconds(context_.timers.wallNow(), needed);
}

bool QueueOrder::precedes(const Job& one, const Job& other) const {
    return std::tuple(one.priority, latestStart(one), one.spec.id) <
           std::tuple(other.priority, latestStart(other), other.spec.id);
}

void QueueOrder::recordLargestGangs(const ClusterState& clusterState) {
    for (const auto& [id, job] : clusterState.jobs)
        if (job.spec.kind == JobKind::gang && clusterState.schedulable(job)) {
            auto& largest = largestGang_[job.spec.jobClass];
            largest = std::max(largest, job.spec.tasks);
        }
}

std::vector<ReadyJob> QueueOrder::readyJobs(ClusterState& clusterState, PartitionId partition) {
    std::vector<ReadyJob> ready;
    const auto now = context_.now();
    recordLargestGangs(clusterState);
    for (auto& [id, job] : clusterState.jobs) {
        if (!clusterState.startable(job) || now < job.backoffUntil) continue;
        if (job.spec.kind == JobKind::gang && job.hasAllocations()) {
            if (job.partition == partition) stopIncompleteGang(job);
            continue;
        }
        if (job.crashLooping()) {
            if (mayProbe(job, partition)) ready.push_back({&job, 1, latestStart(job), true});
            continue;
        }
        std::uint32_t tasks = 0;
        for (const auto& slice : job.slices)
            if (slice.partition == partition) tasks += slice.waitingTasks();
        if (tasks > 0) ready.push_back({&job, tasks, latestStart(job)});
    }
    std::sort(ready.begin(), ready.end(), [](const ReadyJob& a, const ReadyJob& b) {
        return std::tie(a.probe, a.job->priority, a.latestStart, a.job->spec.id) <
               std::tie(b.probe, b.job->priority, b.latestStart, b.job->spec.id);
    });
    return ready;
}

bool QueueOrder::mayProbe(const Job& job, PartitionId partition) {
    // One task at a time for the whole job, wherever its slices lie: by the first that waits.
    if (job.hasAllocations()) return false;
    const auto first = std::find_if(job.slices.begin(), job.slices.end(),
                                    [](const Slice& slice) { return slice.waitingTasks() > 0; });
    return first != job.slices.end() && first->partition == partition;
}

std::uint32_t QueueOrder::maxTasksToPlace(const ReadyJob& ready) const {
    if (ready.probe) return 1;
    const Job& job = *ready.job;
    if (job.spec.tasks <= maxUnprovenTasks || job.doneTasks() > 0) return maxPlacementsPerRun;
    // A large array whose tasks all fail shows that with a few of them.
    const auto now = context_.now();
    std::uint32_t allocated = 0;
    for (const auto& slice : job.slices)
        for (const auto& allocation : slice.allocations) {
            if (allocation.runningSince &&
                now - *allocation.runningSince >
                    toSteadyDuration(context_.settings.heartbeatInterval * 2))
                return maxPlacementsPerRun;
            ++allocated;
        }
    return std::min(maxPlacementsPerRun, maxUnprovenTasks - std::min(maxUnprovenTasks, allocated));
}

void QueueOrder::stopIncompleteGang(Job& job) {
    if (job.complete() || job.allocatedTasks() == job.spec.tasks) return;
    // The rest would wait for a task that is not started again under this attempt.
    for (auto& slice : job.slices) {
        for (auto& allocation : slice.allocations) {
            allocation.startCancelled = true;
            allocation.stopGrace = Seconds(0);
        }
    }
}

bool QueueOrder::areRecordsLagging(const ClusterState& clusterState, PartitionId partition) const {
    // Beyond what the state service writes, the allocations of a best-effort job's thousands of
    // short tasks once waited for 150 s for their records and held their machines, and those of the
    // entitled jobs behind them (day fresh-5728 of vatback).
    const auto oldest = context_.now() - maxRecordingTime;
    return std::any_of(clusterState.jobs.begin(), clusterState.jobs.end(), [&](const auto& entry) {
        const auto& slices = entry.second.slices;
        return std::any_of(slices.begin(), slices.end(), [&](const Slice& slice) {
            return slice.partition == partition && slice.dirty &&
                   std::any_of(slice.allocations.begin(), slice.allocations.end(),
                               [&](const Allocation& allocation) {
                                   return !allocation.durable && allocation.createdAt < oldest;
                               });
        });
    });
}

std::vector<std::uint32_t> QueueOrder::queueLengths() {
    std::vector<std::uint32_t> lengths(context_.partitionCount(), 0);
    const auto now = context_.now();
    auto clusterState = context_.clusterState.lock();
    for (const auto& [id, job] : clusterState->jobs) {
        if (!clusterState->schedulable(job) || now < job.backoffUntil ||
            (job.spec.kind == JobKind::gang && job.hasAllocations()))
            continue;
        for (const auto& slice : job.slices)
            if (slice.partition < lengths.size()) lengths[slice.partition] += slice.waitingTasks();
    }
    return lengths;
}

std::uint32_t QueueOrder::queueLength(PartitionId partition) {
    return queueLengths()[partition];
}

}  // namespace fawnwheel::coordination
