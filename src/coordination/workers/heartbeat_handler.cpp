#include "coordination/workers/heartbeat_handler.h"

#include <spdlog/spdlog.h>

#include "protocol/names.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;
using protocol::Command;
using protocol::CommandKind;
using protocol::ExitCause;
using protocol::TaskState;

constexpr double leaseDrift = 1.002;
constexpr auto leaseMargin = 1500ms;
constexpr auto orderTimeout = 2s;
constexpr int refusedOrder = 409;   // the token is too low, or the agent epoch another
constexpr int answersBelieved = 3;  // without any effect
constexpr auto worthARequest = 1s;  // until its next heartbeat is due
constexpr auto refusedPause = 3s;   // a machine that had no room, or knew no such job
constexpr double waitsOn = 4;       // times what a task of a gang waits for the others

HeartbeatResponse misdirected(const std::string& node) {
    return {421, protocol::encodeCbor(protocol::encodeRedirect(node))};
}

const protocol::TaskStatus* find(const protocol::Heartbeat& heartbeat,
                                 const storage::TaskRef& ref) {
    for (const auto& task : heartbeat.tasks)
        if (task.index == ref.task && task.attempt == ref.attempt && task.job == ref.job)
            return &task;
    return nullptr;
}

}  // namespace

HeartbeatResponse HeartbeatHandler::handleHeartbeat(const protocol::Heartbeat& heartbeat) {
    auto clusterState = context_.clusterState.lock();
    Machine* machine = clusterState->machine(heartbeat.machine);
    if (machine == nullptr) {
        const auto number = context_.defaultPartition(heartbeat.zone, heartbeat.machine);
        const auto& leader = clusterState->partitions[number].leader;
        if (membership_.isLeader(number)) {
            onUnassigned(heartbeat);
            return {503, {}};
        }
        return clusterState->nodes.contains(leader) && leader != context_.settings.name
                   ? misdirected(leader)
                   : HeartbeatResponse{503, {}};
    }
    const auto& partition = clusterState->partitions[machine->partition];
    if (partition.leader != context_.settings.name)
        return clusterState->nodes.contains(partition.leader) ? misdirected(partition.leader)
                                                              : HeartbeatResponse{503, {}};
    if (machine->departedTo) {
        const auto& next = clusterState->partitions[*machine->departedTo].leader;
        return next != context_.settings.name && clusterState->nodes.contains(next)
                   ? misdirected(next)
                   : HeartbeatResponse{503, {}};
    }
    if (!membership_.isLeader(machine->partition) ||
        !membership_.canAnswerWorkers(machine->partition))
        return {503, {}};
    refreshToken(*machine);
    if (heartbeat.fencingToken > machine->fencingToken) {
        // An earlier leader of the machine had a later term. While our lease stands nobody else
        // owns its partition, so that we may go beyond that token. While it changes hands its token
        // stands still: raised to the one with which its next leader begins, two leaders once
        // answered the worker with the same token (rebalancing_troubles).
        if (!membership_.isLeaseValid() || machine->transferring) return {503, {}};
        machine->firstFencingToken = machine->fencingToken = heartbeat.fencingToken + 1;
        requireAcknowledgement(*machine, machine->fencingToken);
    }
    if (context_.now() < machine->unansweredUntil) return {503, {}};
    // Its lease ran out: what was held back on the way speaks of tasks that are gone.
    if (heartbeat.agentEpoch <= machine->expiredAgentEpoch) return {503, {}};
    // A repeat or a late copy proves nothing new, and its sender waits no more.
    if (machine->lastHeartbeat && std::pair(heartbeat.agentEpoch, heartbeat.sequence) <=
                                      std::pair(machine->agentEpoch, machine->sequence))
        return {503, {}};
    applyHeartbeat(*clusterState, *machine, heartbeat);

    std::vector<Command> commands;
    for (const auto& task : heartbeat.tasks)
        applyTaskStatus(*clusterState, *machine, task, commands);
    addStarts(*clusterState, *machine, heartbeat, commands);
    machine->silentSince = context_.now();
    return {200, protocol::encodeCbor(protocol::encodeCommands(machine->fencingToken, commands))};
}

void HeartbeatHandler::refreshToken(Machine& machine) {
    const auto least =
        std::max(membership_.minFencingToken(machine.partition), machine.minFencingToken);
    if (machine.firstFencingToken >= least) return;
    machine.firstFencingToken = machine.fencingToken = least;
    requireAcknowledgement(machine, least);
}

