// Small stand-ins for a review test: state service, cloud, workers and users, as the users' pages describe
// them, around real controller processes on loopback and the real clock. Blocking sockets, one thread a
// connection. What was sent, answered and run goes to record.txt.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Json = nlohmann::json;

double now();  // seconds since the program began, on the steady clock
void sleepFor(double seconds);
bool waitFor(double seconds, const std::function<bool()>& condition);  // polls every 5 ms

// The record of the run; the file is flushed after each line.
void openRecord(const std::string& path);
void record(const std::string& line);

// Bodies: CBOR, never throwing.
std::string encode(const Json& value);
Json decode(const std::string& body);  // an empty map if it is not CBOR
std::string text(const Json& map, const char* field);
std::uint64_t count(const Json& map, const char* field);
double number(const Json& map, const char* field, double fallback = 0);

struct Request {
    std::string method;
    std::string path;
    std::string body;
};
struct Response {
    int status = 0;
    std::string body;
};
// An answer; none: the connection stays open without one until the client gives up.
using Handler = std::function<std::optional<Response>(const Request&)>;

inline Response answer(int status, const Json& body = Json::object()) {
    return {status, encode(body)};
}

// Serves on a free loopback port until the program ends.
class Server {
  public:
    explicit Server(Handler handler);
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  private:
    int port_ = 0;
};

int freePort();

// One request on a connection of its own; none: refused, reset, or no answer in time.
std::optional<Response> call(const std::string& address, const std::string& method,
                             const std::string& path, const std::string& body, double timeout);

// The state service. Each controller has an address of its own, so that one can be refused alone.
class State {
  public:
    State(int nodes, std::size_t operations, double valueKb);
    [[nodiscard]] std::string address(int node) const { return servers_[node]->address(); }

    void outage(double seconds);  // 503 for everybody
    [[nodiscard]] bool out() const;
    void refuse(int node, bool refused);  // 503 for this node alone
    // Asked for each transaction before it is carried out. `late`: no answer, and it is carried out that many
    // seconds later.
    std::function<double(int node, const Json& body)> late;
    // Asked for each transaction as well: whether it is carried out at once and only its answer is lost.
    std::function<bool(int node, const Json& body)> lose;
    // Extra time that the answer to a request takes, after it has been carried out.
    std::function<double(int node, const Request& request)> slow;
    [[nodiscard]] std::optional<Json> value(const std::string& key);

  private:
    struct Item {
        Json value;
        std::uint64_t mark = 0;
        std::uint64_t tether = 0;
    };
    struct Change {
        std::uint64_t mark = 0;
        std::string key;
        std::optional<Json> value;
    };
    struct Hold {
        double until = 0;
        double ttl = 0;
    };

    std::optional<Response> serve(int node, const Request& request);
    std::optional<Response> handle(int node, const Request& request);
    Response follow(int node, const Request& request);
    Response read(const Request& request);
    Response transact(const Json& body);
    [[nodiscard]] bool refuses(int node) const;  // locked
    void expireHolds();                          // locked

    std::size_t operations_;
    double valueKb_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::deque<Change> log_;
    std::map<std::uint64_t, Hold> holds_;
    std::uint64_t ring_ = 1;
    std::uint64_t nextHold_ = 1;
    double outageUntil_ = -1;
    std::set<int> refused_;
    std::vector<std::unique_ptr<Server>> servers_;
};

struct Breed {
    std::string name;
    double cores = 8;
    double memGb = 32;
    double price = 1;
    double readyS = 20;
};

class Worker;

// The cloud.
class Cloud {
  public:
    Cloud(std::vector<Breed> breeds, std::vector<std::string> meadows, double listLag);
    [[nodiscard]] std::string address() const { return server_->address(); }
    std::map<std::string, int> capacity;  // "breed/meadow": how many more ordinary machines can be rented
    // Makes a machine's worker; called when a machine is rented.
    std::function<std::unique_ptr<Worker>(const std::string& id, const Breed& breed,
                                          const std::string& meadow)>
        makeWorker;
    Worker* add(const std::string& breed, const std::string& meadow, int id);
    int nextId = 1;
    [[nodiscard]] std::vector<Worker*> workers();

  private:
    Response serve(const Request& request);
    Response rent(const Json& body);
    Response list(const std::string& path);

    struct Machine {
        std::unique_ptr<Worker> worker;
        double rentedAt = 0;
        double goneAt = 1e18;
    };
    std::vector<Breed> breeds_;
    std::vector<std::string> meadows_;
    double listLag_;
    std::mutex mutex_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, Json> hires_;
    std::unique_ptr<Server> server_;
};

