// A leader of two partitions moves a job from one to the other. Before the transaction is carried
// out it reads all records anew and gives the job's task a place in the first partition.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "world.h"

using world::Json;

namespace {

constexpr int x = 0, y = 1, z = 2;    // controllers
constexpr double refusalAfter = 7.5;  // after the two crashes
constexpr double lateness = 2.5;      // of a transaction without an answer
constexpr double machinesKnown = 4.3;
constexpr double patience = 90;
constexpr double lastMoment = 117.5;
constexpr int lateAttempts = 2;

struct Case {
    Case(const std::string& daemon, const std::string& record, bool disturbed)
        : w(deployment(), daemon, record), trouble(disturbed) {}

    static world::Deployment deployment() {
        world::Deployment d;
        d.nodeZones = {"sandton", "capetown", "durban"};
        d.zones = d.nodeZones;
        d.report = 3;
        d.lease = 32;
        d.gangWait = 40;
        d.cancel = 62;
        d.stateRps = 60;
        d.stateWriteRps = 20;
        d.valueKb = 4;
        d.txnOps = 12;
        d.cloudRps = 2;
        d.listLag = 10;
        d.memoryMb = 56;
        d.sockets = 800;
        d.teams.push_back({{"name", "crew"}, {"cpus_max", 0.0}, {"gpus_max", 0.0}});
        d.types = {{"kudu", 32, 0, 256, 40, 1.0, 2.61, d.zones}};
        return d;
    }

    int run() {
        for (int number : {3, 6, 9, 1, 4, 2, 5})
            w.addMachine("kudu", w.deployment.zones[number % 3], false, number);
        for (int i = 0; i < w.nodeCount(); ++i) w.startNode(i);
        w.pullSeconds = [](world::Worker&, const std::string&, std::uint32_t) { return 0.0; };
        w.onTaskOnMachine = [this](world::Worker&, const world::Task& task) {
            if (task.job != "run-j") return;
            w.log("run-j has begun");
            if (begunWait || !trouble) w.finish(0);
            ran = true;
        };
        w.lateTransaction = [this](int node, const Json& body) {
            if (node != x || vanishedAt < 0 || late >= lateAttempts) return 0.0;
            for (const auto& write : body.value("writes", Json::array()))
                if (write.value("write", "").ends_with("/run-j")) {
                    w.log("a transaction that writes run-j gets no answer and is carried out late");
                    ++late;
                    return lateness;
                }
            return 0.0;
        };
        w.onHoldEnded = [this](const std::vector<std::string>& keys) {
            for (const auto& key : keys)
                if (key.ends_with("/" + w.nodeName(x)) && w.refusedNodes.contains(x)) vanished();
        };
        w.whenHealthy([this] { w.net.after(machinesKnown, [this] { submitAll(0); }); });
        w.net.after(lastMoment, [this] { w.finish(2); });
        return w.run();
    }

    Json small(const std::string& id, double cores) {
        Json spec = world::jobSpec(id, "batch", 1, cores, cores);
        spec["image_gb"] = 0.1;
        return spec;
    }

    // One after the other, so that each goes to a controller whose machines have room.
    void submitAll(int number) {
        if (number >= 14) return waitForFill();
        const bool fill = number < 7;
        const auto id = (fill ? "run-fill" : "run-keep") + std::to_string(number % 7);
        w.submitUntilAccepted(number % 3, small(id, fill ? 30 : 2), 500,
                              [this, number] { submitAll(number + 1); });
    }

    void waitForFill() {
        for (int i = 0; i < 7; ++i)
            if (w.holdersOf("run-fill" + std::to_string(i), 0).empty())
                return w.net.after(0.1, [this] { waitForFill(); });
        for (const auto& [id, worker] : w.workers) {
            owner[id] = worker->lastAnsweredBy;
            w.log(id + " reports to " + w.nodeName(owner[id]));
        }
        Json spec = small("run-j", 30);
        spec["stride_s"] = 5.0;
        spec["dusk_s"] = 5.0 + 0.3 + refusalAfter + 2.8;
        w.submit(x, spec, 2, [](int, const std::string&) {});
        if (!trouble) {
            w.net.after(refusalAfter, [this] {
                endFill(y);
                endFill(z);
            });
            w.net.after(refusalAfter + 4, [this] { endFill(x); });
            w.net.after(refusalAfter + patience, [this] {
                w.violated("run-j has waited for 90 s");
                w.finish();
            });
            return;
        }
        w.net.after(0.3, [this] {
            w.signalNode(z, SIGKILL);
            w.signalNode(y, SIGKILL);
            w.net.after(refusalAfter, [this] { refuse(); });
        });
    }

    void endFill(int of) {
        for (const auto& [id, worker] : w.workers)
            if (owner[id] == of)
                for (auto& task : worker->tasks)
                    if (task.job.starts_with("run-fill") && task.stance == "running") {
                        worker->remove(task, "done");
                        return worker->changed();
                    }
        w.log("no such machine");
        w.finish(2);
    }

    void refuse() {
        w.log("the state service refuses " + w.nodeName(x));
        w.refusedNodes.insert(x);
        w.startNode(y);
        w.net.after(0.15, [this] {
            endFill(y);
            endFill(z);
            endFill(z);
        });
    }

    void vanished() {
        vanishedAt = net::now();
        w.log("the lease of " + w.nodeName(x) + " has ended");
        w.net.after(0.1, [this] {
            w.log("the state service serves " + w.nodeName(x));
            w.refusedNodes.erase(x);
        });
        w.net.after(1.1, [this] { endFill(x); });
        w.net.after(4.3, [this] { w.startNode(z); });
        w.net.after(4.8, [this] {
            if (late == 0) {
                w.log("spoke-0 didn't begin to move run-j in time");
                return w.finish(2);
            }
            if (ran) return w.finish(0);
            begunWait = true;
            w.net.after(patience, [this] {
                w.violated(
                    "run-j, accepted, has waited for 90 s after the last trouble, beside machines "
                    "with room");
                w.finish();
            });
            poll();
        });
    }

    void poll() {
        w.get(x, "run-j", [this](int, const std::string&) { w.net.after(5, [this] { poll(); }); });
    }

    world::World w;
    bool trouble = true;
    bool ran = false, begunWait = false;
    int late = 0;
    double vanishedAt = -1;
    std::map<std::string, int> owner;
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
