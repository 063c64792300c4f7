// The world around the controllers, in real time on loopback: state service, cloud, workers and
// users as PROTOCOL-fawnwheel.md describes them, and the controllers as processes.
#pragma once

#include <sys/types.h>

#include <deque>
#include <fstream>
#include <list>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>

#include "net.h"

namespace world {

using Json = nlohmann::json;

std::string encode(const Json& value);
Json decode(const std::string& body);  // an empty map if the body is no CBOR

struct MachineType {
    std::string name;
    double cores = 0, gpus = 0, memory = 0;
    double cacheGb = 50, pullGbPerSecond = 0.15, price = 1;
    std::vector<std::string> zones;
};

/// Settings as in a site file.
struct Deployment {
    std::vector<std::string> nodeZones;  // a controller each
    std::vector<std::string> zones;
    double report = 3, lease = 45, gangWait = 35, gangPeer = 4, cancel = 65;
    double stateRps = 200, stateWriteRps = 80, valueKb = 16;
    std::size_t txnOps = 32;
    double cloudRps = 6, listLag = 4, memoryMb = 136;
    int sockets = 3500;
    Json teams = Json::array();
    std::vector<MachineType> types;
};

struct JobInfo {
    Json spec;
    double runs = 1;           // run time of each task
    bool broken = false;       // fails on every machine
    double cancelToldAt = -1;  // when a user was told that it is cancelled
};

struct Task {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    std::string stance = "pulling";
    std::string cause;
    bool kept = false;
    std::uint64_t serial = 0;
    bool onMachine = false;
};

class World;

class Worker {
  public:
    Worker(World& world, std::string id, const MachineType& type, std::string zone, bool spot);
    void begin();
    void changed();
    [[nodiscard]] Json report(bool count);
    void execute(const Json& calls);
    void remove(Task& task, const std::string& cause);
    [[nodiscard]] Task* find(const std::string& job, std::uint32_t index, std::uint64_t attempt);
    [[nodiscard]] std::string hoof(const Task& task) const;

    World& world;
    std::string id, zone, address;
    MachineType type;
    bool spot = false;
    bool gone = false;
    bool deaf = false;  // no direct command arrives
    std::uint64_t run = 1, tick = 0, crook = 0;
    std::list<Task> tasks;
    std::set<std::string> images;
    int node = 0;             // to which it reports
    int lastAnsweredBy = -1;  // node of the last accepted answer
    double dueAt = 0;         // of the next report

  private:
    friend class World;
    void schedule(double seconds);
    void send();
    void answered(int to, double sentAt, std::uint64_t sentRun, int status, const Json& body);
    void checkLease();
    void launch(const std::string& job, std::uint32_t index, std::uint64_t attempt);
    void imageReady(std::uint64_t serial);
    void stop(Task& task, double slack);
    Task* bySerial(std::uint64_t serial);
    [[nodiscard]] bool fits(const Json& spec) const;

    std::uint64_t schedules_ = 0;
    bool inFlight_ = false;
    double lastSent_ = -10;
    double renewedAt_ = 0;  // sending time of the last answered report, or begin of the session
    double tokenChangeAt_ = -1000;
};

class World {
  public:
    World(Deployment deployment, std::string daemon, std::string recordFile);
    ~World();

    net::Net net;
    Deployment deployment;
    std::mt19937_64 random{std::random_device{}()};
    double uniform(double least, double most) {
        return std::uniform_real_distribution<>(least, most)(random);
    }

    // Controllers.
    void startNode(int node);
    void signalNode(int node, int signal);
    [[nodiscard]] int nodeCount() const { return static_cast<int>(nodes_.size()); }
    [[nodiscard]] const std::string& front(int node) const { return nodes_[node].front; }
    [[nodiscard]] const std::string& nodeName(int node) const { return nodes_[node].name; }

    // Machines.
    Worker& addMachine(const std::string& type, const std::string& zone, bool spot, int number);
    std::map<std::string, std::unique_ptr<Worker>> workers;

    // Users.
    void submit(int node, const Json& spec, double runs, net::Done done);
    void get(int node, const std::string& id, net::Done done);
    void cancel(int node, const std::string& id, net::Done done);
    /// Submits until it is accepted, for at most a minute, as a user does.
    void submitUntilAccepted(
        int node, const Json& spec, double runs, std::function<void()> accepted = [] {});
    std::map<std::string, JobInfo> jobs;

