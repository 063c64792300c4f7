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
    // The node that transferred the machine keeps renewing the worker's lease until it knows the
    // outcome of its own transaction, even during an outage of the state service. If the lease were
    // counted from the time at which this node saw the transfer, it would seem to expire during
    // such an outage although it is still renewed.
    const auto& giver = machine.transferredBy;
    // A giver whose node record is gone still renews leases in an outage until another node has
    // acquired its partitions (see `PartitionLeadership::canAnswerWorkers`).
    if (!clusterState.nodes.contains(giver) && !clusterState.leadsAnyPartition(giver)) return true;
    return membership_.appliedRevisionOf(giver) >= machine.version;
}

void WorkerExpiry::awaitTransferConfirmation(const ClusterState& clusterState,
                                             Machine& machine) const {
    if (machine.transferConfirmed || machine.transferredBy.empty() ||
        machine.transferredBy == context_.settings.name)
        return;
    // Nothing is checked while this node has no lease, so the former leader may have renewed the
    // worker's lease until just before the check that finds the transfer confirmed.
    machine.lastPossibleRenewal = context_.now() + outageConfirmationValidity;
    machine.transferConfirmed = isTransferConfirmed(clusterState, machine);
}

void WorkerExpiry::expireSilentWorkers(PartitionId partition) {
    const auto now = context_.now();
    const auto maxLease = maxWorkerLease(context_);
    auto clusterState = context_.clusterState.lock();
    for (auto* machine : clusterState->machinesOf(partition)) {
        if (machine->allocations.empty()) continue;
        awaitTransferConfirmation(*clusterState, *machine);
        // `lastPossibleRenewal` is the last time at which an entitled leader could have renewed the
        // lease.
        if (now - machine->lastPossibleRenewal <= maxLease) continue;
        releaseAllocations(*machine, "lease expired");
        machine->expiredAgentEpoch = machine->agentEpoch;
    }
    releaseAllocationsWithoutMachine(*clusterState, partition);
}

void WorkerExpiry::releaseAllocationsWithoutMachine(ClusterState& clusterState,
                                                    PartitionId partition) {
    // A machine's record is deleted only after proof that the machine no longer exists. If a leader
    // fails after the deletion but before it records the release of the machine's allocations,
    // these allocations refer to a machine without a record.
    for (auto& [id, job] : clusterState.jobs) {
        for (auto& slice : job.slices) {
            if (slice.partition != partition) continue;
            std::vector<std::uint32_t> tasksWithoutMachine;
            for (const auto& allocation : slice.allocations)
                if (allocation.durable && clusterState.machine(allocation.machine) == nullptr &&
                    !clusterState.corruptMachines.contains(allocation.machine))
                    tasksWithoutMachine.push_back(allocation.task);
            for (const auto task : tasksWithoutMachine)
                clusterState.removeAllocation(job, slice, task);
        }
    }
}

}  // namespace fawnwheel::coordination
