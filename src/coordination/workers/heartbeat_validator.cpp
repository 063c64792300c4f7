#include "coordination/workers/heartbeat_validator.h"

#include <spdlog/spdlog.h>

#include "coordination/workers/fencing.h"

namespace fawnwheel::coordination {

namespace {

HeartbeatResponse unavailable() {
    return {HeartbeatStatus::unavailable, {}};
}

}  // namespace

HeartbeatResponse HeartbeatValidator::redirectToLeader(const ClusterState& clusterState,
                                                       const std::string& leader) const {
    if (leader == context_.settings.name || !clusterState.nodes.contains(leader))
        return unavailable();
    return {HeartbeatStatus::misdirected, protocol::encodeCbor(protocol::encodeRedirect(leader))};
}

HeartbeatResponse HeartbeatValidator::respondToUnknownMachine(
    ClusterState& clusterState, const protocol::Heartbeat& heartbeat) {
    const auto partition = context_.defaultPartition(heartbeat.zone, heartbeat.machine);
    const auto& leader = clusterState.partitions[partition].leader;
    if (!membership_.isLeader(partition)) return redirectToLeader(clusterState, leader);
    observer_.onUnassignedHeartbeat(heartbeat);
    return unavailable();
}

std::optional<HeartbeatResponse> HeartbeatValidator::validate(
    ClusterState& clusterState, Machine* machine, const protocol::Heartbeat& heartbeat) {
    if (machine == nullptr) return respondToUnknownMachine(clusterState, heartbeat);
    const auto& leader = clusterState.partitions[machine->partition].leader;
    if (leader != context_.settings.name) return redirectToLeader(clusterState, leader);
    if (machine->departedTo)
        return redirectToLeader(clusterState, clusterState.partitions[*machine->departedTo].leader);
    if (!membership_.isLeader(machine->partition) ||
        !membership_.canAnswerWorkers(machine->partition))
        return unavailable();
    if (!mayRenewLease(*machine, heartbeat)) {
        spdlog::debug("heartbeat: unrecorded_machine_refused machine={} tasks={}", machine->id,
                      heartbeat.tasks.size());
        return unavailable();
    }
    if (!advanceToken(*machine, heartbeat) || isStale(*machine, heartbeat)) return unavailable();
    return std::nullopt;
}

bool HeartbeatValidator::mayRenewLease(const Machine& machine,
                                       const protocol::Heartbeat& heartbeat) {
    // Only a machine's record says which leader responds to its worker. Until it is durable, the
    // node that provisioned the machine and the leader of its default partition may both hold the
    // machine. A task shows that the record of one of them is durable and that its leader counts
    // the worker's lease: a renewal here would let the task outlive that count (scenario
    // unrecorded_machine_with_two_leaders). Without tasks a renewal is harmless: a task starts only
    // by the response to a later heartbeat, from which its leader counts anew.
    return machine.recorded() || heartbeat.tasks.empty();
}

bool HeartbeatValidator::advanceToken(Machine& machine,
                                      const protocol::Heartbeat& heartbeat) const {
    refreshToken(machine);
    if (heartbeat.fencingToken <= machine.fencingToken) return true;
    // The worker has seen a higher token of an earlier leader, which had a later term. While this
    // node's lease is valid no other node leads the partition, so this leader may continue above
    // that token. The token must not change while the machine is being transferred: raised to the
    // first token of the next leader, it would let two leaders respond to the worker with the same
    // token (scenario rebalancing_random_failures).
    if (!membership_.isLeaseValid() || machine.transferring) return false;
    machine.firstFencingToken = machine.fencingToken = heartbeat.fencingToken + 1;
    requireAcknowledgement(machine, machine.fencingToken, context_.now());
    return true;
}

void HeartbeatValidator::refreshToken(Machine& machine) const {
    const auto minToken =
        std::max(membership_.minFencingToken(machine.partition), machine.minFencingToken);
    if (machine.firstFencingToken >= minToken) return;
    machine.firstFencingToken = machine.fencingToken = minToken;
    requireAcknowledgement(machine, minToken, context_.now());
}

bool HeartbeatValidator::isStale(const Machine& machine,
                                 const protocol::Heartbeat& heartbeat) const {
    if (context_.now() < machine.ignoreHeartbeatsUntil) return true;
    // The worker's lease in this epoch has expired. A delayed heartbeat of that epoch reports tasks
    // that have ended.
    if (heartbeat.agentEpoch <= machine.expiredAgentEpoch) return true;
    // A repeated or delayed copy proves nothing new, and its sender no longer waits for a response.
    return machine.lastHeartbeat && std::pair(heartbeat.agentEpoch, heartbeat.sequence) <=
                                        std::pair(machine.agentEpoch, machine.sequence);
}

}  // namespace fawnwheel::coordination
