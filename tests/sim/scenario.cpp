#include "sim/scenario.h"

#include <spdlog/fmt/fmt.h>

#include <map>

#include "sim/scenario_actions.h"

namespace fawnwheel::sim {

namespace {

constexpr unsigned long long defaultMaxSeeds = 1000;
constexpr Time defaultEnd{300};

using Setting = void (*)(SimulationSpec&, const ScenarioLine&);

RecordLimits recordLimitsOf(const ScenarioLine& line) {
    return {line.numberAt(1), static_cast<std::size_t>(line.numberAt(2))};
}

void setRebalancing(SimulationSpec& spec, const ScenarioLine& line) {
    auto& rebalancing = spec.operatorSettings.rebalancing;
    rebalancing.enabled = true;
    rebalancing.period = Time(line.number("period", rebalancing.period.count()));
    rebalancing.minTenure = Time(line.number("min-tenure", rebalancing.minTenure.count()));
    rebalancing.lowThreshold = line.number("low", rebalancing.lowThreshold);
    rebalancing.highThreshold = line.number("high", rebalancing.highThreshold);
    rebalancing.transfersPerMinute = line.number("transfers", rebalancing.transfersPerMinute);
    rebalancing.busyMachines = !line.has("idle-only");
    for (const auto& node : splitNames(line.text("without")))
        spec.nodesWithoutRebalancing.insert(std::stoi(node));
}

void addTeam(SimulationSpec& spec, const ScenarioLine& line) {
    config::Team team;
    team.name = line.at(1);
    team.cpusMax = line.number("cpus_max");
    team.gpusMax = line.number("gpus_max");
    spec.teams.push_back(team);
}

void addType(SimulationSpec& spec, const ScenarioLine& line) {
    TypeSpec type;
    type.type.name = line.at(1);
    type.type.capacity = {line.number("cpus", 8), line.number("gpus", 0),
                          line.number("memory", 32)};
    type.type.cacheSize = 50;
    type.type.fetchRate = line.number("fetch", 1);
    type.type.price = line.number("price", 1);
    type.type.spotPrice = line.number("spot_price", 0.4);
    type.type.bootTime = Time(line.number("boot", 20));
    type.capacity = static_cast<int>(line.number("capacity", 20));
    type.spotCapacity = static_cast<int>(line.number("spot_capacity", 0));
    spec.types.push_back(type);
}

const std::map<std::string, Setting>& settings() {
    static const std::map<std::string, Setting> byName{
        {"nodes",
         [](SimulationSpec& spec, const ScenarioLine& line) {
             spec.nodes = static_cast<int>(line.numberAt(1));
         }},
        {"zones",
         [](SimulationSpec& spec, const ScenarioLine& line) {
             spec.zones.assign(line.words.begin() + 1, line.words.end());
         }},
        {"lease", [](SimulationSpec& spec,
                     const ScenarioLine& line) { spec.lease = Time(line.numberAt(1)); }},
        {"cancel-limit", [](SimulationSpec& spec,
                            const ScenarioLine& line) { spec.cancel = Time(line.numberAt(1)); }},
        {"list-lag", [](SimulationSpec& spec,
                        const ScenarioLine& line) { spec.listLag = Time(line.numberAt(1)); }},
        {"node-lease",
         [](SimulationSpec& spec, const ScenarioLine& line) {
             spec.operatorSettings.nodeLease = Time(line.numberAt(1));
         }},
        {"first-node",
         [](SimulationSpec& spec, const ScenarioLine& line) {
             spec.firstNode = static_cast<int>(line.numberAt(1));
         }},
        {"idle",
         [](SimulationSpec& spec, const ScenarioLine& line) {
             spec.operatorSettings.idleBeforeScaleIn = Time(line.numberAt(1));
         }},
        {"state-limits",
         [](SimulationSpec& spec, const ScenarioLine& line) {
             spec.stateRequests = line.numberAt(1);
             spec.stateWrites = line.numberAt(2);
         }},
        {"record-limits",
         [](SimulationSpec& spec, const ScenarioLine& line) {
             spec.recordLimits = recordLimitsOf(line);
         }},
        {"next-limits",
         [](SimulationSpec& spec, const ScenarioLine& line) {
             spec.announcedLimits = recordLimitsOf(line);
         }},
        {"old-version", [](SimulationSpec& spec, const ScenarioLine&) { spec.oldVersion = true; }},
        {"rebalancing", setRebalancing},
        {"team", addTeam},
        {"type", addType},
    };
    return byName;
}

// Applies a line that concerns the running simulation. Returns false if its word is unknown.
bool prepare(Simulation& simulation, const ScenarioLine& line) {
    const auto& word = line.words.front();
    if (word == "machines") {
        for (int i = 0; i < line.numberAt(3); ++i)
            simulation.addMachine(line.at(1), line.at(2), line.has("spot"));
        return true;
    }
    if (word == "watch-transfers") {
        simulation.checker().forbidTransferDisruptions();
        return true;
    }
    if (word != "at") return false;
    simulation.at(Time(line.numberAt(1)), [&simulation, line] { performAction(simulation, line); });
    return true;
}

// The words that `Scenario` itself evaluates.
bool concernsScenario(const ScenarioLine& line) {
    const auto& word = line.words.front();
    return word == "seeds" || word == "end" || word == "expect";
}

void checkExpectation(Simulation& simulation, const ScenarioLine& line,
                      std::vector<std::string>& failures) {
    const auto& word = line.at(1);
    if (word == "status") {
        const auto state = simulation.lastReportedState(line.at(2));
        if (state != line.at(3))
            failures.push_back(line.at(2) + " was reported as " + state + ", not " + line.at(3));
    } else if (word == "status-by") {
        const auto reportedAt = simulation.firstReportedAt(line.at(2), line.at(3));
        if (!reportedAt || *reportedAt > Time(line.numberAt(4)))
            failures.push_back(line.at(2) + " was not reported as " + line.at(3) + " by " +
                               line.at(4));
    } else if (word == "starts-at-most") {
        if (static_cast<double>(simulation.checker().starts()) > line.numberAt(2))
            failures.push_back(std::to_string(simulation.checker().starts()) + " task starts");
    } else if (word == "transfers-at-least") {
        if (static_cast<double>(simulation.machineTransfers()) < line.numberAt(2))
            failures.push_back(std::to_string(simulation.machineTransfers()) +
                               " machine transfers");
    } else if (word == "transfers-at-most") {
        if (static_cast<double>(simulation.machineTransfers()) > line.numberAt(2))
            failures.push_back(std::to_string(simulation.machineTransfers()) +
                               " machine transfers");
    } else if (word == "starts-after-cancel-at-most") {
        if (static_cast<double>(simulation.checker().startsAfterCancel()) > line.numberAt(2))
            failures.push_back(std::to_string(simulation.checker().startsAfterCancel()) +
                               " task starts after a confirmed cancellation");
    } else if (word == "machines-at-most") {
        if (static_cast<double>(simulation.machinesUp()) > line.numberAt(2))
            failures.push_back(std::to_string(simulation.machinesUp()) + " machines up");
    } else {
        throw InvalidScenario("unknown expectation: " + word);
    }
}

}  // namespace

unsigned long long Scenario::maxSeeds() const {
    for (const auto& line : lines_)
        if (line.words.front() == "seeds") return std::stoull(line.at(1));
    return defaultMaxSeeds;
}

std::vector<std::string> Scenario::run(std::uint64_t seed) {
    SimulationSpec spec;
    spec.seed = seed;
    for (const auto& line : lines_)
        if (const auto setting = settings().find(line.words.front()); setting != settings().end())
            setting->second(spec, line);
    Simulation simulation(spec);
    Time end = defaultEnd;
    for (const auto& line : lines_) {
        const auto& word = line.words.front();
        if (word == "end") end = Time(line.numberAt(1));
        if (!settings().contains(word) && !concernsScenario(line) && !prepare(simulation, line))
            throw InvalidScenario("unknown statement: " + word);
    }
    simulation.run(end);
    costs_ = simulation.costs();
    history_ = simulation.history();
    auto failures = simulation.checker().violations();
    for (const auto& line : lines_)
        if (line.words.front() == "expect") checkExpectation(simulation, line, failures);
    return failures;
}

}  // namespace fawnwheel::sim
