#include "coordination/workers/fault_attribution.h"

#include <spdlog/spdlog.h>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t failedJobsToQuarantine = 2;
constexpr auto quarantineDuration = 10min;
constexpr auto pauseAfterError = 3s;
constexpr auto firstBackoff = 2s;
constexpr auto maxBackoff = 60s;
constexpr int maxDoublings = 5;

}  // namespace

void FaultAttribution::onTaskFailed(ClusterState& clusterState, Machine& machine, Job& job,
                                    Slice& slice, const Allocation& allocation) {
    const auto now = context_.now();
    auto& history = job.failures;
    history.anyFailure = true;
    history.crashLoopDisproved = false;
    if (allocation.runningSince)
        history.longestFailedRun =
            std::max(history.longestFailedRun, now - *allocation.runningSince);
    if (job.crashLooping()) return backOff(job);
    if (history.machines.insert_or_assign(machine.id, now).second) {
        slice.markDirty();
        ++slice.failures;
    }
    if (job.crashLooping())
        blameJob(clusterState, job, slice.partition);
    else
        blameMachine(machine, job);
}

void FaultAttribution::backOff(Job& job) {
    const auto now = context_.now();
    // Once for each probe, not for each task that was under way.
    if (now < job.backoffUntil) return;
    const auto doublings = std::min(job.failures.failedProbes, maxDoublings);
    job.backoffUntil = now + std::min<Duration>(maxBackoff, firstBackoff * (1 << doublings));
    ++job.failures.failedProbes;
}

void FaultAttribution::blameJob(ClusterState& clusterState, Job& job, PartitionId partition) {
    // Attributed to the machines, the failures of one such job after the other had dozens of them
    // replaced, with all that ran there (incident inc-59fe).
    spdlog::info("fault_attribution: job_crash_looping job={}", job.spec.id);
    job.backoffUntil = context_.now() + firstBackoff;
    job.failures.machines.clear();
    job.failures.failedProbes = 1;
    for (auto& [id, machine] : clusterState.machines) machine.failedJobs.erase(job.spec.id);
    for (auto& slice : job.slices) {
        if (slice.partition != partition) continue;
        for (auto& allocation : slice.allocations)
            if (!allocation.reported) allocation.startCancelled = true;
    }
}

void FaultAttribution::blameMachine(Machine& machine, const Job& job) {
    machine.failedJobs.insert(job.spec.id);
    if (job.doneTasks() > 0 || machine.failedJobs.size() >= failedJobsToQuarantine)
        quarantine(machine);
    else
        machine.unschedulableUntil =
            std::max(machine.unschedulableUntil, context_.now() + pauseAfterError);
}

void FaultAttribution::quarantine(Machine& machine) {
    spdlog::info("fault_attribution: machine_quarantined machine={}", machine.id);
    machine.unschedulableUntil = context_.now() + quarantineDuration;
}

void FaultAttribution::onTaskDone(ClusterState& clusterState, Machine& machine, Job& job) {
    machine.failedJobs.clear();
    // The job is sound: those that failed its tasks, and have done none since, are faulty.
    for (const auto& [id, when] : job.failures.machines)
        if (Machine* other = clusterState.machine(id);
            other != nullptr && other->failedJobs.contains(job.spec.id))
            quarantine(*other);
    job.failures.machines.clear();
}

void FaultAttribution::onTaskRunning(Job& job, Slice& slice, const Allocation& allocation) {
    if (!job.failures.anyFailure || !job.crashLooping() || !allocation.runningSince) return;
    const auto proof = job.failures.longestFailedRun * 2 +
                       toSteadyDuration(context_.settings.heartbeatInterval * 2);
    if (context_.now() - *allocation.runningSince <= proof) return;
    spdlog::info("fault_attribution: job_recovered job={}", job.spec.id);
    job.failures.crashLoopDisproved = true;
    for (auto& other : job.slices) {
        if (other.partition != slice.partition || other.failures == 0) continue;
        other.markDirty();
        other.failures = 0;
    }
}

}  // namespace fawnwheel::coordination
