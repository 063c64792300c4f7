#include "sim/scenario_actions.h"

#include <map>

namespace fawnwheel::sim {

namespace {

using Action = void (*)(Simulation&, const ScenarioLine&);

constexpr std::size_t maxCutMachines = 60;  // cut off by `cut-workers`

Time timeAt(const ScenarioLine& line, std::size_t index) {
    return Time(line.numberAt(index));
}

int nodeAt(const ScenarioLine& line, std::size_t index) {
    return static_cast<int>(line.numberAt(index));
}

int countAt(const ScenarioLine& line, std::size_t index) {
    return static_cast<int>(line.numberAt(index));
}

std::size_t machineAt(const ScenarioLine& line, std::size_t index) {
    return static_cast<std::size_t>(line.numberAt(index));
}

protocol::JobSpec parseJob(const ScenarioLine& line, std::size_t from) {
    protocol::JobSpec spec;
    spec.id = line.at(from);
    spec.jobClass = line.text("class", "test");
    spec.team = line.text("team", "crew");
    const auto kind = line.text("kind", "array");
    spec.kind = kind == "gang"      ? protocol::JobKind::gang
                : kind == "service" ? protocol::JobKind::service
                                    : protocol::JobKind::array;
    const auto priority = line.text("priority", "normal");
    spec.priority = priority == "production" ? protocol::Priority::production
                    : priority == "high"     ? protocol::Priority::high
                    : priority == "low"      ? protocol::Priority::low
                                             : protocol::Priority::normal;
    spec.tasks = static_cast<std::uint32_t>(line.number("tasks", 1));
    spec.taskResources = {line.number("cpus", 1), line.number("gpus", 0), line.number("memory", 1)};
    spec.image = line.text("image", "img-1");
    spec.imageSize = line.number("image_gb", 1);
    if (line.has("type")) spec.types = {{line.text("type")}};
    if (line.has("zone")) spec.zone = line.text("zone");
    spec.oneZone = line.has("one-zone");
    spec.spread = line.has("spread");
    spec.spot = line.has("spot");
    spec.estimate = Time(line.number("runs", 10));
    spec.checkpointInterval = Time(line.number("checkpoint-interval", 0));
    spec.checkpointDuration = Time(line.number("checkpoint-duration", 1));
    if (line.has("deadline")) spec.deadline = Time(line.number("deadline"));
    if (line.has("after")) spec.dependencies = splitNames(line.text("after"));
    return spec;
}

// Submits job ID-0-0 and `width` parallel chains of jobs that depend on it. Chain C consists of
// ID-1-C, ID-2-C and so on.
void submitChains(Simulation& simulation, const ScenarioLine& line) {
    const int stages = static_cast<int>(line.number("stages", 3));
    const int width = static_cast<int>(line.number("width", 1));
    const auto name = [&line](int stage, int chain) {
        return line.at(3) + "-" + std::to_string(stage) + "-" + std::to_string(chain);
    };
    for (int stage = 0; stage < stages; ++stage)
        for (int chain = 0; chain < (stage == 0 ? 1 : width); ++chain) {
            auto job = parseJob(line, 3);
            job.id = name(stage, chain);
            if (stage > 0) job.dependencies = {name(stage - 1, stage == 1 ? 0 : chain)};
            simulation.submit(job, Time(line.number("runs", 10)), false);
        }
}

void submitJobs(Simulation& simulation, const ScenarioLine& line) {
    const int count = static_cast<int>(line.number("count", 1));
    for (int i = 0; i < count; ++i) {
        auto job = parseJob(line, 3);
        if (count > 1) job.id += "-" + std::to_string(i);
        simulation.submit(job, Time(line.number("runs", 10)), line.has("faulty"));
    }
}

void upgradeInTurn(Simulation& simulation, const ScenarioLine& line) {
    for (int node = 0; node < simulation.nodeCount(); ++node)
        simulation.at(simulation.now() + timeAt(line, 4) * node, [&simulation, node, line] {
            simulation.upgrade(node, Time(line.numberAt(6)));
        });
}

void cutWorkers(Simulation& simulation, const ScenarioLine& line) {
    for (std::size_t machine = 0; machine < maxCutMachines; ++machine)
        simulation.cutLink("node-" + line.at(3), machineId(machine), timeAt(line, 5),
                           line.has("hold"));
}

void killInTurn(Simulation& simulation, const ScenarioLine& line) {
    for (int node = 0; node < simulation.nodeCount(); ++node)
        simulation.at(simulation.now() + timeAt(line, 4) * node,
                      [&simulation, node, line] { simulation.kill(node, Time(line.numberAt(6))); });
}

using Actions = std::map<std::string, Action>;

// Requests of users.
const Actions& userActions() {
    static const Actions byName{
        {"job", submitJobs},
        {"chains", submitChains},
        {"cancel",
         [](Simulation& simulation, const ScenarioLine& line) { simulation.cancel(line.at(3)); }},
        {"complete", [](Simulation& simulation,
                        const ScenarioLine& line) { simulation.completeJob(line.at(3)); }},
        {"get-status", [](Simulation& simulation,
                          const ScenarioLine& line) { simulation.getStatus(line.at(3)); }},
        {"ask-all-nodes",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.askAllNodes(timeAt(line, 4));
         }},
        {"poll-storm",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.pollStorm(line.numberAt(3), timeAt(line, 5));
         }},
        {"cancel-running",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.cancelRunning(countAt(line, 3), Time(line.number("hang")));
         }},
        {"cancel-at-end",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.cancelAtEnd(line.numberAt(3), timeAt(line, 5));
         }},
        {"odd-requests",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.sendIrregularRequests(timeAt(line, 4));
         }},
    };
    return byName;
}

