// The simulated workers: heartbeats, commands, tasks, gangs, and faults of machines.
#include <algorithm>
#include <array>

#include "sim/simulation_internal.h"
#include "storage/records.h"

namespace fawnwheel::sim {

namespace {

constexpr Time step{0.25};
constexpr Time heartbeatInterval{3.0};
constexpr Time minHeartbeatGap{0.5};
constexpr Time heartbeatTimeout{4.0};
// When a command is repeated longer than a lease later.
constexpr double minRepeatedLeases = 1.2;
constexpr double maxRepeatedLeases = 2.5;
constexpr Time repeatAfterCancelLimit{2};
// When a start is repeated after its task has started elsewhere.
constexpr std::array repeatsAfterStart{Time(0.3), Time(3), Time(8)};
// After a partition's leader has changed.
constexpr std::array replayDelays{Time(0.2), Time(0.6), Time(1.5)};

}  // namespace

std::string machineId(std::size_t index) {
    const auto number = std::to_string(index);
    return "m-" + std::string(6 - number.size(), '0') + number;
}

Simulation::Worker* Simulation::worker(const std::string& id) {
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : found->second.get();
}

void Simulation::addMachine(const std::string& type, const std::string& zone, bool spot) {
    const auto name = machineId(static_cast<std::size_t>(nextMachine_++));
    auto w = std::make_unique<Worker>();
    w->id = name;
    w->type = type;
    w->zone = zone;
    w->spot = spot;
    w->provisionedAt = now_;
    const int randomFirstNode = randomNode();
    w->node = spec_.firstNode.value_or(randomFirstNode);
    const auto found = std::find_if(spec_.types.begin(), spec_.types.end(),
                                    [&](const auto& t) { return t.type.name == type; });
    const Time boot = now_ > Time(0)
                          ? found->type.bootTime * std::uniform_real_distribution<>(0.6, 1.5)(rng_)
                          : Time(0);
    at(now_ + boot, [this, name] { startWorker(*worker(name)); });
    workers_[name] = std::move(w);
}

void Simulation::startWorker(Worker& w) {
    if (w.terminated) return;
    w.up = true;
    w.leaseRenewedAt = now_;
    scheduleHeartbeat(w);
    stepWorker(w);
}

Json Simulation::heartbeatBody(Worker& w) const {
    Json tasks = Json::array();
    for (const auto& task : w.tasks) {
        Json entry{{wire::task, task.job + "/" + std::to_string(task.index)},
                   {wire::attempt, task.attempt},
                   {wire::state, task.state}};
        if (!task.cause.empty()) entry[wire::cause] = task.cause;
        if (task.kept) entry[wire::saved] = true;
        tasks.push_back(std::move(entry));
    }
    const auto address =
        spec_.externalNodes != nullptr ? spec_.externalNodes->addressOf(w.id) : w.id;
    Json body{{wire::machine, w.id},          {wire::address, address},
              {wire::type, w.type},           {wire::zone, w.zone},
              {wire::spot, w.spot},           {wire::agentEpoch, w.agentEpoch},
              {wire::sequence, w.sequence},   {wire::fencingToken, w.fencingToken},
              {wire::tasks, std::move(tasks)}};
    if (w.interruptionAt) body[wire::interruptionNotice] = (*w.interruptionAt - now_).count();
    return body;
}

void Simulation::postHeartbeat(int node, const Json& body,
                               std::function<void(int status, std::uint64_t fencingToken)> done) {
    request("users", nodes_[static_cast<std::size_t>(node)]->name,
            {"POST", wire::pathHeartbeat, protocol::encodeCbor(body)}, heartbeatTimeout,
            [done = std::move(done)](const std::optional<HttpResponse>& response) {
                const auto answered =
                    response ? protocol::decodeCbor(response->body) : std::nullopt;
                done(response ? response->status : 0,
                     answered ? protocol::countOf(*answered, wire::fencingToken) : 0);
            });
}

void Simulation::scheduleHeartbeat(Worker& w) {
    if (w.heartbeatScheduled) return;
    w.heartbeatScheduled = true;
    at(std::max(now_, w.lastHeartbeat + minHeartbeatGap), [this, id = w.id] {
        Worker& target = *worker(id);
        target.heartbeatScheduled = false;
        sendHeartbeat(target);
    });
}

void Simulation::sendHeartbeat(Worker& w) {
    if (w.terminated || !w.up || w.heartbeatInFlight) return;
    if (w.hangsUntil > now_) {
        at(w.hangsUntil, [this, id = w.id] { sendHeartbeat(*worker(id)); });
        return;
    }
    w.heartbeatInFlight = true;
    w.lastHeartbeat = now_;
    ++w.sequence;
    const auto number = ++w.heartbeatNumber;
    const auto sent = now_;
    const auto agentEpoch = w.agentEpoch;
    const HttpRequest sending{"POST", wire::pathHeartbeat, protocol::encodeCbor(heartbeatBody(w))};
    const auto& node = nodes_[static_cast<std::size_t>(w.node)]->name;
    keepExitHeartbeat(w, sending);
    if (std::uniform_real_distribution<>(0, 1)(rng_) < duplicatedFraction_)
        at(now_ + maxDuplicateDelay_ * std::uniform_real_distribution<>(0.02, 1)(rng_),
           [this, id = w.id, node, sending] {
               serve(id, node, sending, [](const HttpResponse&) {});
           });
    request(w.id, node, sending, heartbeatTimeout,
            [this, id = w.id, node, number, sent,
             agentEpoch](const std::optional<HttpResponse>& response) {
                Worker& target = *worker(id);
                if (target.terminated || target.heartbeatNumber != number) return;
                target.heartbeatInFlight = false;
                const auto body = response ? protocol::decodeCbor(response->body) : std::nullopt;
                if (response && response->status == 421 && body) {
                    const auto to = protocol::textOf(*body, wire::redirectTo);
                    for (std::size_t i = 0; i < nodes_.size(); ++i) {
                        if (nodes_[i]->name != to || static_cast<int>(i) == target.node) continue;
                        target.node = static_cast<int>(i);
                        return scheduleHeartbeat(target);
                    }
                }
                if (!response || response->status != 200 || !body) {
                    target.node = (target.node + 1) % spec_.nodes;
                    at(now_ + Time(1), [this, id] { scheduleHeartbeat(*worker(id)); });
                    return;
                }
                const auto fencingToken = protocol::countOf(*body, wire::fencingToken);
                if (fencingToken >= target.fencingToken && agentEpoch == target.agentEpoch) {
                    const bool higher = fencingToken > target.fencingToken;
                    target.fencingToken = fencingToken;
                    target.leaseRenewedAt = sent;
                    recordAnswered(target, node, fencingToken);
                    executeCommands(target, protocol::listOf(*body, wire::commands));
                    if (higher && now_ - target.fencingTokenReportedAt > spec_.lease / 2) {
                        target.fencingTokenReportedAt = now_;
                        scheduleHeartbeat(target);
                    }
                }
                const Time pause =
                    heartbeatInterval * std::uniform_real_distribution<>(0.75, 1.25)(rng_);
                at(now_ + pause, [this, id, number] {
                    if (worker(id)->heartbeatNumber == number) scheduleHeartbeat(*worker(id));
                });
            });
}

void Simulation::keepExitHeartbeat(Worker& w, const HttpRequest& heartbeat) {
    for (const auto& task : w.tasks)
        if (task.state == wire::stateExited) w.exitHeartbeats[task.cause] = {w.sequence, heartbeat};
}

void Simulation::observeLeaderChanges(const Json& writes) {
    if (now_ >= exitsReplayedUntil_) return;
    const auto prefix = storage::keys::partition(0);
    const auto kind = prefix.substr(0, prefix.rfind('/') + 1);
    const bool changed = std::any_of(writes.begin(), writes.end(), [&](const Json& write) {
        return protocol::textOf(write, wire::put).starts_with(kind);
    });
    if (!changed) return;
    for (const auto& entry : workers_) replayExitHeartbeats(*entry.second);
}

void Simulation::replayExitHeartbeats(Worker& w) {
    if (w.exitHeartbeats.empty() || w.terminated) return;
    w.upstreamLostUntil = now_ + exitSilence_;
    std::map<std::uint64_t, HttpRequest> bySequence;
    for (const auto& [cause, kept] : w.exitHeartbeats) bySequence.insert(kept);
    // The new leader accepts heartbeats once it has applied its acquisition.
    for (const Time delay : replayDelays)
        for (const auto& [sequence, heartbeat] : bySequence)
            for (const auto& node : nodes_)
                at(now_ + delay, [this, id = w.id, name = node->name, heartbeat = heartbeat] {
                    serve(id, name, heartbeat, [](const HttpResponse&) {});
                });
}

void Simulation::recordTransfer(Worker& w, std::uint64_t floor) {
    ++transferStats_.transfers;
    w.transferredAt = now_;
    w.transferredFloor = floor;
    for (const auto& task : w.tasks) {
        if (!task.placed) continue;
        ++transferStats_.tasksMoved;
        checker_.machineTransferred(task.job, task.index, w.id, now_);
    }
}

void Simulation::recordAnswered(Worker& w, const std::string& node, std::uint64_t fencingToken) {
    checker_.responseAccepted(w.id, node, fencingToken);
    const auto before = std::exchange(w.answeredAt, now_);
    if (const auto cut = w.cutsAfterResponse.extract(node))
        cutLink(node, w.id, cut.mapped(), false);
    if (!w.transferredAt || fencingToken < w.transferredFloor) return;
    const Time took = now_ - *w.transferredAt;
    ++transferStats_.responses;
    transferStats_.totalResponseDelay += took;
    transferStats_.maxResponseDelay = std::max(transferStats_.maxResponseDelay, took);
    if (before)
        transferStats_.maxHeartbeatGap = std::max(transferStats_.maxHeartbeatGap, now_ - *before);
    w.transferredAt.reset();
}

void Simulation::serveWorker(Worker& w, const HttpRequest& request, const HttpReply& reply) {
    if (request.path == wire::pathInspect) {
        ++w.sequence;
        return reply(answer(200, heartbeatBody(w)));
    }
    const auto body = protocol::decodeCbor(request.body);
    const auto fencingToken = body ? protocol::countOf(*body, wire::fencingToken) : 0;
    const auto agentEpoch = body ? protocol::countOf(*body, wire::agentEpoch) : 0;
    if (fencingToken < w.fencingToken || agentEpoch != w.agentEpoch)
        return reply(answer(409, heartbeatBody(w)));
    // A worker heartbeats at once when its token rises, at most once in half a lease.
    if (fencingToken > w.fencingToken && now_ - w.fencingTokenReportedAt > spec_.lease / 2) {
        w.fencingTokenReportedAt = now_;
        scheduleHeartbeat(w);
    }
    w.fencingToken = fencingToken;
    executeCommands(w, protocol::listOf(*body, wire::commands));
    ++w.sequence;
    reply(answer(200, heartbeatBody(w)));
}

void Simulation::repeatCommandAfter(Time delay, const std::string& id, const HttpRequest& request) {
    at(now_ + delay, [this, id, request] {
        Worker& target = *worker(id);
        if (!target.up || target.terminated || target.hangsUntil > now_) return;
        serveWorker(target, request, [](const HttpResponse&) {});
    });
}

void Simulation::repeatStarts(const std::string& machine, const std::string& task) {
    if (now_ >= commandsRepeatedUntil_) return;
    for (const auto& [id, other] : workers_)
        if (const auto start = other->directStarts.find(task);
            id != machine && start != other->directStarts.end())
            for (const Time delay : repeatsAfterStart) repeatCommandAfter(delay, id, start->second);
}

void Simulation::repeatStartsOfCancelled(const std::string& job) {
    if (now_ >= commandsRepeatedUntil_) return;
    for (const auto& [id, w] : workers_)
        for (const auto& [task, start] : w->directStarts)
            if (task.starts_with(job + "/"))
                repeatCommandAfter(spec_.cancel + repeatAfterCancelLimit, id, start);
}

void Simulation::repeatCommand(Worker& w, const HttpRequest& request) {
    const auto body = protocol::decodeCbor(request.body);
    if (!body) return;
    for (const auto& command : protocol::listOf(*body, wire::commands))
        if (protocol::textOf(command, wire::command) == wire::commandStart)
            w.directStarts[protocol::textOf(command, wire::task)] = request;
    const auto between = [this](Time least, Time most) {
        return Time(std::uniform_real_distribution<>(least.count(), most.count())(rng_));
    };
    for (const Time delay :
         {between(Time(0.001), Time(0.5)), between(Time(1), Time(10)),
          between(spec_.lease * minRepeatedLeases, spec_.lease * maxRepeatedLeases)})
        repeatCommandAfter(delay, w.id, request);
}

void Simulation::executeCommands(Worker& w, const Json& commands) {
    for (const auto& command : commands) {
        const auto op = protocol::textOf(command, wire::command);
        const auto name = protocol::textOf(command, wire::task);
        const auto slash = name.rfind('/');
        const auto job = name.substr(0, slash);
        const auto index = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
        const auto attempt = protocol::countOf(command, wire::attempt);
        const auto found = std::find_if(w.tasks.begin(), w.tasks.end(), [&](const Task& t) {
            return t.job == job && t.index == index && t.attempt == attempt;
        });
        if (op == wire::commandForget) {
            if (found != w.tasks.end() && found->state == wire::stateExited) w.tasks.erase(found);
        } else if (op == wire::commandStop) {
            if (found == w.tasks.end() || found->state == wire::stateExited) continue;
            const auto& simulatedJob = simulatedJobs_[job];
            const Time grace(protocol::numberOf(command, wire::grace));
            if (found->state == wire::stateRunning &&
                simulatedJob.spec.checkpointInterval.count() > 0 &&
                grace >= simulatedJob.spec.checkpointDuration) {
                found->state = wire::stateSaving;
                found->saveEndsAt = now_ + simulatedJob.spec.checkpointDuration;
            } else if (found->state != wire::stateSaving || grace == Time(0)) {
                endTask(w, *found, wire::causeStopped, false);
            }
        } else if (found == w.tasks.end()) {
            Task task;
            task.job = job;
            task.index = index;
            task.attempt = attempt;
            const auto& simulatedJob = simulatedJobs_[job];
            const auto type = std::find_if(spec_.types.begin(), spec_.types.end(),
                                           [&](const auto& t) { return t.type.name == w.type; });
            protocol::Resources used = simulatedJob.spec.taskResources;
            bool busy = false;
            for (const auto& other : w.tasks) {
                if (other.state == wire::stateExited) continue;
                used += simulatedJobs_[other.job].spec.taskResources;
                busy = busy || (other.job == job && other.index == index);
            }
            const char* refusal = !simulatedJob.submitted           ? wire::causeUnknown
                                  : busy                            ? wire::causeDuplicateTask
                                  : !used.fits(type->type.capacity) ? wire::causeNoCapacity
                                                                    : nullptr;
            if (refusal != nullptr) {
                task.state = wire::stateExited;
                task.cause = refusal;
            } else {
                const bool cached = std::find(w.images.begin(), w.images.end(),
                                              simulatedJob.spec.image) != w.images.end();
                task.imageReadyAt =
                    now_ + Time(cached ? 0.0 : simulatedJob.spec.imageSize / type->type.fetchRate);
            }
            w.tasks.push_back(std::move(task));
        }
        scheduleHeartbeat(w);
    }
}

void Simulation::endTask(Worker& w, Task& task, const char* cause, bool kept) {
    const bool done = std::string(cause) == wire::causeDone;
    if (task.placed) checker_.ended(task.job, task.index, w.id, done, now_);
    if (!done) checker_.endedIncomplete(task.job, task.index, w.id, cause, now_);
    if (done) {
        SimulatedJob& simulatedJob = simulatedJobs_[task.job];
        simulatedJob.done.insert(task.index);
        if (simulatedJob.done.size() == simulatedJob.spec.tasks && now_ < cancelAtEndUntil_ &&
            std::uniform_real_distribution<>(0, 1)(rng_) < cancelAtEndFraction_)
            at(now_, [this, job = task.job] { cancel(job); });
    }
    task.placed = false;
    task.state = wire::stateExited;
    task.cause = cause;
    task.kept = kept;
    scheduleHeartbeat(w);
}

void Simulation::killAllTasks(Worker& w) {
    for (auto& task : w.tasks) {
        if (!task.placed) continue;
        checker_.ended(task.job, task.index, w.id, false, now_);
        checker_.endedIncomplete(task.job, task.index, w.id, "its lease or machine ended", now_);
    }
    w.tasks.clear();
}

void Simulation::stepWorker(Worker& w) {
    if (w.terminated) return;
    if (w.interruptionAt && now_ >= *w.interruptionAt) {
        killAllTasks(w);
        w.terminated = true;
        return;
    }
    at(now_ + step, [this, id = w.id] { stepWorker(*worker(id)); });
    if (w.hangsUntil > now_) return;
    if (now_ - w.leaseRenewedAt > spec_.lease) {
        killAllTasks(w);
        ++w.agentEpoch;
        w.leaseRenewedAt = now_;
        scheduleHeartbeat(w);
        return;
    }
    std::set<std::string> gangs;
    for (auto& task : w.tasks) {
        SimulatedJob& simulatedJob = simulatedJobs_[task.job];
        const bool gang = simulatedJob.spec.kind == protocol::JobKind::gang;
        if (task.state == wire::stateFetching && now_ >= task.imageReadyAt) {
            if (std::find(w.images.begin(), w.images.end(), simulatedJob.spec.image) ==
                w.images.end())
                w.images.push_back(simulatedJob.spec.image);
            task.placed = true;
            checker_.started(task.job, task.index, {w.id, w.type, w.zone, w.spot}, now_);
            repeatStarts(w.id, task.job + "/" + std::to_string(task.index));
            task.state = gang ? wire::stateWaiting : wire::stateRunning;
            task.waitingSince = now_;
            task.progress = simulatedJob.saved[task.index];
            scheduleHeartbeat(w);
        } else if (task.state == wire::stateSaving) {
            if (now_ >= *task.saveEndsAt) {
                simulatedJob.saved[task.index] = task.progress;
                endTask(w, task, wire::causeStopped, true);
            }
        } else if (task.state == wire::stateRunning) {
            task.progress += step;
            if (simulatedJob.spec.checkpointInterval.count() > 0 && !gang) {
                const auto whole = std::floor(task.progress / simulatedJob.spec.checkpointInterval);
                simulatedJob.saved[task.index] =
                    std::max(simulatedJob.saved[task.index],
                             Time(simulatedJob.spec.checkpointInterval) * whole);
            }
            if (w.faulty || simulatedJob.faulty)
                endTask(w, task, wire::causeError, false);
            else if (simulatedJob.done.contains(task.index) ||
                     (simulatedJob.spec.kind != protocol::JobKind::service && !gang &&
                      task.progress >= simulatedJob.runs))
                endTask(w, task, wire::causeDone, false);
        }
        if (gang) gangs.insert(task.job);
    }
    for (const auto& job : gangs) stepGang(job);
}

void Simulation::stepGang(const std::string& job) {
    const SimulatedJob& simulatedJob = simulatedJobs_[job];
    std::map<std::uint64_t, std::vector<std::pair<Worker*, Task*>>> attempts;
    for (const auto& [id, w] : workers_)
        if (!w->terminated)
            for (auto& task : w->tasks)
                if (task.job == job && task.placed)
                    attempts[task.attempt].emplace_back(w.get(), &task);
    for (auto& entry : attempts) {
        auto& members = entry.second;
        const auto inState = [&members](const char* state) {
            return static_cast<std::size_t>(
                std::count_if(members.begin(), members.end(),
                              [state](const auto& m) { return m.second->state == state; }));
        };
        const auto running = inState(wire::stateRunning);
        const auto waiting = inState(wire::stateWaiting);
        const bool whole = members.size() == simulatedJob.spec.tasks;
        // The tasks of a gang complete together, and a hanging machine does not execute its task.
        const bool finished =
            whole && running == members.size() &&
            std::all_of(members.begin(), members.end(), [&](const auto& m) {
                return m.second->progress >= simulatedJob.runs && m.first->hangsUntil <= now_;
            });
        for (auto& [w, task] : members) {
            if (w->hangsUntil > now_) continue;
            if (finished) {
                endTask(*w, *task, wire::causeDone, false);
            } else if (task->state == wire::stateWaiting) {
                if (whole && running + waiting == members.size()) {
                    task->state = wire::stateRunning;
                    scheduleHeartbeat(*w);
                } else if (now_ - task->waitingSince > gangWait) {
                    endTask(*w, *task, wire::causeGangIncomplete, false);
                }
            } else if (task->state == wire::stateRunning && !whole) {
                if (!task->peerLossDeadline) task->peerLossDeadline = now_ + gangPeer;
                if (now_ >= *task->peerLossDeadline)
                    endTask(*w, *task, wire::causePeersGone, false);
            }
        }
    }
}

void Simulation::cutAfterResponse(std::size_t machine, int node, Time length) {
    const auto& name = nodes_[static_cast<std::size_t>(node)]->name;
    nth(workers_, machine).cutsAfterResponse[name] = length;
}

void Simulation::hangMachine(std::size_t machine, Time length) {
    nth(workers_, machine).hangsUntil = now_ + length;
    checker_.faultsUntil(now_ + length);
}

void Simulation::failMachine(std::size_t machine) {
    Worker& w = nth(workers_, machine);
    killAllTasks(w);
    w.terminated = true;
}

void Simulation::restartMachine(std::size_t machine, Time down, Restart restart) {
    Worker& w = nth(workers_, machine);
    if (w.terminated || !w.up) return;
    killAllTasks(w);
    w.up = false;
    // The response to a heartbeat in flight finds nobody.
    ++w.heartbeatNumber;
    w.heartbeatInFlight = false;
    if (!restart.sameEpoch) ++w.agentEpoch;
    if (!restart.sameToken) w.fencingToken = 0;
    checker_.faultsUntil(now_ + down);
    at(now_ + down, [this, id = w.id] {
        Worker& target = *worker(id);
        if (target.terminated) return;
        target.up = true;
        target.leaseRenewedAt = now_;
        scheduleHeartbeat(target);
    });
}

void Simulation::sendInterruptionNotice(std::size_t machine, Time left) {
    Worker& w = nth(workers_, machine);
    w.interruptionAt = now_ + left;
    scheduleHeartbeat(w);
}

void Simulation::makeMachineFaulty(std::size_t machine) {
    nth(workers_, machine).faulty = true;
}

std::size_t Simulation::machinesUp() const {
    return static_cast<std::size_t>(std::count_if(workers_.begin(), workers_.end(), [](auto& w) {
        return w.second->up && !w.second->terminated;
    }));
}

}  // namespace fawnwheel::sim
