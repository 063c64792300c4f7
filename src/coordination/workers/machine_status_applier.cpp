#include "coordination/workers/machine_status_applier.h"

#include <spdlog/spdlog.h>

#include "coordination/workers/fencing.h"
#include "coordination/workers/worker_lease.h"

namespace fawnwheel::coordination {

using protocol::TaskState;

namespace {

// As a multiple of the heartbeat interval. Late copies of heartbeats may arrive all at once.
constexpr double minResponseSpacing = 0.75;

}  // namespace

void MachineStatusApplier::apply(ClusterState& clusterState, Machine& machine,
                                 const protocol::Heartbeat& heartbeat) {
    recordHeartbeat(machine, heartbeat);
    if (heartbeat.interruptionNotice && !machine.interruptionAt)
        applyInterruptionNotice(clusterState, machine, *heartbeat.interruptionNotice);
    applyAcknowledgement(machine, heartbeat);
    // A worker that has seen a token of this leader rejects the responses of earlier leaders, and
    // it has one heartbeat in flight at a time. So a task that is not in this heartbeat is not on
    // the machine, and only a later response of this leader can start it.
    if (isFenced(machine, heartbeat)) removeMissingAllocations(clusterState, machine, heartbeat);
}

void MachineStatusApplier::recordHeartbeat(Machine& machine, const protocol::Heartbeat& heartbeat) {
    const auto now = context_.now();
    if (!machine.lastHeartbeat) {
        spdlog::debug("heartbeat: first_heartbeat machine={} partition={} recorded={}", machine.id,
                      machine.partition, machine.recorded());
        machine.idleSince = now;
        observer_.onWorkersChanged();
    }
    machine.address = heartbeat.address;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequence = heartbeat.sequence;
    machine.lastHeartbeat = now;
    machine.exitedTasks = static_cast<std::size_t>(
        std::count_if(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                      [](const auto& task) { return task.state == TaskState::exited; }));
}

void MachineStatusApplier::applyInterruptionNotice(ClusterState& clusterState, Machine& machine,
                                                   Seconds notice) {
    spdlog::info("heartbeat: interruption_notice machine={} seconds={:.1f}", machine.id,
                 notice.count());
    machine.interruptionAt = context_.now() + toSteadyDuration(notice);
    // The machine may be reclaimed after half of the announced time, so checkpoint at once.
    for (const auto& ref : machine.allocations) {
        const auto [job, slice, allocation] = clusterState.findAllocation(ref);
        if (allocation == nullptr) continue;
        if (!allocation->reported) allocation->startCancelled = true;
        if (job->spec.checkpointInterval.count() > 0 || allocation->state != TaskState::running)
            allocation->stopGrace = job->spec.checkpointDuration;
    }
    observer_.onWorkersChanged();
}

void MachineStatusApplier::applyAcknowledgement(Machine& machine,
                                                const protocol::Heartbeat& heartbeat) const {
    machine.acknowledgedToken = std::max(machine.acknowledgedToken, heartbeat.fencingToken);
    if (machine.acknowledged()) {
        machine.unacknowledgedResponses = 0;
        return;
    }
    const auto spacing = toSteadyDuration(context_.settings.heartbeatInterval * minResponseSpacing);
    if (machine.unacknowledgedResponses > 0 &&
        context_.now() - machine.lastUnacknowledgedResponse < spacing)
        return;
    machine.lastUnacknowledgedResponse = context_.now();
    if (++machine.unacknowledgedResponses < maxIneffectiveResponses ||
        machine.allocations.empty() || isFenced(machine, heartbeat))
        return;
    // The worker's heartbeats, or late copies of them, arrive, but it receives no responses.
    // Without a token of this leader its heartbeats cannot prove that a task has ended. From now on
    // they are not answered, so that the worker's lease expires.
    spdlog::info("heartbeat: lease_abandoned machine={} reason=\"answers not received\"",
                 machine.id);
    machine.ignoreHeartbeatsUntil = context_.now() + maxWorkerLease(context_) + workerLeaseMargin;
}

bool MachineStatusApplier::isStartPending(const ClusterState& clusterState, const Machine& machine,
                                          const Job& job, const Allocation& allocation) const {
    return !allocation.reported && !allocation.startCancelled &&
           !clusterState.knownCancelled(job) && !machine.decommissioned;
}

void MachineStatusApplier::removeMissingAllocations(ClusterState& clusterState, Machine& machine,
                                                    const protocol::Heartbeat& heartbeat) {
    const auto allocations = machine.allocations;
    for (const auto& ref : allocations) {
        if (findStatus(heartbeat, ref) != nullptr) continue;
        const auto [job, slice, allocation] = clusterState.findAllocation(ref);
        if (allocation == nullptr || !allocation->durable) continue;
        // Starts that never arrive would keep the allocation waiting forever. No response sent
        // before this heartbeat can still start a task that is not in it.
        if (isStartPending(clusterState, machine, *job, *allocation)) {
            if (allocation->unconfirmedStarts < maxIneffectiveResponses || machine.transferring)
                continue;
            if (machine.acknowledged()) {
                spdlog::info(
                    "heartbeat: tasks_reassigned machine={} reason=\"starts not received\"",
                    machine.id);
                requireAcknowledgement(machine, ++machine.fencingToken, context_.now());
            }
        }
        spdlog::debug("heartbeat: task_missing task={}/{} machine={}", ref.job, ref.task,
                      machine.id);
        clusterState.removeAllocation(*job, *slice, ref.task);
        observer_.onWorkersChanged();
    }
}

}  // namespace fawnwheel::coordination
