// A world in virtual time: stand-ins for the state service, the cloud, workers and users, and the
// real controllers among them.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "coordination/controller.h"
#include "sim/checker.h"
#include "sim/history_digest.h"

namespace fawnwheel::sim {

struct TypeSpec {
    protocol::MachineType type;
    int capacity = 20;      // per zone
    int spotCapacity = 20;  // per zone
};

// What the state service accepts in one transaction.
struct RecordLimits {
    double valueKb = 4;
    std::size_t writes = 12;
};

// Processor time that the controllers have used, of all nodes together.
struct Cost {
    using Time = std::chrono::steady_clock::duration;

    // Adds what the action takes.
    template <typename Action>
    void measure(Action&& action) {
        const auto began = std::chrono::steady_clock::now();
        action();
        const auto took = std::chrono::steady_clock::now() - began;
        total += took;
        longest = std::max(longest, took);
        ++count;
    }

    std::uint64_t count = 0;
    Time total{};
    Time longest{};
};

struct Costs {
    Cost heartbeats;  // from workers
    Cost steps;       // timers: rounds of placement, failovers, maintenance
};

// Nodes that are processes of their own, in place of controllers inside the world.
class ExternalNodes {
  public:
    virtual ~ExternalNodes() = default;
    virtual void start(int node) = 0;
    virtual void kill(int node) = 0;
    [[nodiscard]] virtual bool up(int node) const = 0;
    virtual void request(int node, const transport::HttpRequest& request,
                         transport::HttpReply reply) = 0;
    // Where direct orders reach the machine.
    [[nodiscard]] virtual std::string addressOf(const std::string& machine) = 0;
};

// What machines that changed hands for good cost, and what their workers noticed.
struct TransferStats {
    std::size_t transfers = 0;
    std::size_t tasksMoved = 0;  // tasks on them
    std::size_t writes = 0;      // in the transactions that moved them
    std::size_t responses = 0;   // that the new leader has answered
    Time totalResponseDelay{};   // of those, in all
    Time maxResponseDelay{};
    Time maxHeartbeatGap{};  // between two answered heartbeats around a move
};

struct SimulationSpec {
    std::uint64_t seed = 1;
    int nodes = 3;
    std::vector<std::string> zones{"a", "b"};
    std::vector<TypeSpec> types;
    std::vector<config::Team> teams;
    config::OperatorSettings operatorSettings;
    std::set<int> nodesWithoutRebalancing;  // nodes whose operators have not turned it on
    Time lease{30};
    Time cancel{60};  // `cancel_s`
    Time listLag{4};
    double stateRequests = 120;
    double stateWrites = 60;
    RecordLimits recordLimits;
    std::optional<RecordLimits> announcedLimits;  // announced; in force from `lowerLimits` on
    // Nodes behave as the version in production until they are upgraded: they leave no mark of the
    // new version, and so nobody uses its formats, and know nothing of announced limits.
    bool oldVersion = false;
    ExternalNodes* externalNodes = nullptr;  // none: the nodes live in the world
};

class Simulation {
  public:
    explicit Simulation(SimulationSpec spec);
    ~Simulation();
    Simulation(const Simulation&) = delete;
    Simulation& operator=(const Simulation&) = delete;

    void addMachine(const std::string& type, const std::string& zone, bool spot);
    void at(Time when, std::function<void()> action);
    void run(Time until);
    // The same in steps: all that is due by then, and the checks at the end.
    void advance(Time until);
    void finish();
    // A request of a node that lives outside, to a host of the world.
    void serveExternal(const std::string& from, const std::string& host,
                       const transport::HttpRequest& request, transport::HttpReply reply) {
        serve(from, host, request, std::move(reply));
    }

    // Users
    void submit(const protocol::JobSpec& spec, Time runs, bool faulty);
    // Any body, once, to any node that serves; `done` gets the status, 0 if there was no answer.
    void post(const protocol::Json& body, std::function<void(int status, std::string state)> done);
    void cancel(const std::string& job);
    void getStatus(const std::string& job);

