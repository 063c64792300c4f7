// A malformed submission ends each controller that gets it. See claim.txt.
#include <cstdio>
#include <cstdlib>

#include "../standin/standin.h"

using namespace standin;

namespace {

constexpr int nodes = 3;
constexpr double reportS = 2.5;
constexpr double leaseS = 18;

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

Json batch(const std::string& id, const std::string& image) {
    return {{"id", id},         {"herd", "squad-tally"}, {"keeper", "kabaddi-desk"}, {"gait", "batch"},
            {"rank", "standard"}, {"hooves", 2},         {"cores", 4.0},             {"gpus", 0.0},
            {"mem_gb", 5.7},    {"coat", image},         {"image_gb", 0.2},          {"breeds", Json()},
            {"meadow", Json()}, {"together", false},     {"apart", false},           {"strays", false},
            {"stride_s", 40.0}, {"rest_s", 0.0},         {"cache_s", 0.0},           {"dusk_s", Json()}};
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return 2;
    openRecord(argv[2]);
    const char* word = std::getenv("TROUBLE");
    const bool trouble = word == nullptr || std::string(word) != "0";
    record(std::string("trouble ") + (trouble ? "on" : "off"));

    State state(nodes, 48, 8);
    Cloud cloud({{"phewa", 8, 32, 0.31, 25}}, {"lakeside", "sarangkot"}, 5);
    Controllers controllers(deployCommand(), argv[1], 5);
    controllers.lay(nodes, "lakeside");
    for (int node = 0; node < nodes; ++node) {
        controllers.settings[node]["outside"] = {{"cloud", cloud.address()}, {"state", state.address(node)}};
        controllers.settings[node]["deployment"] = deployment();
    }
    const WorkerSettings workers{reportS, leaseS, controllers.names, controllers.fronts};
    cloud.makeWorker = [&](const std::string& id, const Breed& breed, const std::string& meadow) {
        return std::make_unique<Worker>(id, breed, meadow, workers, std::vector<int>{0, 1, 2});
    };
    for (int id = 1; id <= 4; ++id) cloud.add("phewa", "lakeside", id)->boot();
    cloud.nextId = 5;
    for (int node = 0; node < nodes; ++node) controllers.start(node);
    controllers.watchAndRestart();
    const auto fail = [&](const char* why) {
        record(std::string("could not run: ") + why);
        std::printf("could not run: %s\n", why);
        controllers.killAll();
        std::_Exit(2);
    };
    if (!waitFor(20, [&] {
            for (int node = 0; node < nodes; ++node)
                if (!controllers.healthy(node)) return false;
            return true;
        }))
        fail("the controllers did not get healthy");

    // One user's job runs on two machines.
    Job job;
    job.spec = batch("run-000001", "img-01");
    addJob(job);
    const auto accepted = call(controllers.fronts[0], "POST", "/api/jobs", encode(job.spec), 5);
    record("user submits run-000001 at spoke-0 -> " + (accepted ? std::to_string(accepted->status) : "no answer"));
    if (!accepted || accepted->status != 201) fail("the first job was not accepted");
    if (!waitFor(25, [&] {
            return !checker().places("run-000001/0").empty() && !checker().places("run-000001/1").empty();
        }))
        fail("the first job did not start");

    // Another user submits a job whose image's name is no text: two of its bytes are not UTF-8. Answered 400, he
    // would not send it again. Without an answer he repeats it after 1 s, for 60 s in all, and the load
    // balancer gives him a controller that takes connections. Without trouble the name is a text.
    const std::string body = encode(batch("run-000002", trouble ? "img-\xff\xfe" : "img-02"));
    addJob({batch("run-000002", "img-02"), 5});
    int got400 = 0;
    int got201 = 0;
    int unanswered = 0;
    int polls = 0;
    int pollsFailed = 0;
    const double until = now() + 60;
    for (int next = 0; now() < until;) {
        int node = -1;
        for (int tried = 0; tried < nodes && node < 0; ++tried, ++next)
            if (controllers.healthy(next % nodes)) node = next % nodes;
        if (node >= 0) {
            const auto response = call(controllers.fronts[node], "POST", "/api/jobs", body, 5);
            record("second user submits run-000002 at " + controllers.names[node] + " -> " +
                   (response ? std::to_string(response->status) : "no answer"));
            got400 += response && response->status == 400 ? 1 : 0;
            got201 += response && response->status / 100 == 2 ? 1 : 0;
            unanswered += response ? 0 : 1;
            if (response && (response->status == 400 || response->status / 100 == 2)) break;
        }
        ++polls;
        const int asked = polls % nodes;
        const auto poll = call(controllers.fronts[asked], "GET", "/api/jobs/run-000001", {}, 2);
        pollsFailed += poll && poll->status == 200 ? 0 : 1;
        record("first user asks " + controllers.names[asked] + " for run-000001 -> " +
               (poll ? std::to_string(poll->status) + " " + decode(poll->body).dump() : "no answer"));
        sleepFor(1);
    }
    sleepFor(3);
    const auto exits = controllers.exits();
    const int starts = checker().starts("run-000001/0") + checker().starts("run-000001/1");
    controllers.killAll();
    std::printf("answered 400: %d, accepted: %d, not answered: %d; controllers that ended by themselves: %zu\n", got400,
                got201, unanswered, exits.size());
    std::printf("first user's questions without an answer: %d of %d; starts of his two tasks: %d; on machines now: %zu\n",
                pollsFailed, polls, starts,
                checker().places("run-000001/0").size() + checker().places("run-000001/1").size());
    const bool held = exits.empty() && unanswered == 0 && (trouble ? got400 == 1 : got201 == 1);
    std::printf(held ? "the rule held\n" : "the rule was broken\n");
    record(held ? "the rule held" : "the rule was broken");
    std::fflush(stdout);
    std::_Exit(held ? 0 : 1);
}
