#include "coordination/reports.h"

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
constexpr int refusedOrder = 409;   // the token is too low, or the session another
constexpr int answersBelieved = 3;  // without any effect
constexpr auto worthARequest = 1s;  // until its next report is due
constexpr auto refusedPause = 3s;   // a machine that had no room, or knew no such job
constexpr double waitsOn = 4;       // times what a task of a gang waits for the others

ReportAnswer misdirected(const std::string& node) {
    return {421, protocol::encodeCbor(protocol::encodeReportTo(node))};
}

const protocol::TaskReport* find(const protocol::WorkerReport& report,
                                 const bookkeeping::TaskRef& ref) {
    for (const auto& task : report.tasks)
        if (task.index == ref.task && task.attempt == ref.attempt && task.job == ref.job)
            return &task;
    return nullptr;
}

}  // namespace

ReportAnswer Reports::handle(const protocol::WorkerReport& report) {
    auto clusterState = context_.clusterState.lock();
    Machine* machine = clusterState->machine(report.machine);
    if (machine == nullptr) {
        const auto number = context_.defaultPartition(report.zone, report.machine);
        const auto& leader = clusterState->partitions[number].leader;
        if (membership_.isLeader(number)) {
            onUnassigned(report);
            return {503, {}};
        }
        return clusterState->nodes.contains(leader) && leader != context_.settings.name
                   ? misdirected(leader)
                   : ReportAnswer{503, {}};
    }
    const auto& partition = clusterState->partitions[machine->partition];
    if (partition.leader != context_.settings.name)
        return clusterState->nodes.contains(partition.leader) ? misdirected(partition.leader)
                                                              : ReportAnswer{503, {}};
    if (machine->departedTo) {
        const auto& next = clusterState->partitions[*machine->departedTo].leader;
        return next != context_.settings.name && clusterState->nodes.contains(next)
                   ? misdirected(next)
                   : ReportAnswer{503, {}};
    }
    if (!membership_.isLeader(machine->partition) ||
        !membership_.mayAnswerWorkers(machine->partition))
        return {503, {}};
    refreshToken(*machine);
    if (report.fencingToken > machine->fencingToken) {
        // An earlier leader of the machine had a later term. While our lease stands nobody else
        // owns its partition, so that we may go beyond that token. While it changes hands its token
        // stands still: raised to the one with which its next leader begins, two leaders once
        // answered the worker with the same token (sharing_troubles).
        if (!membership_.leaseStands() || machine->transferring) return {503, {}};
        machine->firstFencingToken = machine->fencingToken = report.fencingToken + 1;
        doubt(*machine, machine->fencingToken);
    }
    if (context_.now() < machine->unansweredUntil) return {503, {}};
    // Its lease ran out: what was held back on the way speaks of tasks that are gone.
    if (report.session <= machine->endedSession) return {503, {}};
    // A repeat or a late copy proves nothing new, and its sender waits no more.
    if (machine->lastReport && std::pair(report.session, report.sequence) <=
                                   std::pair(machine->session, machine->sequence))
        return {503, {}};
    takeIn(*clusterState, *machine, report);

    std::vector<Command> commands;
    for (const auto& task : report.tasks) takeTask(*clusterState, *machine, task, commands);
    addStarts(*clusterState, *machine, report, commands);
    machine->silentSince = context_.now();
    return {200, protocol::encodeCbor(protocol::encodeCommands(machine->fencingToken, commands))};
}

void Reports::refreshToken(Machine& machine) {
    const auto least =
        std::max(membership_.minFencingToken(machine.partition), machine.minFencingToken);
    if (machine.firstFencingToken >= least) return;
    machine.firstFencingToken = machine.fencingToken = least;
    doubt(machine, least);
}

void Reports::doubt(Machine& machine, std::uint64_t expectedToken) {
    machine.expectedToken = expectedToken;
    machine.doubtedSince = context_.now();
    machine.unacknowledged = 0;
}