    // Hooks of a case.
    /// Asked when the state service has executed a request: how long its answer takes.
    std::function<double(int node, const net::Request&, const Json& body, int status)>
        stateAnswerDelay;
    /// As long as it says so, the transaction isn't carried out yet.
    std::function<bool(int node, const Json& body)> transactionWaits;
    /// As long as it says so, the answer isn't sent yet.
    std::function<bool(int node, const net::Request&)> answerWaits;
    /// Above 0: the transaction gets no answer and is executed so many seconds later.
    std::function<double(int node, const Json& body)> lateTransaction;
    std::function<double(Worker&, const std::string& job, std::uint32_t index)> pullSeconds;
    std::function<void(Worker&, const Json& report, int node)> onReportSent;
    std::function<void(Worker&, int node)> onReportAnswered;
    std::function<void(Worker&, const Task&)> onTaskOnMachine;
    std::function<void(Worker&, const Task&)> onTaskGone;
    std::function<void(const std::vector<std::string>& keys)> onHoldEnded;
    std::set<int> refusedNodes;  // get 503 from the state service
    bool stateOut = false;

    // What happened.
    void log(const std::string& text);
    void violated(const std::string& text);
    [[nodiscard]] bool broken() const { return !violations_.empty(); }
    /// Ends the run: 0 or 1 by what was found, or `code`.
    void finish(std::optional<int> code = std::nullopt);
    int run();
    /// Calls `then` once every controller answers its health check with 200.
    void whenHealthy(std::function<void()> then);

    void taskOnMachine(Worker& worker, Task& task);
    void taskOffMachine(Worker& worker, Task& task);
    [[nodiscard]] std::vector<Worker*> holdersOf(const std::string& job, std::uint32_t index) const;
    std::uint64_t nextSerial() { return ++serial_; }

  private:
    friend class Worker;
    struct Node {
        std::string name, zone, front, internal, state, settings;
        pid_t pid = -1;
    };
    struct Record {
        Json value;
        std::uint64_t mark = 0;
        std::uint64_t tether = 0;
    };
    struct Change {
        std::uint64_t ring = 0;
        std::string key;
        std::optional<Json> value;
    };
    struct Hold {
        double ttl = 0, until = 0;
    };
    struct Follow {
        int node = 0;
        std::string prefix;
        std::uint64_t since = 0;
        double until = 0;
        net::Reply reply;
    };
    struct Bucket {
        double rate = 0, tokens = 0, at = 0;
        bool take(double count);
    };
    void writeSettings(const Node& node) const;
    void serveState(int node, const net::Request& request, net::Reply reply);
    void stateRequest(int node, const net::Request& request, const Json& body,
                      const net::Reply& reply);
    void transaction(const Json& body, const net::Reply& reply);
    void transactionInTime(int node, const Json& body, const net::Reply& reply);
    void answerInTime(int node, const net::Request& request, const net::Reply& reply, int status,
                      const std::string& text);
    void change(const std::string& key, std::optional<Json> value, std::uint64_t tether);
    [[nodiscard]] Json changesFor(const Follow& follow) const;
    void answerFollows();
    void expireHolds();
    void serveCloud(const net::Request& request, const net::Reply& reply);
    void tick();
    void gangGathered(const std::string& job, std::uint64_t attempt);
    void gangLost(const std::string& job, std::uint64_t attempt);
    void gangDone(const std::string& job, std::uint64_t attempt);

    std::string daemon_, directory_, cloud_;
    std::ofstream record_;
    std::vector<Node> nodes_;
    std::map<std::string, Record> records_;
    std::uint64_t ring_ = 1;
    std::deque<Change> changes_;
    std::map<std::uint64_t, Hold> holds_;
    std::uint64_t nextHold_ = 1;
    std::vector<Follow> follows_;
    Bucket requests_, writes_, cloudCalls_;
    std::uint64_t serial_ = 0;
    std::vector<std::string> violations_;
    std::optional<int> code_;
    std::set<std::string> goneMachines_;
};

/// A submission with the fields that PROTOCOL-fawnwheel.md lists.
Json jobSpec(const std::string& id, const std::string& gait, int tasks, double cores,
             double memory);

}  // namespace world
