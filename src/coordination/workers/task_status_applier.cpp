#include "coordination/workers/task_status_applier.h"

#include <spdlog/spdlog.h>

#include "coordination/workers/fencing.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;
using protocol::Command;
using protocol::CommandKind;
using protocol::ExitCause;
using protocol::TaskState;

constexpr auto pauseAfterRefusal = 3s;  // after a worker had no capacity or did not know the job

Command makeCommand(CommandKind kind, const protocol::TaskStatus& task, Seconds grace = {}) {
    return {kind, task.job, task.index, task.attempt, grace};
}

}  // namespace

void TaskStatusApplier::apply(ClusterState& clusterState, Machine& machine,
                              const protocol::Heartbeat& heartbeat,
                              const protocol::TaskStatus& task, std::vector<Command>& commands) {
    const auto evidence =
        isFenced(machine, heartbeat) ? Evidence::current : Evidence::possiblyOutdated;
    Job* job = clusterState.job(task.job);
    Slice* slice = job == nullptr ? nullptr : job->sliceOf(task.index);
    Allocation* allocation = slice == nullptr ? nullptr : slice->allocationOf(task.index);
    if (allocation == nullptr || slice->partition != machine.partition ||
        allocation->machine != machine.id || allocation->attempt != task.attempt)
        return applyUnallocated(clusterState, machine, job, slice, task, evidence, commands);
    if (task.state == TaskState::exited && !provesExit(task, evidence)) {
        spdlog::debug("heartbeat: exit_not_confirmed task={}/{} machine={} cause={} token={}",
                      task.job, task.index, machine.id, static_cast<int>(task.cause),
                      heartbeat.fencingToken);
        return;
    }
    allocation->reported = true;
    allocation->state = task.state;
    if (task.state == TaskState::exited) {
        if (task.cause != ExitCause::gangIncomplete ||
            !startPolicy_.mayExtendGangWait(clusterState, machine, *job, *allocation))
            return applyExit(clusterState, machine, *job, *slice, *allocation, task);
        // Other tasks of the gang are still fetching. The allocation is kept and the task waits
        // again in the same attempt. Otherwise the whole gang would lose its allocations because
        // one machine fetches for longer than the other tasks may wait.
        spdlog::debug("heartbeat: gang_task_keeps_waiting task={}/{} machine={}", task.job,
                      task.index, machine.id);
        allocation->state = TaskState::fetching;
        commands.push_back(makeCommand(CommandKind::forget, task));
        commands.push_back(makeCommand(CommandKind::start, task));
        return;
    }
    applyProgress(clusterState, machine, *job, *slice, *allocation, task, evidence);
    if (clusterState.knownCancelled(*job) || machine.decommissioned)
        commands.push_back(makeCommand(CommandKind::stop, task));
    else if (allocation->stopGrace && task.state != TaskState::saving)
        commands.push_back(makeCommand(CommandKind::stop, task, *allocation->stopGrace));
}

bool TaskStatusApplier::provesExit(const protocol::TaskStatus& task, Evidence evidence) {
    // The same attempt can run again after an exit: a gang's task whose wait was extended, or a
    // task that was started again after its worker's lease had expired. A result is kept, so a task
    // that is done stays done.
    return evidence == Evidence::current || task.cause == ExitCause::done;
}

void TaskStatusApplier::applyUnallocated(ClusterState& clusterState, Machine& machine, Job* job,
                                         Slice* slice, const protocol::TaskStatus& task,
                                         Evidence evidence, std::vector<Command>& commands) {
    // After the worker has forgotten the task, a repeated start would run it again. This leader
    // sends no such start, because the removal of the allocation is durable.
    if (task.state == TaskState::exited) {
        if (slice == nullptr || slice->partition != machine.partition || !slice->dirty)
            commands.push_back(makeCommand(CommandKind::forget, task));
        return;
    }
    // An outdated heartbeat may show a task that has since ended.
    const bool cancelled = job != nullptr && clusterState.knownCancelled(*job);
    if (evidence != Evidence::current && !cancelled) return;
    if (isAdoptable(clusterState, machine, job, slice, task))
        adopt(clusterState, machine, *job, *slice, task);
    else
        commands.push_back(makeCommand(CommandKind::stop, task));
}