void HeartbeatHandler::requireAcknowledgement(Machine& machine, std::uint64_t expectedToken) {
    machine.expectedToken = expectedToken;
    machine.unacknowledgedSince = context_.now();
    machine.unacknowledged = 0;
}

void HeartbeatHandler::applyHeartbeat(ClusterState& clusterState, Machine& machine,
                                      const protocol::Heartbeat& heartbeat) {
    const auto now = context_.now();
    if (!machine.lastHeartbeat) {
        spdlog::debug("machine {}: first report to part {}", machine.id, machine.partition);
        machine.idleSince = now;
        onChange();
    }
    machine.address = heartbeat.address;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequence = heartbeat.sequence;
    machine.lastHeartbeat = now;
    machine.exited = static_cast<std::size_t>(
        std::count_if(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                      [](const auto& task) { return task.state == TaskState::exited; }));
    if (heartbeat.interruptionNotice && !machine.interruptionAt) {
        spdlog::info("machine {}: notice, {:.1f} s", machine.id,
                     heartbeat.interruptionNotice->count());
        machine.interruptionAt = now + ticks(*heartbeat.interruptionNotice);
        // The notice may be half as long as it says: save at once.
        for (const auto& ref : machine.allocations) {
            const auto [job, slice, allocation] = clusterState.findAllocation(ref);
            if (allocation == nullptr) continue;
            if (!allocation->seen) allocation->abandoned = true;
            if (job->spec.checkpointInterval.count() > 0 || allocation->state != TaskState::running)
                allocation->stopGrace = job->spec.checkpointDuration;
        }
        onChange();
    }
    machine.acknowledgedToken = std::max(machine.acknowledgedToken, heartbeat.fencingToken);
    if (machine.acknowledged()) {
        machine.unacknowledged = 0;
    } else if (++machine.unacknowledged >= answersBelieved && !machine.allocations.empty() &&
               heartbeat.fencingToken < machine.firstFencingToken) {
        // Its heartbeats arrive, or late copies of them, but no answer reaches it, and without our
        // token they prove no end. Unanswered from here on, its lease runs out.
        spdlog::info("machine {}: does not hear, left to its lease", machine.id);
        machine.unansweredUntil =
            now + ticks(context_.settings.lease * leaseDrift) + leaseMargin * 2;
    }
    if (heartbeat.fencingToken < machine.firstFencingToken) return;
    // The worker has seen a token of ours, so it accepts no older leader's answers any more, and it
    // has one heartbeat in flight at a time: what this heartbeat lacks is not on the machine and
    // can only come to it by an answer of ours from now on.
    const auto allocations = machine.allocations;
    for (const auto& ref : allocations) {
        if (find(heartbeat, ref) != nullptr) continue;
        const auto [job, slice, allocation] = clusterState.findAllocation(ref);
        if (allocation == nullptr || !allocation->durable) continue;
        // Unless it is still to be started. Starts that don't arrive would keep it waiting for
        // ever; what this heartbeat lacks no earlier answer can start any more.
        if (!allocation->seen && !allocation->abandoned && !clusterState.knownCancelled(*job) &&
            !machine.decommissioned) {
            if (allocation->startsSent < answersBelieved || machine.transferring) continue;
            if (machine.acknowledged()) {
                spdlog::info("machine {}: does not hear, its tasks go elsewhere", machine.id);
                requireAcknowledgement(machine, ++machine.fencingToken);
            }
        }
        spdlog::debug("task {}/{}: not on {} (any more)", ref.job, ref.task, machine.id);
        clusterState.removeAllocation(*job, *slice, ref.task);
        onChange();
    }
}

