#include "coordination/workers/heartbeat_handler.h"

namespace fawnwheel::coordination {

HeartbeatResponse HeartbeatHandler::handleHeartbeat(const protocol::Heartbeat& heartbeat) {
    auto clusterState = context_.clusterState.lock();
    Machine* machine = clusterState->machine(heartbeat.machine);
    if (auto rejection = validator_.validate(*clusterState, machine, heartbeat))
        return std::move(*rejection);
    machineStatus_.apply(*clusterState, *machine, heartbeat);
    std::vector<protocol::Command> commands;
    for (const auto& task : heartbeat.tasks)
        taskStatus_.apply(*clusterState, *machine, heartbeat, task, commands);
    startPolicy_.addStarts(*clusterState, *machine, heartbeat, commands);
    machine->lastPossibleRenewal = context_.now();
    return {HeartbeatStatus::ok,
            protocol::encodeCbor(protocol::encodeCommands(machine->fencingToken, commands))};
}

}  // namespace fawnwheel::coordination