void Reports::takeIn(ClusterState& clusterState, Machine& machine,
                     const protocol::WorkerReport& report) {
    const auto now = context_.now();
    if (!machine.lastReport) {
        spdlog::debug("machine {}: first report to part {}", machine.id, machine.partition);
        machine.idleSince = now;
        onChange();
    }
    machine.address = report.address;
    machine.session = report.session;
    machine.sequence = report.sequence;
    machine.lastReport = now;
    machine.exited = static_cast<std::size_t>(
        std::count_if(report.tasks.begin(), report.tasks.end(),
                      [](const auto& task) { return task.state == TaskState::exited; }));
    if (report.notice && !machine.noticeEnds) {
        spdlog::info("machine {}: notice, {:.1f} s", machine.id, report.notice->count());
        machine.noticeEnds = now + ticks(*report.notice);
        // The notice may be half as long as it says: save at once.
        for (const auto& ref : machine.claims) {
            const auto [job, slice, claim] = clusterState.held(ref);
            if (claim == nullptr) continue;
            if (!claim->seen) claim->giveUp = true;
            if (job->spec.checkpoint.count() > 0 || claim->state != TaskState::running)
                claim->stopGrace = job->spec.save;
        }
        onChange();
    }
    machine.acknowledgedToken = std::max(machine.acknowledgedToken, report.fencingToken);
    if (machine.acknowledged()) {
        machine.unacknowledged = 0;
    } else if (++machine.unacknowledged >= answersBelieved && !machine.claims.empty() &&
               report.fencingToken < machine.firstFencingToken) {
        // Its reports arrive, or late copies of them, but no answer reaches it, and without our
        // token they prove no end. Unanswered from here on, its lease runs out.
        spdlog::info("machine {}: does not hear, left to its lease", machine.id);
        machine.unansweredUntil =
            now + ticks(context_.settings.lease * leaseDrift) + leaseMargin * 2;
    }
    if (report.fencingToken < machine.firstFencingToken) return;
    // The worker has seen a token of ours, so it accepts no older leader's answers any more, and it
    // has one report in flight at a time: what this report lacks is not on the machine and can only
    // come to it by an answer of ours from now on.
    const auto claims = machine.claims;
    for (const auto& ref : claims) {
        if (find(report, ref) != nullptr) continue;
        const auto [job, slice, claim] = clusterState.held(ref);
        if (claim == nullptr || !claim->durable) continue;
        // Unless it is still to be started. Starts that don't arrive would keep it waiting for
        // ever; what this report lacks no earlier answer can start any more.
        if (!claim->seen && !claim->giveUp && !clusterState.knownCancelled(*job) &&
            !machine.retired) {
            if (claim->startsSent < answersBelieved || machine.transferring) continue;
            if (machine.acknowledged()) {
                spdlog::info("machine {}: does not hear, its tasks go elsewhere", machine.id);
                doubt(machine, ++machine.fencingToken);
            }
        }
        spdlog::debug("task {}/{}: not on {} (any more)", ref.job, ref.task, machine.id);
        clusterState.removeClaim(*job, *slice, ref.task);
        onChange();
    }
}