void HeartbeatHandler::applyTaskStatus(ClusterState& clusterState, Machine& machine,
                                       const protocol::TaskStatus& task,
                                       std::vector<Command>& commands) {
    Job* job = clusterState.job(task.job);
    Slice* slice = job == nullptr ? nullptr : job->sliceOf(task.index);
    Allocation* allocation = slice == nullptr ? nullptr : slice->allocationOf(task.index);
    const bool proven = machine.acknowledgedToken >= machine.firstFencingToken;
    const bool knownCancelled = job != nullptr && clusterState.knownCancelled(*job);
    const bool ours = allocation != nullptr && slice->partition == machine.partition &&
                      allocation->machine == machine.id && allocation->attempt == task.attempt;
    if (!ours) {
        // Forgetting lets a repeated start run it once more; no start of ours can follow, since
        // the allocation is gone, durably.
        if (task.state == TaskState::exited) {
            if (slice == nullptr || slice->partition != machine.partition || !slice->dirty)
                commands.push_back({CommandKind::forget, task.job, task.index, task.attempt, {}});
            return;
        }
        const bool adoptable =
            job != nullptr && slice != nullptr && allocation == nullptr && !knownCancelled &&
            !job->completing && slice->partition == machine.partition &&
            !slice->done[task.index - slice->first] && job->spec.kind != protocol::JobKind::gang;
        // A late copy of a heartbeat, or one from before our time, shows what may be over by now.
        if (!proven && !knownCancelled) return;
        if (!adoptable) {
            commands.push_back({CommandKind::stop, task.job, task.index, task.attempt, {}});
            return;
        }
        spdlog::info("task {}/{}: found on {} without a record", task.job, task.index, machine.id);
        Allocation found;
        found.task = task.index;
        found.machine = machine.id;
        found.attempt = task.attempt;
        found.seen = true;
        found.state = task.state;
        found.made = context_.now();
        clusterState.addAllocation(*job, *slice, std::move(found));
        onChange();
        return;
    }
    allocation->seen = true;
    allocation->state = task.state;
    if (task.state == TaskState::exited) {
        if (task.cause != ExitCause::alone || !mayWaitOn(clusterState, machine, *job, *allocation))
            return applyTaskExit(clusterState, machine, *job, *slice, *allocation, task);
        // The others still fetch. Its place stands, and under the same attempt it waits on there:
        // whole gangs lost their places because one machine fetched longer than they may wait.
        spdlog::debug("task {}/{}: waits on at {}", task.job, task.index, machine.id);
        allocation->state = TaskState::fetching;
        commands.push_back({CommandKind::forget, task.job, task.index, task.attempt, {}});
        commands.push_back({CommandKind::start, task.job, task.index, task.attempt, {}});
        return;
    }
    if (task.state != TaskState::fetching) clusterState.recordImage(machine, job->spec);
    if (task.state == TaskState::running && !allocation->ran) {
        allocation->ran = context_.now();
        spdlog::debug("task {}/{}: runs on {}, {:.1f} s after its placement", task.job, task.index,
                      machine.id, Seconds(*allocation->ran - allocation->made).count());
    }
    if (task.state == TaskState::running) failures_.onTaskRunning(*job, *slice, *allocation);
    if (knownCancelled || machine.decommissioned)
        commands.push_back({CommandKind::stop, task.job, task.index, task.attempt, {}});
    else if (allocation->stopGrace && task.state != TaskState::saving)
        commands.push_back(
            {CommandKind::stop, task.job, task.index, task.attempt, *allocation->stopGrace});
}

bool HeartbeatHandler::mayWaitOn(const ClusterState& clusterState, const Machine& machine,
                                 const Job& job, const Allocation& allocation) const {
    if (!mayStartOn(machine) || !startable(clusterState, job, allocation) ||
        context_.now() - allocation.made > ticks(context_.settings.gangWait * waitsOn))
        return false;
    return std::all_of(job.slices.begin(), job.slices.end(), [](const Slice& slice) {
        return std::none_of(slice.allocations.begin(), slice.allocations.end(),
                            [](const Allocation& other) { return other.ran.has_value(); });
    });
}

bool HeartbeatHandler::mayStartOn(const Machine& machine) const {
    // Without the state service a start would rest on records that may have changed.
    return membership_.isLeaseValid() && !machine.decommissioned && !machine.interruptionAt &&
           machine.acknowledgedToken >= machine.firstFencingToken;
}

void HeartbeatHandler::applyTaskExit(ClusterState& clusterState, Machine& machine, Job& job,
                                     Slice& slice, Allocation& allocation,
                                     const protocol::TaskStatus& task) {
    if (!allocation.durable)
        return;  // its record is being written; the heartbeat will say it again
    const auto now = context_.now();
    spdlog::debug("task {}/{}: ended on {}, cause {}", task.job, task.index, machine.id,
                  static_cast<int>(task.cause));
    switch (task.cause) {
        case ExitCause::done:
            slice.touch();
            slice.markDone(task.index);
            failures_.onTaskDone(clusterState, machine, job);
            // The tasks of a gang complete together.
            if (job.spec.kind == protocol::JobKind::gang)
                for (auto& other : job.slices) {
                    other.touch();
                    for (auto t = other.first; t < other.first + other.done.size(); ++t)
                        other.markDone(t);
                }
            break;
        case ExitCause::error:
            failures_.onTaskFailed(clusterState, machine, job, slice, allocation);
            break;
        case ExitCause::noCapacity:
        case ExitCause::busy:
            machine.notBefore = now + refusedPause;
            break;
        case ExitCause::unknown:
            job.notBefore = now + refusedPause;
            break;
        case ExitCause::stopped:
        case ExitCause::peersGone:
        case ExitCause::alone:
            break;
    }
    clusterState.removeAllocation(job, slice, task.index);
    if (machine.allocations.empty()) machine.idleSince = now;
    onChange();
}

