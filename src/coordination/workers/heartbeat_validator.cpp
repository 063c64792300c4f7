#include "coordination/workers/heartbeat_validator.h"

#include "coordination/workers/fencing.h"

namespace fawnwheel::coordination {

namespace {

HeartbeatResponse unavailable() {
    return {HeartbeatStatus::unavailable, {}};
}

}  // namespace

HeartbeatResponse HeartbeatValidator::redirectTo(const ClusterState& clusterState,
                                                 const std::string& leader) const {
    if (leader == context_.settings.name || !clusterState.nodes.contains(leader))
        return unavailable();
    return {HeartbeatStatus::misdirected, protocol::encodeCbor(protocol::encodeRedirect(leader))};
}

HeartbeatResponse HeartbeatValidator::answerUnknown(ClusterState& clusterState,
                                                    const protocol::Heartbeat& heartbeat) {
    const auto partition = context_.defaultPartition(heartbeat.zone, heartbeat.machine);
    const auto& leader = clusterState.partitions[partition].leader;
    if (!membership_.isLeader(partition)) return redirectTo(clusterState, leader);
    observer_.onUnassignedHeartbeat(heartbeat);
    return unavailable();
}

std::optional<HeartbeatResponse> HeartbeatValidator::validate(
    ClusterState& clusterState, Machine* machine, const protocol::Heartbeat& heartbeat) {
    if (machine == nullptr) return answerUnknown(clusterState, heartbeat);
    const auto& leader = clusterState.partitions[machine->partition].leader;
    if (leader != context_.settings.name) return redirectTo(clusterState, leader);
    if (machine->departedTo)
        return redirectTo(clusterState, clusterState.partitions[*machine->departedTo].leader);
    if (!membership_.isLeader(machine->partition) ||
        !membership_.canAnswerWorkers(machine->partition))
        return unavailable();
    if (!advanceToken(*machine, heartbeat) || isStale(*machine, heartbeat)) return unavailable();
    return std::nullopt;
}

bool HeartbeatValidator::advanceToken(Machine& machine,
                                      const protocol::Heartbeat& heartbeat) const {
    refreshToken(machine);
    if (heartbeat.fencingToken <= machine.fencingToken) return true;
    // An earlier leader of the machine had a later term. While this node's lease is valid nobody
    // else leads its partition, so that this leader may go beyond that token. While the machine
    // changes hands its token stands still: raised to the one with which its next leader begins,
    // two leaders once answered the worker with the same token (rebalancing_troubles).
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
    // The lease ran out: what was held back on the way speaks of tasks that are gone.
    if (heartbeat.agentEpoch <= machine.expiredAgentEpoch) return true;
    // A repeat or a late copy proves nothing new, and its sender waits no more.
    return machine.lastHeartbeat && std::pair(heartbeat.agentEpoch, heartbeat.sequence) <=
                                        std::pair(machine.agentEpoch, machine.sequence);
}

}  // namespace fawnwheel::coordination