// What the stand-in users submitted, and how long its tasks really run.
struct Job {
    Json spec;
    double runs = 0;                      // seconds of a task; 0: until `finish` is set
    std::shared_ptr<std::atomic<bool>> finish = std::make_shared<std::atomic<bool>>(false);
};
void addJob(const Job& job);
std::optional<Job> findJob(const std::string& id);

// Follows where tasks are, and notes each breach of a rule.
class Checker {
  public:
    void started(const std::string& task, const std::string& machine);
    void ended(const std::string& task, const std::string& machine, const std::string& why);
    void breach(const std::string& rule, const std::string& what);
    [[nodiscard]] std::vector<std::string> breaches();
    [[nodiscard]] std::set<std::string> places(const std::string& task);
    [[nodiscard]] int starts(const std::string& task);

  private:
    std::mutex mutex_;
    std::map<std::string, std::set<std::string>> places_;
    std::map<std::string, int> starts_;
    std::vector<std::string> breaches_;
};
Checker& checker();

struct WorkerSettings {
    double reportS = 3;
    double leaseS = 30;
    std::vector<std::string> names;   // of the controllers
    std::vector<std::string> fronts;  // their addresses
};

// One machine's worker.
class Worker {
  public:
    // `order`: the controllers by index, in the order in which it tries them.
    Worker(std::string id, Breed breed, std::string meadow, const WorkerSettings& settings,
           std::vector<int> order);
    void boot();       // begins to report
    void terminate();  // the machine is gone with all on it

    // Whether the network between this machine and the controller is up; a connection attempt fails otherwise.
    std::function<bool(int node)> linked = [](int) { return true; };
    // Called with each report's outcome; status 0: no answer.
    std::function<void(int node, int status, std::uint64_t token)> reported;

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] const Breed& breed() const { return breed_; }
    [[nodiscard]] const std::string& meadow() const { return meadow_; }
    [[nodiscard]] std::string address() const { return server_->address(); }
    [[nodiscard]] bool up() const { return up_; }
    [[nodiscard]] bool gone() const { return gone_; }
    // When the last answered report was sent.
    [[nodiscard]] double renewedAt();

  private:
    struct Task {
        std::string name;
        std::uint64_t leap = 0;
        std::string stance = "pulling";
        std::string cause;
        double readyAt = 0;
        double ranSince = 0;
        bool placed = false;
    };

    Json body();  // locked
    void execute(const Json& calls);
    void endTask(Task& task, const std::string& cause);
    void killAll(const std::string& why);
    void step();
    void reportLoop();
    void reportOnce();
    std::optional<Response> serve(const Request& request);

    std::string id_;
    Breed breed_;
    std::string meadow_;
    WorkerSettings settings_;
    std::vector<int> order_;
    std::size_t at_ = 0;  // in order_
    std::unique_ptr<Server> server_;
    std::recursive_mutex mutex_;
    std::atomic<bool> up_{false};
    std::atomic<bool> gone_{false};
    std::vector<Task> tasks_;
    std::set<std::string> images_;
    std::uint64_t run_ = 1;
    std::uint64_t tick_ = 0;
    std::uint64_t crook_ = 0;
    double renewedAt_ = 0;
    double lastSent_ = -10;
    double nextReport_ = 0;
    double crookReportedAt_ = -1000;
    bool changed_ = false;
};

// The controllers: real processes, started with the command of the deploy file.
class Controllers {
  public:
    Controllers(std::string command, std::string folder, double restartDelay);
    ~Controllers();
    std::vector<std::string> names;
    std::vector<std::string> fronts;
    std::vector<Json> settings;
    // Names and addresses of `count` controllers in this zone; `settings` lacks "outside" and "deployment".
    void lay(int count, const std::string& area);
    void start(int node);
    void kill(int node);   // SIGKILL
    [[nodiscard]] bool up(int node);
    [[nodiscard]] bool healthy(int node);
    // Processes that ended without being killed by the test.
    [[nodiscard]] std::vector<std::string> exits();
    void watchAndRestart();  // from now on: starts again what has ended by itself, after the delay
    void killAll();

  private:
    std::string command_;
    std::string folder_;
    double restartDelay_;
    std::mutex mutex_;
    std::vector<pid_t> pids_;
    std::vector<std::string> exits_;
    std::atomic<bool> stopping_{false};
};

// The deploy file's `run`.
std::string deployCommand();

}  // namespace standin