void Reports::takeTask(ClusterState& clusterState, Machine& machine,
                       const protocol::TaskReport& task, std::vector<Command>& commands) {
    Job* job = clusterState.job(task.job);
    Slice* slice = job == nullptr ? nullptr : job->sliceOf(task.index);
    Claim* claim = slice == nullptr ? nullptr : slice->claimOf(task.index);
    const bool proven = machine.acknowledgedToken >= machine.firstFencingToken;
    const bool knownCancelled = job != nullptr && clusterState.knownCancelled(*job);
    const bool ours = claim != nullptr && slice->partition == machine.partition &&
                      claim->machine == machine.id && claim->attempt == task.attempt;
    if (!ours) {
        // Forgetting lets a repeated start run it once more; no start of ours can follow, since
        // the claim is gone, durably.
        if (task.state == TaskState::exited) {
            if (slice == nullptr || slice->partition != machine.partition || !slice->dirty)
                commands.push_back({CommandKind::forget, task.job, task.index, task.attempt, {}});
            return;
        }
        const bool adoptable =
            job != nullptr && slice != nullptr && claim == nullptr && !knownCancelled &&
            !job->finishing && slice->partition == machine.partition &&
            !slice->done[task.index - slice->first] && job->spec.kind != protocol::JobKind::gang;
        // A late copy of a report, or one from before our time, shows what may be over by now.
        if (!proven && !knownCancelled) return;
        if (!adoptable) {
            commands.push_back({CommandKind::stop, task.job, task.index, task.attempt, {}});
            return;
        }
        spdlog::info("task {}/{}: found on {} without a record", task.job, task.index, machine.id);
        Claim found;
        found.task = task.index;
        found.machine = machine.id;
        found.attempt = task.attempt;
        found.seen = true;
        found.state = task.state;
        found.made = context_.now();
        clusterState.addClaim(*job, *slice, std::move(found));
        onChange();
        return;
    }
    claim->seen = true;
    claim->state = task.state;
    if (task.state == TaskState::exited) {
        if (task.cause != ExitCause::alone || !mayWaitOn(clusterState, machine, *job, *claim))
            return takeExit(clusterState, machine, *job, *slice, *claim, task);
        // The others still fetch. Its place stands, and under the same attempt it waits on there:
        // whole gangs lost their places because one machine fetched longer than they may wait.
        spdlog::debug("task {}/{}: waits on at {}", task.job, task.index, machine.id);
        claim->state = TaskState::fetching;
        commands.push_back({CommandKind::forget, task.job, task.index, task.attempt, {}});
        commands.push_back({CommandKind::start, task.job, task.index, task.attempt, {}});
        return;
    }
    if (task.state != TaskState::fetching) clusterState.recordImage(machine, job->spec);
    if (task.state == TaskState::running && !claim->ran) {
        claim->ran = context_.now();
        spdlog::debug("task {}/{}: runs on {}, {:.1f} s after its placement", task.job, task.index,
                      machine.id, Seconds(*claim->ran - claim->made).count());
    }
    if (task.state == TaskState::running) failures_.noteRunning(*job, *slice, *claim);
    if (knownCancelled || machine.retired)
        commands.push_back({CommandKind::stop, task.job, task.index, task.attempt, {}});
    else if (claim->stopGrace && task.state != TaskState::saving)
        commands.push_back(
            {CommandKind::stop, task.job, task.index, task.attempt, *claim->stopGrace});
}

bool Reports::mayWaitOn(const ClusterState& clusterState, const Machine& machine, const Job& job,
                        const Claim& claim) const {
    if (!mayStartOn(machine) || !startable(clusterState, job, claim) ||
        context_.now() - claim.made > ticks(context_.settings.gangWait * waitsOn))
        return false;
    return std::all_of(job.slices.begin(), job.slices.end(), [](const Slice& slice) {
        return std::none_of(slice.claims.begin(), slice.claims.end(),
                            [](const Claim& other) { return other.ran.has_value(); });
    });
}

bool Reports::mayStartOn(const Machine& machine) const {
    // Without the state service a start would rest on records that may have changed.
    return membership_.leaseStands() && !machine.retired && !machine.noticeEnds &&
           machine.acknowledgedToken >= machine.firstFencingToken;
}

