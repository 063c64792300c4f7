// Machine rebalancing between controllers that run as real processes:
// `loopback_sharing DAEMON OPERATOR_FILE SECONDS SEED [keep-logs]`. Controllers are killed with
// SIGKILL and restarted throughout, while gangs and arrays cause machine transfers between them.
// The run fails if a rule of the checker is violated (for instance by a task that ends because of a
// transfer), a job is not done at the end, a controller exits by itself, or no machine is
// transferred. All traffic stays on loopback, and the run ends after SECONDS.
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <iostream>

#include "loopback/processes.h"

namespace {

using namespace fawnwheel;
using sim::Time;

constexpr int nodes = 3;
constexpr int machines = 12;
constexpr Time lease{30};
constexpr Time cancelLimit{60};
constexpr Time killFreePeriod{20};        // before submissions end, so that all jobs get done
constexpr Time submissionFreePeriod{30};  // before the end of the run
constexpr Time residentFreePeriod{45};    // resident jobs end so long before the end of the run
constexpr int residentJobs = 6;
constexpr int gangsInWave = 3;  // submitted at once, so that they start on different controllers
constexpr double wavePeriod = 9;
constexpr double killPeriod = 12;

protocol::JobSpec makeJob(const std::string& id, protocol::JobKind kind, std::uint32_t tasks,
                          protocol::Resources each) {
    protocol::JobSpec spec;
    spec.id = id;
    spec.jobClass = kind == protocol::JobKind::gang ? "gangs" : "arrays";
    spec.team = "crew";
    spec.kind = kind;
    spec.priority = protocol::Priority::normal;
    spec.tasks = tasks;
    spec.taskResources = each;
    spec.image = "img-1";
    spec.imageSize = 0.1;
    // Long enough that even a short queue sends the next gang of a wave to another controller.
    spec.estimate = Time(30);
    return spec;
}

// Schedules all machines, jobs and kills. Resident tasks keep every machine from being lent; gangs
// that need more machines than one controller has then force transfers.
void scheduleEvents(sim::Simulation& simulation, Time length, std::uint64_t seed) {
    std::mt19937_64 rng(seed);
    const auto between = [&rng](double least, double most) {
        return std::uniform_real_distribution<>(least, most)(rng);
    };
    for (int i = 0; i < machines; ++i) simulation.addMachine("large", "a", false);
    const auto submit = [&simulation](Time at, const protocol::JobSpec& spec, Time runs) {
        simulation.at(at, [&simulation, spec, runs] { simulation.submit(spec, runs, false); });
    };
    const Time residents = length - residentFreePeriod;
    for (int i = 0; i < residentJobs; ++i)
        submit(Time(3),
               makeJob(fmt::format("run-r{}", i), protocol::JobKind::array, machines / residentJobs,
                       {1, 0, 70}),
               residents);
    int wave = 0;
    for (Time at(16); at < length - submissionFreePeriod;
         at += Time(between(0.7, 1.3) * wavePeriod), ++wave) {
        for (int i = 0; i < gangsInWave; ++i) {
            const auto tasks = static_cast<std::uint32_t>(between(3, 6));
            submit(at,
                   makeJob(fmt::format("run-g{}-{}", wave, i), protocol::JobKind::gang, tasks,
                           {20, 0, 50}),
                   Time(3));
        }
        submit(at + Time(1),
               makeJob(fmt::format("run-a{}", wave), protocol::JobKind::array, 8, {2, 0, 2}),
               Time(4));
    }
    for (Time at(16); at < length - submissionFreePeriod - killFreePeriod;
         at += Time(between(0.5, 1.5) * killPeriod)) {
        const int node = static_cast<int>(between(0, nodes));
        const Time down(between(0, 1) < 0.5 ? between(0.05, 0.8) : between(2, 7));
        simulation.at(at, [&simulation, node, down] { simulation.kill(node, down); });
    }
}

int report(const sim::Simulation& simulation, int unexpectedExits,
           std::vector<std::string> violations) {
    const auto& figures = simulation.transferStats();
    const auto perTransfer = [&figures](double total) {
        return total / std::max(1.0, static_cast<double>(figures.transfers));
    };
    std::cout << fmt::format(
        "{} moves with {} tasks, {:.1f} changes a move; until the new owner is heard {:.2f} s on "
        "average, {:.2f} s at most; longest pause of reports around a move {:.2f} s\n",
        figures.transfers, figures.tasksMoved, perTransfer(static_cast<double>(figures.writes)),
        figures.totalResponseDelay.count() / std::max(1.0, static_cast<double>(figures.responses)),
        figures.maxResponseDelay.count(), figures.maxHeartbeatGap.count());
    if (unexpectedExits > 0)
        violations.push_back(
            fmt::format("{} controllers exited without being killed", unexpectedExits));
    if (figures.transfers == 0) violations.emplace_back("no machine was transferred");
    for (const auto& breach : violations) std::cout << breach << '\n';
    std::cout << (violations.empty() ? "passed" : "failed") << '\n';
    return violations.empty() ? 0 : 1;
}

int run(const std::string& daemon, const std::string& operatorFile, Time length, std::uint64_t seed,
        bool keepLogs) {
    std::string directory = "/tmp/fawnwheel-loopback-XXXXXX";
    if (::mkdtemp(directory.data()) == nullptr) throw std::runtime_error("no directory in /tmp");
    config::Team team;
    team.name = "crew";
    team.cpusMax = machines * 32.0;
    loopback::Processes processes(
        {daemon, operatorFile, directory, nodes, {"a"}, {team}, lease, cancelLimit});
    sim::SimulationSpec spec;
    spec.seed = seed;
    spec.nodes = nodes;
    spec.zones = {"a"};
    spec.teams = {team};
    spec.lease = lease;
    spec.cancel = cancelLimit;
    spec.externalNodes = &processes;
    sim::TypeSpec type;
    type.type.name = "large";
    type.type.capacity = {32, 0, 128};
    type.type.cacheSize = 50;
    type.type.fetchRate = 1;
    type.type.price = 1;
    type.type.spotPrice = 1;
    type.type.bootTime = Time(20);
    type.capacity = machines;
    type.spotCapacity = 0;
    spec.types = {type};
    sim::Simulation simulation(spec);
    simulation.checker().forbidTransferDisruptions();
    scheduleEvents(simulation, length, seed);
    processes.runFor(simulation, length);
    simulation.finish();
    auto violations = simulation.checker().violations();
    for (const auto& job : simulation.unfinished())
        violations.push_back(job + " was not done at the end");
    const int result = report(simulation, processes.unexpectedExits(), std::move(violations));
    if (result == 0 && !keepLogs)
        std::filesystem::remove_all(directory);
    else
        std::cout << "logs in " << directory << '\n';
    return result;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 5) {
        std::cerr << "usage: loopback_sharing DAEMON OPERATOR_FILE SECONDS SEED [keep-logs]\n";
        return 2;
    }
    spdlog::set_level(spdlog::level::off);
    try {
        return run(argv[1], argv[2], Time(std::stod(argv[3])), std::stoull(argv[4]), argc > 5);
    } catch (const std::exception& error) {
        std::cerr << "loopback_sharing: " << error.what() << '\n';
        return 2;
    }
}
