#include "coordination/workers/command_sender.h"

#include "protocol/names.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;
using protocol::Command;
using protocol::CommandKind;

constexpr auto commandTimeout = 2s;
constexpr int httpConflict = 409;  // the worker rejects the fencing token or the agent epoch
// No heartbeat is requested if the next one is due in less than this.
constexpr auto minTimeToNextHeartbeat = 1s;
// The minimum interval between two requests to one worker, as a fraction of its lease.
constexpr double requestIntervalLeaseFraction = 0.55;

}  // namespace

protocol::Command CommandSender::makeStopCommand(const ClusterState& clusterState, const Job& job,
                                                 const Allocation& allocation) {
    const bool withGrace = allocation.stopGrace && !clusterState.knownCancelled(job);
    return {CommandKind::stop, job.spec.id, allocation.task, allocation.attempt,
            withGrace ? *allocation.stopGrace : Seconds(0)};
}

void CommandSender::stopJob(const std::string& id) {
    std::map<std::string, std::vector<Command>> commandsByMachine;
    auto clusterState = context_.clusterState.lock();
    const Job* job = clusterState->job(id);
    if (job == nullptr) return;
    for (const auto& slice : job->slices) {
        if (!membership_.isLeader(slice.partition)) continue;
        for (const auto& allocation : slice.allocations)
            if (allocation.durable)
                commandsByMachine[allocation.machine].push_back(
                    makeStopCommand(*clusterState, *job, allocation));
    }
    for (const auto& [name, commands] : commandsByMachine)
        if (const Machine* machine = clusterState->machine(name)) send(*machine, commands);
}

void CommandSender::sendPendingStops(const std::string& name) {
    auto clusterState = context_.clusterState.lock();
    const Machine* machine = clusterState->machine(name);
    if (machine == nullptr || !membership_.isLeader(machine->partition)) return;
    std::vector<Command> commands;
    for (const auto& ref : machine->allocations) {
        const auto [job, slice, allocation] = clusterState->findAllocation(ref);
        if (allocation != nullptr && allocation->stopGrace &&
            allocation->state != protocol::TaskState::saving)
            commands.push_back(
                {CommandKind::stop, ref.job, ref.task, ref.attempt, *allocation->stopGrace});
    }
    if (!commands.empty()) send(*machine, commands);
}

bool CommandSender::shouldRequestHeartbeat(const Machine& machine) const {
    const auto now = context_.now();
    if (!machine.lastHeartbeat || !membership_.isLeader(machine.partition) ||
        machine.interruptionAt || machine.transferring)
        return false;
    const auto nextDue =
        *machine.lastHeartbeat + toSteadyDuration(context_.settings.heartbeatInterval);
    return now - machine.heartbeatRequestedAt >=
               toSteadyDuration(context_.settings.lease * requestIntervalLeaseFraction) &&
           nextDue - now >= minTimeToNextHeartbeat;
}

void CommandSender::requestHeartbeats(const std::set<std::string>& machines) {
    auto clusterState = context_.clusterState.lock();
    if (!membership_.isLeaseValid()) return;
    for (const auto& id : machines) {
        Machine* machine = clusterState->machine(id);
        if (machine == nullptr || !shouldRequestHeartbeat(*machine)) continue;
        // A worker that receives a higher token sends a heartbeat, at most once in half a lease. A
        // request that arrives late is harmless: its token is no higher than the token of later
        // heartbeat responses, and it contains no commands.
        machine->heartbeatRequestedAt = context_.now();
        ++machine->fencingToken;
        send(*machine, {});
    }
}

void CommandSender::redirectWorker(const std::string& name) {
    auto clusterState = context_.clusterState.lock();
    const Machine* machine = clusterState->machine(name);
    // The request carries the first fencing token of the machine's new leader.
    if (machine != nullptr) send(*machine, {});
}

void CommandSender::send(const Machine& machine, const std::vector<Command>& commands) {
    if (machine.address.empty() || !machine.lastHeartbeat) return;
    send(machine.id, machine.agentEpoch, commands, OnEpochMismatch::retry);
}

void CommandSender::send(const std::string& id, std::uint64_t agentEpoch,
                         const std::vector<Command>& commands, OnEpochMismatch onMismatch) {
    std::string address;
    std::uint64_t fencingToken = 0;
    {
        auto clusterState = context_.clusterState.lock();
        const Machine* machine = clusterState->machine(id);
        if (machine == nullptr) return;
        address = machine->address;
        fencingToken = machine->fencingToken;
    }
    auto body = protocol::encodeCommands(fencingToken, commands);
    body[protocol::wire::agentEpoch] = agentEpoch;
    context_.network.call(
        address, {"POST", protocol::wire::pathCommands, protocol::encodeCbor(body)}, commandTimeout,
        [this, id, agentEpoch, commands,
         onMismatch](const std::optional<transport::HttpResponse>& response) {
            // This node does not yet know the agent epoch of a machine that has just been
            // transferred to it. Without the retry, stops of a job cancelled at that moment would
            // wait for the machine's next heartbeat.
            if (!response || response->status != httpConflict ||
                onMismatch == OnEpochMismatch::drop || commands.empty())
                return;
            const auto heartbeat = protocol::decodeCbor(response->body);
            const auto actual =
                heartbeat ? protocol::countOf(*heartbeat, protocol::wire::agentEpoch) : 0;
            if (actual != 0 && actual != agentEpoch)
                send(id, actual, commands, OnEpochMismatch::drop);
        });
}

}  // namespace fawnwheel::coordination
