// Machines shared by real processes: `loopback_sharing DAEMON OPERATOR_FILE SECONDS SEED`.
// Controllers are ended with SIGKILL and started again throughout, while gangs and arrays keep
// machines moving between them. All traffic stays on loopback, and the run ends by itself.
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
constexpr Time quietAtEnd{20};    // without kills, until all that was submitted should be done
constexpr Time lastWork{30};      // before the end nothing more is submitted
constexpr Time residentsEnd{45};  // so long before the end
constexpr int residentJobs = 6;
constexpr int gangsInWave = 3;  // at once, so that they begin with different controllers
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
    // So long that a short queue sends the next gang of a wave to another controller.
    spec.estimate = Time(30);
    return spec;
}

// Tasks that stay keep every machine from being lent; gangs that need more machines than one
// controller has make them move.
void plan(sim::World& world, Time length, std::uint64_t seed) {
    std::mt19937_64 rng(seed);
    const auto between = [&rng](double least, double most) {
        return std::uniform_real_distribution<>(least, most)(rng);
    };
    for (int i = 0; i < machines; ++i) world.addMachine("large", "a", false);
    const auto submit = [&world](Time at, const protocol::JobSpec& spec, Time runs) {
        world.at(at, [&world, spec, runs] { world.submit(spec, runs, false); });
    };
    const Time residents = length - residentsEnd;
    for (int i = 0; i < residentJobs; ++i)
        submit(Time(3),
               makeJob(fmt::format("run-r{}", i), protocol::JobKind::array, machines / residentJobs,
                       {1, 0, 70}),
               residents);
    int wave = 0;
    for (Time at(16); at < length - lastWork; at += Time(between(0.7, 1.3) * wavePeriod), ++wave) {
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
    for (Time at(16); at < length - lastWork - quietAtEnd;
         at += Time(between(0.5, 1.5) * killPeriod)) {
        const int node = static_cast<int>(between(0, nodes));
        const Time down(between(0, 1) < 0.5 ? between(0.05, 0.8) : between(2, 7));
        world.at(at, [&world, node, down] { world.kill(node, down); });
    }
}

int report(const sim::World& world, int endedThemselves, std::vector<std::string> breaches) {
    const auto& figures = world.transferFigures();
    const auto perMove = [&figures](double total) {
        return total / std::max(1.0, static_cast<double>(figures.moves));
    };
    std::cout << fmt::format(
        "{} moves with {} tasks, {:.1f} changes a move; until the new owner is heard {:.2f} s on "
        "average, {:.2f} s at most; longest pause of reports around a move {:.2f} s\n",
        figures.moves, figures.moved, perMove(static_cast<double>(figures.writes)),
        figures.untilHeard.count() / std::max(1.0, static_cast<double>(figures.heard)),
        figures.longestUntilHeard.count(), figures.longestPause.count());
    if (endedThemselves > 0)
        breaches.push_back(fmt::format("{} controllers ended by themselves", endedThemselves));
    if (figures.moves == 0) breaches.emplace_back("no machine changed hands");
    for (const auto& breach : breaches) std::cout << breach << '\n';
    std::cout << (breaches.empty() ? "passed" : "failed") << '\n';
    return breaches.empty() ? 0 : 1;
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
    sim::WorldSpec spec;
    spec.seed = seed;
    spec.nodes = nodes;
    spec.zones = {"a"};
    spec.teams = {team};
    spec.lease = lease;
    spec.cancel = cancelLimit;
    spec.outside = &processes;
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
    sim::World world(spec);
    world.checker().watchTransfers();
    plan(world, length, seed);
    processes.play(world, length);
    world.finish();
    auto breaches = world.checker().breaches();
    for (const auto& job : world.unfinished()) breaches.push_back(job + " was not done at the end");
    const int result = report(world, processes.endedThemselves(), std::move(breaches));
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