void Reports::takeExit(ClusterState& clusterState, Machine& machine, Job& job, Slice& slice,
                       Claim& claim, const protocol::TaskReport& task) {
    if (!claim.durable) return;  // its record is being written; the report will say it again
    const auto now = context_.now();
    spdlog::debug("task {}/{}: ended on {}, cause {}", task.job, task.index, machine.id,
                  static_cast<int>(task.cause));
    switch (task.cause) {
        case ExitCause::done:
            slice.touch();
            slice.markDone(task.index);
            failures_.noteDone(clusterState, machine, job);
            // The tasks of a gang complete together.
            if (job.spec.kind == protocol::JobKind::gang)
                for (auto& other : job.slices) {
                    other.touch();
                    for (auto t = other.first; t < other.first + other.done.size(); ++t)
                        other.markDone(t);
                }
            break;
        case ExitCause::error:
            failures_.noteError(clusterState, machine, job, slice, claim);
            break;
        case ExitCause::noRoom:
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
    clusterState.removeClaim(job, slice, task.index);
    if (machine.claims.empty()) machine.idleSince = now;
    onChange();
}

bool Reports::startable(const ClusterState& clusterState, const Job& job, const Claim& claim) {
    if (!claim.durable || claim.giveUp || claim.stopGrace || !clusterState.startable(job))
        return false;
    if (job.spec.kind != protocol::JobKind::gang) return true;
    // A gang is started only when every task has its durable place.
    std::size_t placed = 0;
    for (const auto& slice : job.slices) {
        for (const auto& other : slice.claims)
            if (other.attempt == claim.attempt && other.durable) ++placed;
    }
    return placed == job.spec.tasks;
}

void Reports::addStarts(ClusterState& clusterState, Machine& machine,
                        const protocol::WorkerReport& report, std::vector<Command>& commands) {
    if (!mayStartOn(machine) || report.fencingToken < machine.firstFencingToken) return;
    for (const auto& ref : machine.claims) {
        if (find(report, ref) != nullptr) continue;
        const auto [job, slice, claim] = clusterState.held(ref);
        if (claim == nullptr || slice->partition != machine.partition) continue;
        if (!startable(clusterState, *job, *claim)) continue;
        ++claim->startsSent;
        commands.push_back({CommandKind::start, ref.job, ref.task, ref.attempt, {}});
    }
}

void Reports::onPartitionAcquired(std::uint32_t partition) {
    const auto now = context_.now();
    auto clusterState = context_.clusterState.lock();
    for (auto* machine : clusterState->machinesOf(partition)) {
        machine->lastReport.reset();
        machine->session = machine->sequence = 0;
        machine->noticeEnds.reset();
        machine->unansweredUntil = {};
        machine->silentSince = machine->known = machine->idleSince =
            now + Membership::confirmationLasts;
    }
    for (auto& [id, job] : clusterState->jobs)
        for (auto& slice : job.slices)
            if (slice.partition == partition)
                for (auto& claim : slice.claims) claim.forgetState();
}

void Reports::stopNow(const std::string& id) {
    std::map<std::string, std::vector<Command>> orders;
    auto clusterState = context_.clusterState.lock();
    Job* job = clusterState->job(id);
    if (job == nullptr) return;
    for (const auto& slice : job->slices) {
        if (!membership_.isLeader(slice.partition)) continue;
        for (const auto& claim : slice.claims)
            if (claim.durable)
                orders[claim.machine].push_back(
                    {CommandKind::stop, id, claim.task, claim.attempt,
                     claim.stopGrace && !clusterState->knownCancelled(*job) ? *claim.stopGrace
                                                                            : Seconds(0)});
    }
    for (const auto& [name, commands] : orders) {
        if (const Machine* machine = clusterState->machine(name)) order(*machine, commands);
    }
}

void Reports::stopMarked(const std::string& name) {
    auto clusterState = context_.clusterState.lock();
    const Machine* machine = clusterState->machine(name);
    if (machine == nullptr || !membership_.isLeader(machine->partition)) return;
    std::vector<Command> commands;
    for (const auto& ref : machine->claims) {
        const auto [job, slice, claim] = clusterState->held(ref);
        if (claim != nullptr && claim->stopGrace && claim->state != TaskState::saving)
            commands.push_back(
                {CommandKind::stop, ref.job, ref.task, ref.attempt, *claim->stopGrace});
    }
    if (!commands.empty()) order(*machine, commands);
}

void Reports::order(const Machine& machine, const std::vector<Command>& commands) {
    if (machine.address.empty() || !machine.lastReport) return;
    order(machine.id, machine.session, commands, true);
}

void Reports::order(const std::string& id, std::uint64_t session,
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
    body[protocol::wire::session] = session;
    context_.network.call(
        address, {"POST", protocol::wire::pathOrders, protocol::encodeCbor(body)}, orderTimeout,
        [this, id, session, commands,
         mayRepeat](const std::optional<transport::HttpResponse>& response) {
            // Of a machine that has just come from another leader the session is not known here
            // yet. Without the repeat, stops of a job called off at that moment waited for its
            // report.
            if (!response || response->status != refusedOrder || !mayRepeat || commands.empty())
                return;
            const auto report = protocol::decodeCbor(response->body);
            const auto actual = report ? protocol::countOf(*report, protocol::wire::session) : 0;
            if (actual != 0 && actual != session) order(id, actual, commands, false);
        });
}

void Reports::requestReports(const std::set<std::string>& machines) {
    const auto now = context_.now();
    auto clusterState = context_.clusterState.lock();
    if (!membership_.leaseStands()) return;
    for (const auto& id : machines) {
        Machine* machine = clusterState->machine(id);
        if (machine == nullptr || !machine->lastReport ||
            !membership_.isLeader(machine->partition) || machine->noticeEnds ||
            machine->transferring ||
            now - machine->reportRequested < ticks(context_.settings.lease * 0.55))
            continue;
        // A higher token is a change that the worker reports; it does so for one in half a lease.
        // Late, this raises the token to no more than we answer with by then, and orders nothing.
        if (*machine->lastReport + ticks(context_.settings.report) - now < worthARequest) continue;
        machine->reportRequested = now;
        ++machine->fencingToken;
        order(*machine, {});
    }
}

void Reports::sendOn(const std::string& name) {
    auto clusterState = context_.clusterState.lock();
    Machine* machine = clusterState->machine(name);
    // The order carries the token with which its new leader begins.
    if (machine != nullptr) order(*machine, {});
}

void Reports::releaseClaims(Machine& machine, const char* why) {
    auto clusterState = context_.clusterState.lock();
    const auto claims = machine.claims;
    if (!claims.empty())
        spdlog::info("machine {}: {} tasks gone, {}", machine.id, claims.size(), why);
    for (const auto& ref : claims) {
        const auto [job, slice, claim] = clusterState->held(ref);
        if (claim == nullptr || !claim->durable) continue;
        clusterState->removeClaim(*job, *slice, ref.task);
    }
    if (!claims.empty()) onChange();
}

bool Reports::giverKnows(const ClusterState& clusterState, const Machine& machine) const {
    // Until the node that gave the machine away knows the outcome of its own transaction, it goes
    // on renewing the worker's lease, also through an outage of the state service. Counted from
    // when the change was seen here, the lease once would have seemed to end in such an outage.
    return machine.movedBy.empty() || machine.movedBy == context_.settings.name ||
           !clusterState.nodes.contains(machine.movedBy) ||
           membership_.appliedBy(machine.movedBy) >= machine.version;
}

void Reports::expireSilent(std::uint32_t partition) {
    const auto now = context_.now();
    const auto lease = ticks(context_.settings.lease * leaseDrift) + leaseMargin;
    auto clusterState = context_.clusterState.lock();
    for (auto* machine : clusterState->machinesOf(partition)) {
        // `silentSince` is the last moment at which anybody entitled could have renewed its lease.
        if (!machine->claims.empty() && !giverKnows(*clusterState, *machine))
            machine->silentSince = now + Membership::confirmationLasts;
        if (machine->claims.empty() || now - machine->silentSince <= lease) continue;
        releaseClaims(*machine, "its lease has run out");
        machine->endedSession = machine->session;
    }
    // A machine's record goes only after proof that the machine is gone; a leader that ended
    // between that and recording the end of its claims leaves them without a machine.
    for (auto& [id, job] : clusterState->jobs) {
        for (auto& slice : job.slices) {
            if (slice.partition != partition) continue;
            std::vector<std::uint32_t> lost;
            for (const auto& claim : slice.claims)
                if (claim.durable && clusterState->machine(claim.machine) == nullptr &&
                    !clusterState->corruptMachines.contains(claim.machine))
                    lost.push_back(claim.task);
            for (const auto task : lost) clusterState->removeClaim(job, slice, task);
        }
    }
}

}  // namespace fawnwheel::coordination
