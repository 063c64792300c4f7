#include "coordination/workers/fault_attribution.h"

#include <spdlog/spdlog.h>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

// A machine is quarantined once tasks of this many jobs have failed on it since a task last
// succeeded there.
constexpr std::size_t failedJobsToQuarantine = 2;
constexpr auto quarantineDuration = 10min;
constexpr auto machinePauseAfterError = 3s;
constexpr auto initialBackoff = 2s;
constexpr auto maxBackoff = 60s;
constexpr int maxBackoffDoublings = 5;

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
        attributeToJob(clusterState, job, slice.partition);
    else
        attributeToMachine(machine, job);
}

void FaultAttribution::backOff(Job& job) {
    const auto now = context_.now();
    // The backoff grows once per failed probe, not once for each task that was in progress.
    if (now < job.backoffUntil) return;
    const auto doublings = std::min(job.failures.failedProbes, maxBackoffDoublings);
    job.backoffUntil = now + std::min<Duration>(maxBackoff, initialBackoff * (1 << doublings));
    ++job.failures.failedProbes;
}

void FaultAttribution::attributeToJob(ClusterState& clusterState, Job& job, PartitionId partition) {
    // If these failures were attributed to the machines, a series of crash-looping jobs would get
    // dozens of machines replaced, together with all other tasks on them (incident inc-59fe).
    spdlog::info("fault_attribution: job_crash_looping job={}", job.spec.id);
    job.backoffUntil = context_.now() + initialBackoff;
    job.failures.machines.clear();
    job.failures.failedProbes = 1;
    for (auto& [id, machine] : clusterState.machines) machine.failedJobs.erase(job.spec.id);
    for (auto& slice : job.slices) {
        if (slice.partition != partition) continue;
        for (auto& allocation : slice.allocations)
            if (!allocation.reported) allocation.startCancelled = true;
    }
}

void FaultAttribution::attributeToMachine(Machine& machine, const Job& job) {
    machine.failedJobs.insert(job.spec.id);
    if (job.doneTasks() > 0 || machine.failedJobs.size() >= failedJobsToQuarantine)
        quarantine(machine);
    else
        machine.unschedulableUntil =
            std::max(machine.unschedulableUntil, context_.now() + machinePauseAfterError);
}

void FaultAttribution::quarantine(Machine& machine) {
    spdlog::info("fault_attribution: machine_quarantined machine={}", machine.id);
    machine.unschedulableUntil = context_.now() + quarantineDuration;
}

void FaultAttribution::onTaskDone(ClusterState& clusterState, Machine& machine, Job& job) {
    machine.failedJobs.clear();
    // The job can succeed, so machines that have failed its tasks and completed no task since are
    // faulty.
    for (const auto& [id, when] : job.failures.machines)
        if (Machine* other = clusterState.machine(id);
            other != nullptr && other->failedJobs.contains(job.spec.id))
            quarantine(*other);
    job.failures.machines.clear();
}

void FaultAttribution::onTaskRunning(Job& job, Slice& slice, const Allocation& allocation) {
    if (!job.failures.anyFailure || !job.crashLooping() || !allocation.runningSince) return;
    const auto minHealthyRun = job.failures.longestFailedRun * 2 +
                               toSteadyDuration(context_.settings.heartbeatInterval * 2);
    if (context_.now() - *allocation.runningSince <= minHealthyRun) return;
    spdlog::info("fault_attribution: job_recovered job={}", job.spec.id);
    job.failures.crashLoopDisproved = true;
    for (auto& other : job.slices) {
        if (other.partition != slice.partition || other.failures == 0) continue;
        other.markDirty();
        other.failures = 0;
    }
}

}  // namespace fawnwheel::coordination