bool TaskStatusApplier::isAdoptable(const ClusterState& clusterState, const Machine& machine,
                                    Job* job, const Slice* slice,
                                    const protocol::TaskStatus& task) {
    return job != nullptr && slice != nullptr && slice->allocationOf(task.index) == nullptr &&
           !clusterState.knownCancelled(*job) && !job->completing &&
           slice->partition == machine.partition && !slice->done[task.index - slice->first] &&
           job->spec.kind != protocol::JobKind::gang;
}

void TaskStatusApplier::adopt(ClusterState& clusterState, const Machine& machine, Job& job,
                              Slice& slice, const protocol::TaskStatus& task) {
    spdlog::info("heartbeat: task_adopted task={}/{} machine={}", task.job, task.index, machine.id);
    Allocation adopted;
    adopted.task = task.index;
    adopted.machine = machine.id;
    adopted.attempt = task.attempt;
    adopted.reported = true;
    adopted.state = task.state;
    adopted.createdAt = context_.now();
    clusterState.addAllocation(job, slice, std::move(adopted));
    observer_.onWorkersChanged();
}

void TaskStatusApplier::applyProgress(ClusterState& clusterState, Machine& machine, Job& job,
                                      Slice& slice, Allocation& allocation,
                                      const protocol::TaskStatus& task, Evidence evidence) {
    if (task.state != TaskState::fetching) clusterState.addCachedImage(machine, job.spec);
    if (task.state != TaskState::running) return;
    if (!allocation.runningSince) {
        allocation.runningSince = context_.now();
        spdlog::debug(
            "heartbeat: task_running task={}/{} machine={} seconds_since_placement={:.1f}",
            task.job, task.index, machine.id,
            Seconds(*allocation.runningSince - allocation.createdAt).count());
    }
    if (evidence == Evidence::current) faultAttribution_.onTaskRunning(job, slice, allocation);
}

void TaskStatusApplier::applyExit(ClusterState& clusterState, Machine& machine, Job& job,
                                  Slice& slice, const Allocation& allocation,
                                  const protocol::TaskStatus& task) {
    if (!allocation.durable) return;  // not recorded yet; the next heartbeat reports the exit again
    spdlog::debug("heartbeat: task_exited task={}/{} machine={} cause={}", task.job, task.index,
                  machine.id, static_cast<int>(task.cause));
    applyExitCause(clusterState, machine, job, slice, allocation, task);
    clusterState.removeAllocation(job, slice, task.index);
    if (machine.allocations.empty()) machine.idleSince = context_.now();
    observer_.onWorkersChanged();
}

void TaskStatusApplier::applyExitCause(ClusterState& clusterState, Machine& machine, Job& job,
                                       Slice& slice, const Allocation& allocation,
                                       const protocol::TaskStatus& task) {
    switch (task.cause) {
        case ExitCause::done:
            return applyDone(clusterState, machine, job, slice, task.index);
        case ExitCause::error:
            return faultAttribution_.onTaskFailed(clusterState, machine, job, slice, allocation);
        case ExitCause::noCapacity:
        case ExitCause::duplicateTask:
            machine.unschedulableUntil = context_.now() + pauseAfterRefusal;
            return;
        case ExitCause::unknown:
            job.backoffUntil = context_.now() + pauseAfterRefusal;
            return;
        case ExitCause::stopped:
        case ExitCause::peersGone:
        case ExitCause::gangIncomplete:
            return;
    }
}

void TaskStatusApplier::applyDone(ClusterState& clusterState, Machine& machine, Job& job,
                                  Slice& slice, std::uint32_t task) {
    slice.markDirty();
    slice.markDone(task);
    faultAttribution_.onTaskDone(clusterState, machine, job);
    if (job.spec.kind != protocol::JobKind::gang) return;
    // The tasks of a gang complete together.
    for (auto& other : job.slices) {
        other.markDirty();
        for (auto otherTask = other.first; otherTask < other.first + other.done.size(); ++otherTask)
            other.markDone(otherTask);
    }
}

}  // namespace fawnwheel::coordination
