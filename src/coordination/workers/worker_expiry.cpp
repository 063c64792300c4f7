#include "coordination/workers/worker_expiry.h"

#include <spdlog/spdlog.h>

#include "coordination/membership/timing.h"
#include "coordination/workers/worker_lease.h"

namespace fawnwheel::coordination {

void WorkerExpiry::resetPartition(PartitionId partition) {
    const auto now = context_.now();
    auto clusterState = context_.clusterState.lock();
    for (auto* machine : clusterState->machinesOf(partition)) {
        machine->lastHeartbeat.reset();
        machine->agentEpoch = machine->sequence = 0;
        machine->interruptionAt.reset();
        machine->ignoreHeartbeatsUntil = {};
        machine->lastPossibleRenewal = machine->knownSince = machine->idleSince =
            now + outageConfirmationValidity;
    }
    for (auto& [id, job] : clusterState->jobs)
        for (auto& slice : job.slices)
            if (slice.partition == partition)
                for (auto& allocation : slice.allocations) allocation.resetReportedState();
}

void WorkerExpiry::releaseAllocations(Machine& machine, std::string_view reason) {
    auto clusterState = context_.clusterState.lock();
    const auto allocations = machine.allocations;
    if (!allocations.empty())
        spdlog::info("heartbeat: allocations_released machine={} tasks={} reason=\"{}\"",
                     machine.id, allocations.size(), reason);
    for (const auto& ref : allocations) {
        const auto [job, slice, allocation] = clusterState->findAllocation(ref);
        if (allocation == nullptr || !allocation->durable) continue;
        clusterState->removeAllocation(*job, *slice, ref.task);
    }
    if (!allocations.empty()) observer_.onWorkersChanged();
}

bool WorkerExpiry::isTransferConfirmed(const ClusterState& clusterState,
                                       const Machine& machine) const {
    // Until the node that transferred the machine knows the outcome of its own transaction, it goes
    // on renewing the worker's lease, also through an outage of the state service. Counted from
    // when the change was seen here, the lease once would have seemed to end in such an outage.
    return machine.transferredBy.empty() || machine.transferredBy == context_.settings.name ||
           !clusterState.nodes.contains(machine.transferredBy) ||
           membership_.appliedRevisionOf(machine.transferredBy) >= machine.version;
}

void WorkerExpiry::expireSilent(PartitionId partition) {
    const auto now = context_.now();
    const auto maxLease = maxWorkerLease(context_);
    auto clusterState = context_.clusterState.lock();
    for (auto* machine : clusterState->machinesOf(partition)) {
        // `lastPossibleRenewal` is the last moment at which anybody entitled could have renewed its
        // lease.
        if (!machine->allocations.empty() && !isTransferConfirmed(*clusterState, *machine))
            machine->lastPossibleRenewal = now + outageConfirmationValidity;
        if (machine->allocations.empty() || now - machine->lastPossibleRenewal <= maxLease)
            continue;
        releaseAllocations(*machine, "lease expired");
        machine->expiredAgentEpoch = machine->agentEpoch;
    }
    releaseWithoutMachine(*clusterState, partition);
}

void WorkerExpiry::releaseWithoutMachine(ClusterState& clusterState, PartitionId partition) {
    // A machine's record is deleted only after proof that the machine is gone; a leader that ended
    // between that and recording the end of its allocations leaves them without a machine.
    for (auto& [id, job] : clusterState.jobs) {
        for (auto& slice : job.slices) {
            if (slice.partition != partition) continue;
            std::vector<std::uint32_t> lost;
            for (const auto& allocation : slice.allocations)
                if (allocation.durable && clusterState.machine(allocation.machine) == nullptr &&
                    !clusterState.corruptMachines.contains(allocation.machine))
                    lost.push_back(allocation.task);
            for (const auto task : lost) clusterState.removeAllocation(job, slice, task);
        }
    }
}

}  // namespace fawnwheel::coordination