bool HeartbeatHandler::startable(const ClusterState& clusterState, const Job& job,
                                 const Allocation& allocation) {
    if (!allocation.durable || allocation.abandoned || allocation.stopGrace ||
        !clusterState.startable(job))
        return false;
    if (job.spec.kind != protocol::JobKind::gang) return true;
    // A gang is started only when every task has its durable place.
    std::size_t placed = 0;
    for (const auto& slice : job.slices) {
        for (const auto& other : slice.allocations)
            if (other.attempt == allocation.attempt && other.durable) ++placed;
    }
    return placed == job.spec.tasks;
}

void HeartbeatHandler::addStarts(ClusterState& clusterState, Machine& machine,
                                 const protocol::Heartbeat& heartbeat,
                                 std::vector<Command>& commands) {
    if (!mayStartOn(machine) || heartbeat.fencingToken < machine.firstFencingToken) return;
    for (const auto& ref : machine.allocations) {
        if (find(heartbeat, ref) != nullptr) continue;
        const auto [job, slice, allocation] = clusterState.findAllocation(ref);
        if (allocation == nullptr || slice->partition != machine.partition) continue;
        if (!startable(clusterState, *job, *allocation)) continue;
        ++allocation->startsSent;
        commands.push_back({CommandKind::start, ref.job, ref.task, ref.attempt, {}});
    }
}

void HeartbeatHandler::onPartitionAcquired(std::uint32_t partition) {
    const auto now = context_.now();
    auto clusterState = context_.clusterState.lock();
    for (auto* machine : clusterState->machinesOf(partition)) {
        machine->lastHeartbeat.reset();
        machine->agentEpoch = machine->sequence = 0;
        machine->interruptionAt.reset();
        machine->unansweredUntil = {};
        machine->silentSince = machine->known = machine->idleSince =
            now + outageConfirmationValidity;
    }
    for (auto& [id, job] : clusterState->jobs)
        for (auto& slice : job.slices)
            if (slice.partition == partition)
                for (auto& allocation : slice.allocations) allocation.forgetState();
}

void HeartbeatHandler::stopNow(const std::string& id) {
    std::map<std::string, std::vector<Command>> commandsByMachine;
    auto clusterState = context_.clusterState.lock();
    Job* job = clusterState->job(id);
    if (job == nullptr) return;
    for (const auto& slice : job->slices) {
        if (!membership_.isLeader(slice.partition)) continue;
        for (const auto& allocation : slice.allocations)
            if (allocation.durable)
                commandsByMachine[allocation.machine].push_back(
                    {CommandKind::stop, id, allocation.task, allocation.attempt,
                     allocation.stopGrace && !clusterState->knownCancelled(*job)
                         ? *allocation.stopGrace
                         : Seconds(0)});
    }
    for (const auto& [name, commands] : commandsByMachine) {
        if (const Machine* machine = clusterState->machine(name)) sendCommands(*machine, commands);
    }
}

void HeartbeatHandler::stopMarked(const std::string& name) {
    auto clusterState = context_.clusterState.lock();
    const Machine* machine = clusterState->machine(name);
    if (machine == nullptr || !membership_.isLeader(machine->partition)) return;
    std::vector<Command> commands;
    for (const auto& ref : machine->allocations) {
        const auto [job, slice, allocation] = clusterState->findAllocation(ref);
        if (allocation != nullptr && allocation->stopGrace &&
            allocation->state != TaskState::saving)
            commands.push_back(
                {CommandKind::stop, ref.job, ref.task, ref.attempt, *allocation->stopGrace});
    }
    if (!commands.empty()) sendCommands(*machine, commands);
}

void HeartbeatHandler::sendCommands(const Machine& machine, const std::vector<Command>& commands) {
    if (machine.address.empty() || !machine.lastHeartbeat) return;
    sendCommands(machine.id, machine.agentEpoch, commands, true);
}

