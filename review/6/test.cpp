// A controller reads a job's record, and the answer comes after the job's end has been watched. A
// job that follows it then waits for ever at this controller.
#include <cstdlib>
#include <iostream>

#include "world.h"

using world::Json;

namespace {

constexpr double slowWatch = 0.5;  // s: "now and then a few hundred" milliseconds
constexpr double slowRead = 0.5;
constexpr double pollAfter = 0.38;  // after the submission
constexpr double shortRun = 0.05;   // of the first job's task
constexpr double beforeReport = 0.25;
constexpr double patience = 90;  // "no job is left waiting for 90 s"
constexpr double lastMoment = 116;

struct Case {
    Case(const std::string& daemon, const std::string& record, bool disturbed)
        : w(deployment(), daemon, record), trouble(disturbed) {}

    static world::Deployment deployment() {
        world::Deployment d;
        d.nodeZones = {"lalitpur", "baneshwor", "lalitpur"};
        d.zones = {"lalitpur", "baneshwor"};
        d.teams.push_back({{"name", "crew"}, {"cpus_max", 0.0}, {"gpus_max", 0.0}});
        d.types = {{"chhoto", 8, 0, 64, 35, 0.12, 0.55, d.zones},
                   {"majhaula", 32, 0, 128, 50, 0.15, 2.09, d.zones}};
        return d;
    }

    int run() {
        first = &w.addMachine("chhoto", "lalitpur", false, 1);
        second = &w.addMachine("majhaula", "lalitpur", false, 2);
        for (int i = 0; i < w.nodeCount(); ++i) w.startNode(i);
        w.pullSeconds = [](world::Worker&, const std::string&, std::uint32_t) { return 0.0; };
        w.stateAnswerDelay = [this](int node, const net::Request& request, const Json& body,
                                    int status) {
            for (const auto& write : body.value("writes", Json::array()))
                if (write.value("write", "").ends_with("/run-first")) created = true;
            if (!trouble || !created || node != second->lastAnsweredBy || status != 200) return 0.0;
            if (request.path.starts_with("/follow") && !watchSlowed) {
                watchSlowed = true;
                w.log("an answer to a watch of " + w.nodeName(node) + " takes 500 ms");
                return slowWatch;
            }
            if (request.path.ends_with("/run-first") && !readSlowed) {
                readSlowed = true;
                w.log("an answer to a read of " + w.nodeName(node) + " takes 500 ms");
                return slowRead;
            }
            return 0.0;
        };
        w.onTaskOnMachine = [this](world::Worker&, const world::Task& task) {
            if (task.job == "run-second") {
                w.log("run-second has begun");
                w.finish(0);
            }
        };
        w.whenHealthy([this] { begin(); });
        w.net.after(lastMoment, [this] { w.finish(2); });
        return w.run();
    }

    // A long job on each machine, so that neither is returned as idle.
    void begin() {
        for (const char* type : {"chhoto", "majhaula"}) {
            Json spec = world::jobSpec(std::string("run-long-") + type, "batch", 1, 1, 2);
            spec["breeds"] = {type};
            w.submitUntilAccepted(0, spec, 300);
        }
        waitForLong();
    }

    void waitForLong() {
        if (w.holdersOf("run-long-chhoto", 0).empty() ||
            w.holdersOf("run-long-majhaula", 0).empty())
            return w.net.after(0.1, [this] { waitForLong(); });
        if (first->lastAnsweredBy == second->lastAnsweredBy) {
            w.log("one controller answers both machines");
            return w.finish(2);
        }
        w.net.after(1.5, [this] { submitFirst(); });
    }

    // Just before a report of the machine that will run it.
    void submitFirst() {
        const double left = first->dueAt - net::now();
        if (left < beforeReport || left > beforeReport + 0.05)
            return w.net.after(0.01, [this] { submitFirst(); });
        Json spec = world::jobSpec("run-first", "batch", 1, 1, 2);
        spec["breeds"] = {"chhoto"};
        spec["stride_s"] = 1.0;
        w.submitUntilAccepted(first->lastAnsweredBy, spec, shortRun);
        // Its user asks at all controllers soon after.
        w.net.after(pollAfter, [this] {
            for (int node = 0; node < w.nodeCount(); ++node)
                w.get(node, "run-first", [](int, const std::string&) {});
        });
        w.net.after(2, [this] { pollFirst(); });
    }

    void pollFirst() {
        w.get(0, "run-first", [this](int status, const std::string& body) {
            if (status == 200 && world::decode(body).value("stance", "") == "done")
                return submitSecond();
            w.net.after(0.5, [this] { pollFirst(); });
        });
    }

    void submitSecond() {
        Json spec = world::jobSpec("run-second", "batch", 1, 1, 2);
        spec["breeds"] = {"majhaula"};
        spec["follows"] = {"run-first"};
        w.submitUntilAccepted(0, spec, 1, [this] {
            const double accepted = net::now();
            poll();
            w.net.after(patience, [this, accepted] {
                w.violated("run-second, accepted, has waited for " +
                           std::to_string(net::now() - accepted) +
                           " s after run-first was done, beside a machine with room");
                w.finish();
            });
        });
    }

    void poll() {
        w.get(second->lastAnsweredBy, "run-second",
              [this](int, const std::string&) { w.net.after(5, [this] { poll(); }); });
    }

    world::World w;
    bool trouble = true;
    bool created = false;
    bool watchSlowed = false;
    bool readSlowed = false;
    world::Worker* first = nullptr;
    world::Worker* second = nullptr;
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
