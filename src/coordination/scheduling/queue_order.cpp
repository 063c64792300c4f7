#include "coordination/scheduling/queue_order.h"

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr std::uint32_t maxPlacementsPerRun = 64;
// While an allocation has waited longer than this for its record, no more allocations are made for
// best-effort jobs.
constexpr std::chrono::seconds maxRecordLag{30};
// Allocations of a job at the same time, until one of its tasks has run for a while or is done.
constexpr std::uint32_t maxUnprovenTasks = 256;
// A job without an objective that can still be met is queued as if it had to start this long after
// it became ready.
constexpr Seconds defaultStartWithin{600};
constexpr Seconds largestGangStartWithin{240};  // the operators' objective
constexpr Seconds gangAssemblyTime{120};        // for the largest gangs
constexpr Seconds sloRiskMargin{10};

}  // namespace

transport::WallTime QueueOrder::latestStart(const Job& job) const {
    // Uses the most urgent objective that the job can still meet. A job that has missed all of them
    // is queued by the default instead, since hurrying it does not help anybody. The default counts
    // from when the job became ready: the job moves ahead with its age and is not starved.
    const auto now = context_.timers.wallNow();
    std::optional<transport::WallTime> next;
    const auto considerLatestStart = [&](transport::WallTime latest) {
        if (latest > now && (!next || latest < *next)) next = latest;
    };
    // For a job with dependencies, the time counts from when the last one was done.
    const auto afterReady = [&job](Seconds time) { return addSeconds(job.readySince, time); };
    for (const auto& objective : context_.settings.objectives) {
        if (objective.jobClass != job.spec.jobClass) continue;
        if (objective.kind == config::ObjectiveKind::wait)
            considerLatestStart(afterReady(objective.within));
        if (objective.kind == config::ObjectiveKind::finished)
            considerLatestStart(afterReady(objective.within - job.spec.estimate));
    }
    if (job.spec.deadline)
        considerLatestStart(addSeconds(job.submitted, *job.spec.deadline - job.spec.estimate));
    if (job.latestEnd) considerLatestStart(addSeconds(*job.latestEnd, -job.spec.estimate));
    const auto latest = next ? *next : afterReady(defaultStartWithin);
    // The largest gangs of a class must start in time, or the whole day counts as failed. They need
    // the most machines at once: queued behind jobs that are easier to place, fewer than half of
    // them started.
    if (isLargestGangOfClass(job) && now < afterReady(largestGangStartWithin))
        return std::min(latest, afterReady(largestGangStartWithin - gangAssemblyTime));
    return latest;
}

bool QueueOrder::isLargestGangOfClass(const Job& job) const {
    const auto largest = largestGangTasks_.find(job.spec.jobClass);
    return job.spec.kind == JobKind::gang && job.spec.tasks > 1 &&
           largest != largestGangTasks_.end() && job.spec.tasks >= largest->second;
}

Seconds QueueOrder::estimatedTurnaround(const protocol::JobSpec& spec) const {
    // A task starts with the answer to its worker's next heartbeat. The report of a task's end may
    // also have to wait for the next heartbeat if one is in flight.
    return spec.estimate + fetchTime(spec) + context_.settings.heartbeatInterval;
}

Seconds QueueOrder::fetchTime(const protocol::JobSpec& spec) const {
    std::optional<double> fetch;
    for (const auto& type : context_.catalog) {
        if (!typeAllowed(spec, type, spec.zone.value_or(""), false)) continue;
        const double fetchSeconds = spec.imageSize / type.fetchRate;
        fetch = fetch ? std::min(*fetch, fetchSeconds) : fetchSeconds;
    }
    return Seconds(fetch.value_or(0));
}

bool QueueOrder::isSloAtRisk(const Job& job) const {
    const Seconds needed =
        fetchTime(job.spec) + context_.settings.heartbeatInterval * 2 + sloRiskMargin;
    return latestStart(job) < addSeconds(context_.timers.wallNow(), needed);
}

bool QueueOrder::precedes(const Job& one, const Job& other) const {
    return std::tuple(one.priority, latestStart(one), one.spec.id) <
           std::tuple(other.priority, latestStart(other), other.spec.id);
}

void QueueOrder::recordLargestGangs(const ClusterState& clusterState) {
    for (const auto& [id, job] : clusterState.jobs)
        if (job.spec.kind == JobKind::gang && clusterState.schedulable(job)) {
            auto& largest = largestGangTasks_[job.spec.jobClass];
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
    // One probe at a time for the whole job, whichever partitions its slices belong to. The first
    // slice with a waiting task decides which partition makes it.
    if (job.hasAllocations()) return false;
    const auto first = std::find_if(job.slices.begin(), job.slices.end(),
                                    [](const Slice& slice) { return slice.waitingTasks() > 0; });
    return first != job.slices.end() && first->partition == partition;
}

std::uint32_t QueueOrder::maxTasksToPlace(const ReadyJob& ready) const {
    if (ready.probe) return 1;
    const Job& job = *ready.job;
    if (job.spec.tasks <= maxUnprovenTasks || job.doneTasks() > 0) return maxPlacementsPerRun;
    // If all tasks of a large array fail, a few of them are enough to show it.
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
    // The remaining tasks would wait for a task that is not started again in this attempt.
    for (auto& slice : job.slices) {
        for (auto& allocation : slice.allocations) {
            allocation.startCancelled = true;
            allocation.stopGrace = Seconds(0);
        }
    }
}

bool QueueOrder::areRecordsLagging(const ClusterState& clusterState, PartitionId partition) const {
    // When thousands of short tasks of a best-effort job exceeded the state service's write rate,
    // their allocations waited 150 s for their records and held machines meanwhile, and the
    // allocations of jobs that are not best-effort waited behind them (day fresh-5728 of vatback).
    const auto oldest = context_.now() - maxRecordLag;
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