    // Troubles
    void kill(int node, Time down);
    // Kills the node, which comes back with the new version.
    void upgrade(int node, Time down);
    // The announced limits are in force from now on.
    void applyAnnouncedLimits();
    void stateOutage(Time length);
    void cloudOutage(Time length);
    // Lists of machines come as an empty page that says there is more.
    void breakMachineLists(Time length) { listsBrokenUntil_ = now_ + length; }
    void cutLink(const std::string& one, const std::string& other, Time length, bool delayed);
    void rejectStateRequests(int node, Time length);
    void hangMachine(std::size_t machine, Time length);
    void failMachine(std::size_t machine);
    void sendInterruptionNotice(std::size_t machine, Time left);
    void makeMachineFaulty(std::size_t machine);  // fails every task
    // Its heartbeats arrive; answers and orders don't reach it.
    void dropDownstream(std::size_t machine, Time length);
    // Copies of this share of heartbeats come again up to so much later.
    void duplicateHeartbeats(double fraction, Time latest) {
        duplicatedFraction_ = fraction;
        maxDuplicateDelay_ = latest;
    }
    // This share of requests to anybody is carried out once more, up to so much later.
    void repeatRequests(double fraction, Time latest) {
        repeatedFraction_ = fraction;
        maxRepeatDelay_ = latest;
    }
    // This share of transactions gets no answer and is carried out 2 to 12 s later.
    // The record is gone, and nobody is told: to try the audit.
    void loseRecord(const std::string& key) { records_.erase(key); }
    void delayWrites(double fraction, Time length) {
        delayedWriteFraction_ = fraction;
        writesDelayedUntil_ = now_ + length;
        checker_.faultsUntil(writesDelayedUntil_ + maxWriteDelay);
    }
    // Requests to the state service and their answers take up to so much longer.
    void slowStateService(Time most, Time length) {
        maxStateDelay_ = most;
        stateSlowUntil_ = now_ + length;
        checker_.faultsUntil(stateSlowUntil_);
    }
    void dropUpstream(std::size_t machine,
                      Time length);  // orders reach it, its heartbeats reach nobody
    // Whatever goes to or from it takes up to so much longer.
    void slowLinks(std::size_t machine, Time most, Time length);
    // Users call off so many running jobs at once, and up to eight of their machines hang.
    void cancelRunning(int count, Time hangs);
    // This share of the jobs that end is called off at that very moment.
    void cancelAtEnd(double fraction, Time length) {
        cancelAtEndFraction_ = fraction;
        cancelAtEndUntil_ = now_ + length;
    }
    // Users ask so many times as often.
    void pollStorm(double factor, Time length) {
        stormFactor_ = factor;
        stormUntil_ = now_ + length;
    }
    // Submissions are repeated, done jobs called off, and jobs sent that lack a field or fit
    // nowhere.
    void sendIrregularRequests(Time length);
    // Of the frames between nodes, these shares are lost, and handed over once more up to so much
    // later.
    void disruptFrames(double lost, double copied, Time latest, Time length) {
        lostFrameFraction_ = lost;
        duplicatedFrameFraction_ = copied;
        maxFrameDelay_ = latest;
        framesDisruptedUntil_ = now_ + length;
        checker_.faultsUntil(framesDisruptedUntil_);
    }
    // So many troubles of any kind at any time from now on for so long, drawn anew with each seed.
    void injectRandomFaults(int count, Time length);
    void cutZone(const std::string& zone, Time length, bool delayed);
    void separateZones(const std::string& one, const std::string& other, Time length, bool delayed);
    void cutPeerLinks(Time length);
    void isolateFromState(int node, Time length);  // and from its peers, not from its workers
    void loseResponses(double fraction) { lostResponseFraction_ = fraction; }

    [[nodiscard]] Checker& checker() { return checker_; }
    [[nodiscard]] std::string lastReportedState(const std::string& job) const;
    // When the job's user was first told that it is in this state.
    [[nodiscard]] std::optional<Time> firstReportedAt(const std::string& job,
                                                      const std::string& state) const;
    // Jobs whose users have not been told of an end.
    [[nodiscard]] std::vector<std::string> unfinished() const;
    [[nodiscard]] const Costs& costs() const { return costs_; }
    [[nodiscard]] std::size_t machinesUp() const;
    // How often machines have changed hands between partitions for good.
    [[nodiscard]] std::size_t machineTransfers() const { return transferStats_.transfers; }
    [[nodiscard]] const TransferStats& transferStats() const { return transferStats_; }
    [[nodiscard]] Time now() const { return now_; }
    // Of all that could be seen so far.
    [[nodiscard]] const HistoryDigest& history() const { return history_; }
    [[nodiscard]] int nodeCount() const { return spec_.nodes; }

  private:
    friend class NodeClock;
    friend class NodeNetwork;
    static constexpr Time minWriteDelay{2};
    static constexpr Time maxWriteDelay{12};
    struct Node;
    struct Worker;
    struct Task;
    struct SimulatedJob {
        protocol::JobSpec spec;
        Time runs{};
        bool faulty = false;
        bool submitted = false;
        std::map<std::uint32_t, Time> saved;
        std::set<std::uint32_t> done;
        std::string reportedState;
        std::map<std::string, Time> firstReportedAt;  // by state
        bool over = false;
    };
    struct Record {
        protocol::Json value;
        std::uint64_t version = 0;
        std::uint64_t lease = 0;
        Time changedAt{};
    };
    struct Watch {
        std::string prefix;
        std::uint64_t since = 0;
        transport::HttpReply reply;
        std::string from;
        bool open = true;
    };

    void startNode(int index);
    // One message from host to host: latency, cuts.
    void deliver(const std::string& from, const std::string& to, std::function<void()> action);
    void request(const std::string& from, const std::string& address,
                 transport::HttpRequest request, Time timeout, transport::HttpDone done);
    void serve(const std::string& from, const std::string& host,
               const transport::HttpRequest& request, transport::HttpReply reply);