void HeartbeatHandler::sendCommands(const std::string& id, std::uint64_t agentEpoch,
                                    const std::vector<Command>& commands, bool mayRepeat) {
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
        address, {"POST", protocol::wire::pathCommands, protocol::encodeCbor(body)}, orderTimeout,
        [this, id, agentEpoch, commands,
         mayRepeat](const std::optional<transport::HttpResponse>& response) {
            // Of a machine that has just come from another leader the agent epoch is not known here
            // yet. Without the repeat, stops of a job called off at that moment waited for its
            // heartbeat.
            if (!response || response->status != refusedOrder || !mayRepeat || commands.empty())
                return;
            const auto heartbeat = protocol::decodeCbor(response->body);
            const auto actual =
                heartbeat ? protocol::countOf(*heartbeat, protocol::wire::agentEpoch) : 0;
            if (actual != 0 && actual != agentEpoch) sendCommands(id, actual, commands, false);
        });
}

void HeartbeatHandler::requestHeartbeats(const std::set<std::string>& machines) {
    const auto now = context_.now();
    auto clusterState = context_.clusterState.lock();
    if (!membership_.isLeaseValid()) return;
    for (const auto& id : machines) {
        Machine* machine = clusterState->machine(id);
        if (machine == nullptr || !machine->lastHeartbeat ||
            !membership_.isLeader(machine->partition) || machine->interruptionAt ||
            machine->transferring ||
            now - machine->heartbeatRequested < ticks(context_.settings.lease * 0.55))
            continue;
        // A higher token is a change that the worker heartbeats; it does so for one in half a
        // lease. Late, this raises the token to no more than we answer with by then, and orders
        // nothing.
        if (*machine->lastHeartbeat + ticks(context_.settings.heartbeatInterval) - now <
            worthARequest)
            continue;
        machine->heartbeatRequested = now;
        ++machine->fencingToken;
        sendCommands(*machine, {});
    }
}

void HeartbeatHandler::redirectWorker(const std::string& name) {
    auto clusterState = context_.clusterState.lock();
    Machine* machine = clusterState->machine(name);
    // The order carries the token with which its new leader begins.
    if (machine != nullptr) sendCommands(*machine, {});
}

void HeartbeatHandler::releaseAllocations(Machine& machine, const char* why) {
    auto clusterState = context_.clusterState.lock();
    const auto allocations = machine.allocations;
    if (!allocations.empty())
        spdlog::info("machine {}: {} tasks gone, {}", machine.id, allocations.size(), why);
    for (const auto& ref : allocations) {
        const auto [job, slice, allocation] = clusterState->findAllocation(ref);
        if (allocation == nullptr || !allocation->durable) continue;
        clusterState->removeAllocation(*job, *slice, ref.task);
    }
    if (!allocations.empty()) onChange();
}

bool HeartbeatHandler::giverKnows(const ClusterState& clusterState, const Machine& machine) const {
    // Until the node that gave the machine away knows the outcome of its own transaction, it goes
    // on renewing the worker's lease, also through an outage of the state service. Counted from
    // when the change was seen here, the lease once would have seemed to end in such an outage.
    return machine.transferredBy.empty() || machine.transferredBy == context_.settings.name ||
           !clusterState.nodes.contains(machine.transferredBy) ||
           membership_.appliedBy(machine.transferredBy) >= machine.version;
}

void HeartbeatHandler::expireSilent(std::uint32_t partition) {
    const auto now = context_.now();
    const auto lease = ticks(context_.settings.lease * leaseDrift) + leaseMargin;
    auto clusterState = context_.clusterState.lock();
    for (auto* machine : clusterState->machinesOf(partition)) {
        // `silentSince` is the last moment at which anybody entitled could have renewed its lease.
        if (!machine->allocations.empty() && !giverKnows(*clusterState, *machine))
            machine->silentSince = now + outageConfirmationValidity;
        if (machine->allocations.empty() || now - machine->silentSince <= lease) continue;
        releaseAllocations(*machine, "its lease has run out");
        machine->expiredAgentEpoch = machine->agentEpoch;
    }
    // A machine's record goes only after proof that the machine is gone; a leader that ended
    // between that and recording the end of its allocations leaves them without a machine.
    for (auto& [id, job] : clusterState->jobs) {
        for (auto& slice : job.slices) {
            if (slice.partition != partition) continue;
            std::vector<std::uint32_t> lost;
            for (const auto& allocation : slice.allocations)
                if (allocation.durable && clusterState->machine(allocation.machine) == nullptr &&
                    !clusterState->corruptMachines.contains(allocation.machine))
                    lost.push_back(allocation.task);
            for (const auto task : lost) clusterState->removeAllocation(job, slice, task);
        }
    }
}

}  // namespace fawnwheel::coordination
