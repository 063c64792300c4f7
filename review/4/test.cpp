// A gang's task that waited in vain starts again in the same attempt. A late copy of the report
// that showed the end of its first wait reaches the next leader.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "world.h"

using world::Json;

namespace {

constexpr int gangs = 8;
constexpr int plainMachines = 3;     // hold one task of a gang and nothing else
constexpr int gpuMachines = 16;      // hold one task of a gang, or two, beside small tasks
constexpr double gangRuns = 300;     // longer than the test
constexpr double slowPull = 42;      // 6.5 GB at 0.15 GB/s
constexpr double submissions = 1.0;  // between two small jobs
constexpr double goodGap = 2.4;      // between the reports of a gang's machines
constexpr double longestWait = 14;   // for a good moment to stop the leader

struct Case {
    explicit Case(const std::string& daemon, const std::string& record, bool disturbed)
        : w(deployment(), daemon, record), trouble(disturbed) {}

    static world::Deployment deployment() {
        world::Deployment d;
        d.nodeZones = {"lalitpur", "baneshwor", "lalitpur"};
        d.zones = {"lalitpur", "baneshwor"};
        d.teams.push_back({{"name", "crew"}, {"cpus_max", 0.0}, {"gpus_max", 0.0}});
        d.types = {{"majhaula", 32, 0, 128, 50, 0.15, 2.09, d.zones},
                   {"himal", 48, 8, 288, 120, 0.15, 27.49, d.zones}};
        return d;
    }

    int run() {
        int number = 0;
        for (int i = 0; i < plainMachines; ++i)
            w.addMachine("majhaula", "lalitpur", false, ++number);
        for (int i = 0; i < gpuMachines; ++i) w.addMachine("himal", "lalitpur", false, ++number);
        for (int i = 0; i < w.nodeCount(); ++i) w.startNode(i);
        w.pullSeconds = [](world::Worker&, const std::string& job, std::uint32_t index) {
            // The image is in the cache of the machines of the first tasks.
            return job.starts_with("run-gang") && index == 1 ? slowPull : 0.0;
        };
        w.onReportSent = [this](world::Worker& worker, const Json& report, int) {
            for (const auto& hoof : report["hooves"])
                if (hoof.value("cause", "") == "incomplete") kept[worker.id] = report;
        };
        w.onReportAnswered = [this](world::Worker& worker, int node) {
            if (leader < 0 || node == leader || delivered || !led.contains(worker.id)) return;
            delivered = true;
            deliverCopies();
        };
        w.whenHealthy([this] { w.net.after(6, [this] { begin(); }); });
        w.net.after(30, [this] {
            if (!begun) w.finish(2);
        });
        return w.run();
    }

    void begin() {
        begun = true;
        for (int i = 0; i < gangs; ++i) {
            Json spec = world::jobSpec("run-gang" + std::to_string(i), "gang", 2, 30, 100);
            spec["coat"] = "img-gang" + std::to_string(i);
            spec["image_gb"] = 6.5;
            spec["together"] = true;
            spec["stride_s"] = gangRuns;
            w.submitUntilAccepted(i % w.nodeCount(), spec, gangRuns);
        }
        w.net.after(4, [this] { submitSmall(); });
        w.net.after(56, [this] {
            waitsSince = net::now();
            disturb();
        });
    }

    void submitSmall() {
        Json spec = world::jobSpec("run-small" + std::to_string(small), "batch", 20, 1, 3.2);
        spec["breeds"] = {"himal"};
        spec["coat"] = "img-small";
        spec["image_gb"] = 1.0;
        w.submitUntilAccepted(small++ % w.nodeCount(), spec, w.uniform(9, 19));
        w.net.after(submissions, [this] { submitSmall(); });
    }

    // The machines of a gang's two tasks, if its first task has waited twice.
    std::optional<std::pair<world::Worker*, world::Worker*>> machinesOf(int gang) {
        const std::string job = "run-gang" + std::to_string(gang);
        const auto one = w.holdersOf(job, 0);
        const auto two = w.holdersOf(job, 1);
        if (one.size() != 1 || two.size() != 1 || !kept.contains(one.front()->id)) return {};
        return std::pair{one.front(), two.front()};
    }

    // Stops a leader when the machine of a gang's first task has just reported and that of the
    // second is about to.
    void disturb() {
        world::Worker* chosen = nullptr;
        double best = -10;
        for (int gang = 0; gang < gangs; ++gang) {
            const auto pair = machinesOf(gang);
            if (!pair || pair->first->lastAnsweredBy != pair->second->lastAnsweredBy) continue;
            const double gap = pair->first->dueAt - std::max(net::now(), pair->second->dueAt);
            if (gap <= best) continue;
            best = gap;
            chosen = pair->first;
        }
        if (chosen == nullptr) {
            w.log("no gang whose first task has waited twice");
            return w.finish(2);
        }
        if (best < goodGap && net::now() - waitsSince < longestWait)
            return w.net.after(0.02, [this] { disturb(); });
        w.net.after(25, [this] { w.finish(); });
        if (!trouble) return;
        leader = chosen->lastAnsweredBy;
        w.log("the leader of " + chosen->id + " stops, gap " + std::to_string(best));
        for (const auto& [id, worker] : w.workers)
            if (worker->lastAnsweredBy == leader) led.insert(id);
        w.signalNode(leader, SIGSTOP);
    }

    void deliverCopies() {
        for (const auto& [id, report] : kept) {
            if (!led.contains(id)) continue;
            for (int node = 0; node < w.nodeCount(); ++node) {
                if (node == leader) continue;
                w.log("late copy of the report of " + id + " with tick " +
                      std::to_string(report["tick"].get<std::uint64_t>()) + " to " +
                      w.nodeName(node));
                w.net.call(w.front(node), {"POST", "/v1/report", world::encode(report)}, 4,
                           [](int, const std::string&) {});
            }
        }
    }

    world::World w;
    bool trouble = true;
    bool begun = false;
    bool delivered = false;
    double waitsSince = 0;
    int leader = -1;
    int small = 0;
    std::set<std::string> led;
    std::map<std::string, Json> kept;
};

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return 2;
    const char* word = std::getenv("TROUBLE");
    try {
        Case test(argv[1], argv[2], word == nullptr || std::string(word) != "0");
        return test.run();
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