// Faults of the nodes, the state service and the cloud.
const Actions& serviceFaults() {
    static const Actions byName{
        {"kill",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.kill(nodeAt(line, 3), timeAt(line, 5));
         }},
        {"roll", killInTurn},
        {"upgrade",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.upgrade(nodeAt(line, 3), timeAt(line, 5));
         }},
        {"upgrade-roll", upgradeInTurn},
        {"lower-limits",
         [](Simulation& simulation, const ScenarioLine&) { simulation.applyAnnouncedLimits(); }},
        {"state-outage", [](Simulation& simulation,
                            const ScenarioLine& line) { simulation.stateOutage(timeAt(line, 3)); }},
        {"cloud-outage", [](Simulation& simulation,
                            const ScenarioLine& line) { simulation.cloudOutage(timeAt(line, 3)); }},
        {"break-lists",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.breakMachineLists(timeAt(line, 3));
         }},
        {"refuse-state",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.rejectStateRequests(nodeAt(line, 3), timeAt(line, 5));
         }},
        {"refuse-state-until-lease-ends",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.rejectUntilLeaseEnds(nodeAt(line, 3));
         }},
        {"late-writes",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.delayWrites(line.numberAt(3), timeAt(line, 5));
         }},
        {"late-machine-record",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.delayMachineRecord(machineAt(line, 3), nodeAt(line, 4), timeAt(line, 6));
         }},
        {"late-job-record",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.delayJobRecord(line.at(3), nodeAt(line, 4), Time(line.number("by")),
                                       Time(line.number("for")));
         }},
        {"slow-state",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.slowStateService(timeAt(line, 3), timeAt(line, 5));
         }},
        {"late-answers",
         [](Simulation& simulation, const ScenarioLine& line) {
             const auto kind = line.at(4) == "watch" ? Simulation::StateAnswer::watch
                                                     : Simulation::StateAnswer::read;
             simulation.delayStateAnswers(nodeAt(line, 3), kind, Time(line.number("by")),
                                          Time(line.number("for")));
         }},
        {"random-troubles",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.injectRandomFaults(countAt(line, 3), timeAt(line, 5));
         }},
    };
    return byName;
}

// Faults of the network between hosts.
const Actions& networkFaults() {
    static const Actions byName{
        {"cut",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.cutLink(line.at(3), line.at(4), timeAt(line, 6), line.has("hold"));
         }},
        {"cut-after-response",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.cutAfterResponse(machineAt(line, 3), nodeAt(line, 4), timeAt(line, 6));
         }},
        {"cut-workers", cutWorkers},
        {"cut-zone",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.cutZone(line.at(3), timeAt(line, 5), line.has("hold"));
         }},
        {"separate-zones",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.separateZones(line.at(3), line.at(4), timeAt(line, 6), line.has("hold"));
         }},
        {"refuse-peers",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.cutPeerLinks(timeAt(line, 4));
         }},
        {"isolate-from-state",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.isolateFromState(nodeAt(line, 3), timeAt(line, 5));
         }},
        {"frame-trouble",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.disruptFrames(line.number("lost"), line.number("copied"),
                                      Time(line.number("latest")), Time(line.number("for")));
         }},
        {"lose-answers",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.loseResponses(line.numberAt(3));
         }},
        {"repeat-requests",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.repeatRequests(line.numberAt(3), timeAt(line, 4));
         }},
        {"repeat-commands",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.repeatCommands(timeAt(line, 4));
         }},
        {"replay-exits",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.replayExitsAtNextLeader(Time(line.number("silence")),
                                                Time(line.number("for")));
         }},
        {"duplicate-heartbeats",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.duplicateHeartbeats(line.numberAt(3), timeAt(line, 4));
         }},
    };
    return byName;
}

// Faults of single machines.
const Actions& machineFaults() {
    static const Actions byName{
        {"hang",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.hangMachine(machineAt(line, 3), timeAt(line, 5));
         }},
        {"restart",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.restartMachine(machineAt(line, 3), timeAt(line, 5),
                                       {line.has("same-epoch"), line.has("same-token")});
         }},
        {"die", [](Simulation& simulation,
                   const ScenarioLine& line) { simulation.failMachine(machineAt(line, 3)); }},
        {"interruption-notice",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.sendInterruptionNotice(machineAt(line, 3), timeAt(line, 4));
         }},
        {"break",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.makeMachineFaulty(machineAt(line, 3));
         }},
        {"drop-downstream",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.dropDownstream(machineAt(line, 3), timeAt(line, 5));
         }},
        {"drop-upstream",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.dropUpstream(machineAt(line, 3), timeAt(line, 5));
         }},
        {"slow-links",
         [](Simulation& simulation, const ScenarioLine& line) {
             simulation.slowLinks(machineAt(line, 3), timeAt(line, 4), timeAt(line, 6));
         }},
    };
    return byName;
}

}  // namespace

void performAction(Simulation& simulation, const ScenarioLine& line) {
    for (const auto* actions :
         {&userActions(), &serviceFaults(), &networkFaults(), &machineFaults()})
        if (const auto action = actions->find(line.at(2)); action != actions->end())
            return action->second(simulation, line);
    throw InvalidScenario("unknown action: " + line.at(2));
}

}  // namespace fawnwheel::sim
