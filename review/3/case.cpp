// Tasks of an accepted job are never started after a partition's leader has changed. See claim.txt.
#include <cstdio>
#include <cstdlib>

#include "../standin/standin.h"

using namespace standin;

namespace {

constexpr int nodes = 3;
constexpr double reportS = 2.5;
constexpr double leaseS = 18;
constexpr double waitS = 90;  // no job is left waiting for longer once the troubles are over
constexpr int tasks = 50;

Json deployment() {
    return {{"count", nodes},
            {"zones", {"lakeside"}},
            {"teams", {{{"name", "kabaddi-desk"}, {"cpus", 0.0}, {"cpus_max", 0.0}, {"gpus", 0.0}, {"gpus_max", 0.0}}}},
            {"objectives", Json::array()},
            {"workers", {{"report_s", reportS}, {"lease_s", leaseS}, {"gang_wait_s", 45.0}, {"gang_peer_s", 8.0}, {"cancel_s", 48.0}}},
            {"state", {{"rps", 150.0}, {"write_rps", 60.0}, {"value_kb", 8.0}, {"txn_ops", 48}}},
            {"cloud", {{"rps", 4.0}, {"list_lag_s", 5.0}}},
            {"machine_limits", {{"core_share", 0.12}, {"mem_mb", 104.0}, {"sockets", 1000}}},
            {"clock_off_ms", 100.0}};
}

Json batch(const std::string& id, const std::string& image, int hooves, double cores) {
    return {{"id", id},           {"herd", "squad-tally"}, {"keeper", "kabaddi-desk"}, {"gait", "batch"},
            {"rank", "standard"}, {"hooves", hooves},      {"cores", cores},           {"gpus", 0.0},
            {"mem_gb", 1.0},      {"coat", image},         {"image_gb", 0.05},         {"breeds", Json()},
            {"meadow", Json()},   {"together", false},     {"apart", false},           {"strays", false},
            {"stride_s", 8.0},    {"rest_s", 0.0},         {"cache_s", 0.0},           {"dusk_s", Json()}};
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return 2;
    openRecord(argv[2]);
    const char* word = std::getenv("TROUBLE");
    const bool trouble = word == nullptr || std::string(word) != "0";
    record(std::string("trouble ") + (trouble ? "on" : "off"));

    State state(nodes, 48, 8);
    Cloud cloud({{"phewa", 8, 32, 0.31, 25}, {"eland", 64, 256, 4.23, 20}}, {"lakeside", "sarangkot"}, 5);
    Controllers controllers(deployCommand(), argv[1], 5);
    controllers.lay(nodes, "lakeside");
    for (int node = 0; node < nodes; ++node) {
        controllers.settings[node]["outside"] = {{"cloud", cloud.address()}, {"state", state.address(node)}};
        controllers.settings[node]["deployment"] = deployment();
    }
    const WorkerSettings workers{reportS, leaseS, controllers.names, controllers.fronts};
    cloud.makeWorker = [&](const std::string& id, const Breed& breed, const std::string& meadow) {
        return std::make_unique<Worker>(id, breed, meadow, workers,
                                        id == "m-000001" ? std::vector<int>{1, 2, 0} : std::vector<int>{2, 0, 1});
    };
    // Nothing more can be rented: the two large machines are all that there is.
    Worker* roomy = cloud.add("eland", "lakeside", 3);  // spoke-2's
    Worker* full = cloud.add("eland", "lakeside", 1);   // spoke-1's
    Worker* late = cloud.add("phewa", "lakeside", 4);   // spoke-1's; it comes up while spoke-1 is away
    const std::string lateName = late->id();

    const auto fail = [&](const char* why) {
        record(std::string("could not run: ") + why);
        std::printf("could not run: %s\n", why);
        controllers.killAll();
        std::_Exit(2);
    };

    // The record of the late machine: carried out at once, its answer is lost, and so are those to its repeats.
    std::atomic<bool> holding{trouble};
    std::atomic<bool> written{false};
    state.lose = [&](int node, const Json& body) {
        if (node != 2 || !holding || body.value("writes", Json::array()).empty() ||
            body.dump().find(lateName) == std::string::npos)
            return false;
        record(written ? "state: the answer to the repeat is lost"
                       : "state: spoke-2's transaction is carried out, its answer is lost");
        written = true;
        return true;
    };

    for (int node = 0; node < nodes; ++node) {
        controllers.start(node);
        sleepFor(0.2);
    }
    if (!waitFor(15, [&] {
            for (int node = 0; node < nodes; ++node)
                if (!controllers.healthy(node)) return false;
            return true;
        }))
        fail("the controllers did not get healthy");
    const auto leads = [&](int partition, int node) {
        const auto value = state.value("live/part/" + std::to_string(partition));
        return value && text(*value, "owner") == controllers.names[node];
    };
    if (!waitFor(10, [&] { return leads(0, 0) && leads(1, 1) && leads(2, 2); })) fail("the leaders are others");
    sleepFor(0.5);
    roomy->boot();
    full->boot();

    const auto submit = [&](int node, const Json& spec) {
        Job job;
        job.spec = spec;
        addJob(job);
        for (int tries = 0; tries < 20; ++tries) {
            const auto response = call(controllers.fronts[node], "POST", "/api/jobs", encode(spec), 5);
            record("user submits " + text(spec, "id") + " at " + controllers.names[node] + " -> " +
                   (response ? std::to_string(response->status) : "no answer"));
            if (response && response->status / 100 == 2) return job.finish;
            sleepFor(1);
        }
        return job.finish;
    };
    const auto on = [&](const std::string& task, const Worker* worker) {
        return waitFor(15, [&] { return checker().places(task).contains(worker->id()); });
    };

    // A job that stays, and one that fills the rest of spoke-2's machine for now.
    submit(2, batch("run-000001", "img-01", 1, 8));
    const auto filler = submit(2, batch("run-000002", "img-02", 1, 56));
    if (!on("run-000001/0", roomy) || !on("run-000002/0", roomy)) fail("the first jobs did not start on m-000003");
    // The job that this is about: 40 of its 50 tasks fill spoke-1's machine, ten wait.
    auto spec = batch("run-000003", "img-03", tasks, 1.6);
    spec["breeds"] = {"eland"};
    spec["dusk_s"] = 30.0;
    const auto finish = submit(1, spec);
    const double submitted = now();
    if (!waitFor(15, [&] {
            for (int task = 0; task < 40; ++task)
                if (checker().places("run-000003/" + std::to_string(task)).empty()) return false;
            return true;
        }))
        fail("40 tasks did not start");

    if (trouble) {
        controllers.kill(1);
        if (!waitFor(12, [&] { return leads(1, 2); })) fail("spoke-2 did not take over");
        record("spoke-2 leads spoke-1's partition");
        late->boot();
        sleepFor(0.5);
        controllers.start(1);
        if (!waitFor(8, [&] { return written.load(); })) fail("the late machine was not recorded");
    } else {
        sleepFor(8);
        late->boot();
        sleepFor(3);
    }
    *filler = true;  // now spoke-2's machine has room for the ten
    record("run-000002 ends, m-000003 has 56 of 64 cores free");
    const auto ended = [&] { return checker().places("run-000002/0").empty(); };
    waitFor(5, ended);
    if (trouble) {
        waitFor(10, [&] { return controllers.healthy(1); });
        sleepFor(3);
        holding = false;
    }
    const double over = now();
    record("all troubles are over");
    const auto waiting = [&] {
        int left = 0;
        for (int task = 0; task < tasks; ++task)
            if (checker().starts("run-000003/" + std::to_string(task)) == 0) ++left;
        return left;
    };
    // Once the ten have had their chance, the forty end.
    waitFor(12, [&] { return waiting() == 0; });
    *finish = true;
    record("the running tasks of run-000003 end; " + std::to_string(waiting()) + " of 50 have not been started");
    bool room = true;
    double asked = 0;
    std::string stance;
    while (now() < over + waitS + 1 && now() < 115.5) {
        room = room && !roomy->gone() && ended();
        if (now() - asked >= 5) {
            asked = now();
            const auto response = call(controllers.fronts[0], "GET", "/api/jobs/run-000003", {}, 2);
            if (response && response->status == 200) stance = text(decode(response->body), "stance");
            record("user asks for run-000003 -> " +
                   (response ? std::to_string(response->status) + " " + decode(response->body).dump() : "no answer") +
                   "; not started: " + std::to_string(waiting()));
            if (stance == "done") break;
        }
        sleepFor(0.1);
    }
    const int left = waiting();
    const double waited = now() - over;
    controllers.killAll();
    std::printf("run-000003 is %s; %d of its 50 tasks have not been started %.1f s after the last trouble (%.1f s after the "
                "submission); m-000003 had room: %s\n",
                stance.c_str(), left, waited, now() - submitted, room ? "yes" : "no");
    std::fflush(stdout);
    if (left == 0 && stance == "done") {
        std::printf("the rule held\n");
        std::fflush(stdout);
        std::_Exit(0);
    }
    if (left > 0 && room && waited > waitS) {
        std::printf("the rule was broken: left waiting\n");
        std::fflush(stdout);
        std::_Exit(1);
    }
    std::_Exit(2);
}