    void serveState(const std::string& from, const transport::HttpRequest& request,
                    const transport::HttpReply& reply);
    transport::HttpResponse stateTransaction(const protocol::Json& body);
    // Whether a transaction is within the limits in force.
    [[nodiscard]] bool withinLimits(const protocol::Json& body) const;
    // Without what the version in production would not have written.
    [[nodiscard]] protocol::Json withoutUnsupportedWrites(const std::string& node,
                                                          protocol::Json body) const;
    // What the node's version makes of the limits in force and those announced.
    void setLimits(Node& node) const;
    void recordChange(const std::string& key, bool deleted);
    // A transaction moves machines to other partitions for good.
    void recordMachineTransfers(const protocol::Json& writes);
    void recordTransfer(Worker& worker, std::uint64_t floor);
    // The worker has taken an answer of this node.
    void recordAnswered(Worker& worker, const std::string& node, std::uint64_t fencingToken);
    [[nodiscard]] bool nodeUp(std::size_t index) const;
    void answerWatches();
    void expireWatch(const std::shared_ptr<Watch>& watch);  // its time has run out
    [[nodiscard]] bool stateRejects(const std::string& node) const;
    void expireLeases();
    void serveCloud(const transport::HttpRequest& request, const transport::HttpReply& reply);

    Worker* worker(const std::string& id);
    [[nodiscard]] std::map<std::string, std::string> hosts() const;  // with their zones
    void startWorker(Worker& worker);
    void sendHeartbeat(Worker& worker);
    void scheduleHeartbeat(Worker& worker);
    void executeCommands(Worker& worker, const protocol::Json& commands);
    void stepWorker(Worker& worker);
    void checkWaitingJobs();
    void injectRandomFault();
    void injectRandomMachineFault();
    // The allocations in the records, as "job/task machine attempt".
    [[nodiscard]] std::set<std::string> recordedAllocations() const;
    // Whether each task that is on a machine has its allocation in the records.
    void checkAllocations();
    // Records, cluster states and machines compared, once all troubles are over.
    void audit();
    void auditJob(const std::string& job);
    void auditOrphans();
    void auditClusterState(Node& node);
    [[nodiscard]] bool couldStart(const std::string& job);
    void submitInvalid(const std::string& job, const protocol::Json& body);
    void endTask(Worker& worker, Task& task, const char* cause, bool kept);
    void killAllTasks(Worker& worker);
    [[nodiscard]] protocol::Json heartbeatBody(Worker& worker) const;
    void stepGang(const std::string& job);
    void poll(const std::string& job);
    void recordStatus(const std::string& job, const std::string& state);
    void submitOnceDependenciesAccepted(const std::string& job);
    void sendFrame(const std::string& from, const std::string& peer, std::string payload);
    void sendSubmit(const std::string& job, Time first);
    int randomNode();

    SimulationSpec spec_;
    std::mt19937_64 rng_;
    Checker checker_;
    Costs costs_;
    HistoryDigest history_;
    Time now_{};
    std::multimap<Time, std::function<void()>> queue_;
    std::vector<std::unique_ptr<Node>> nodes_;
    RecordLimits limits_;  // in force
    std::map<std::string, std::unique_ptr<Worker>> workers_;
    std::map<std::string, SimulatedJob> simulatedJobs_;
    std::map<std::string, Record> records_;
    std::uint64_t revision_ = 0;
    std::deque<std::tuple<std::uint64_t, std::string, std::optional<protocol::Json>>> changeLog_;
    std::map<std::uint64_t, std::pair<Time, Time>> leases_;  // ends, length
    std::uint64_t nextLease_ = 1;
    std::vector<std::shared_ptr<Watch>> watches_;
    Time stateOutageUntil_{};
    Time cloudOutageUntil_{};
    Time listsBrokenUntil_{};
    std::map<std::string, Time> stateRejectedUntil_;
    struct Cut {
        Time until{};
        bool delayed = false;
    };
    std::map<std::pair<std::string, std::string>, Cut> cuts_;
    std::map<std::string, std::vector<std::string>> provisioningRequests_;
    int nextMachine_ = 0;
    double lostResponseFraction_ = 0;
    double duplicatedFraction_ = 0;
    Time maxDuplicateDelay_{};
    double repeatedFraction_ = 0;
    Time maxRepeatDelay_{};
    double delayedWriteFraction_ = 0;
    Time writesDelayedUntil_{};
    double lostFrameFraction_ = 0;
    double duplicatedFrameFraction_ = 0;
    Time maxFrameDelay_{};
    Time framesDisruptedUntil_{};
    Time maxStateDelay_{};
    Time stateSlowUntil_{};
    double cancelAtEndFraction_ = 0;
    Time cancelAtEndUntil_{};
    Time irregularRequestsUntil_{};
    double stormFactor_ = 1;
    Time stormUntil_{};
    int invalidJobCount_ = 0;
    TransferStats transferStats_;
    Time responseGeneratedAt_{};  // when the answer that is being taken in was given
};

}  // namespace fawnwheel::sim
