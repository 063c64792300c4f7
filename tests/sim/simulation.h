// A simulation in virtual time: simulated state service, cloud, workers and users around real
// controllers.
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

// Limits of the state service on one transaction: the size of a value and the number of writes.
struct RecordLimits {
    double valueKb = 4;
    std::size_t writes = 12;
};

// The name of the machine that was added as the `index`-th, counted from 0.
std::string machineId(std::size_t index);

// Time spent in the controllers' code, summed over all nodes.
struct Cost {
    using Time = std::chrono::steady_clock::duration;

    // Runs the action and adds its duration.
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
    Cost heartbeats;  // heartbeats received from workers
    Cost steps;       // timer callbacks: placement rounds, failovers, maintenance
};

// Runs the nodes as separate processes instead of controllers inside the simulation.
class ExternalNodes {
  public:
    virtual ~ExternalNodes() = default;
    virtual void start(int node) = 0;
    virtual void kill(int node) = 0;
    [[nodiscard]] virtual bool up(int node) const = 0;
    virtual void request(int node, const transport::HttpRequest& request,
                         transport::HttpReply reply) = 0;
    // Address at which the machine's worker accepts direct commands.
    [[nodiscard]] virtual std::string addressOf(const std::string& machine) = 0;
};

// Cost of permanent machine transfers between partitions, and the delays seen by their workers.
struct TransferStats {
    std::size_t transfers = 0;
    std::size_t tasksMoved = 0;  // tasks on the transferred machines
    std::size_t writes = 0;      // in the transactions that transferred machines
    // Transfers after which the worker accepted a response of the new leader.
    std::size_t responses = 0;
    Time totalResponseDelay{};  // from transfer to that response, summed
    Time maxResponseDelay{};
    Time maxHeartbeatGap{};  // between the answered heartbeats before and after a transfer
};

struct SimulationSpec {
    std::uint64_t seed = 1;
    int nodes = 3;
    std::vector<std::string> zones{"a", "b"};
    std::vector<TypeSpec> types;
    std::vector<config::Team> teams;
    config::OperatorSettings operatorSettings;
    std::set<int> nodesWithoutRebalancing;  // nodes whose operators have not enabled it
    Time lease{30};
    Time cancel{60};  // `cancel_s`
    Time listLag{4};
    double stateRequests = 120;
    double stateWrites = 60;
    RecordLimits recordLimits;
    std::optional<RecordLimits> announcedLimits;  // in force once `applyAnnouncedLimits` is called
    // Nodes behave as the version in production until they are upgraded: they write no record that
    // announces the new version, so that no node uses its formats, and ignore announced limits.
    bool oldVersion = false;
    bool stateChecksText = false;  // the state service refuses text that is not UTF-8
    // The node to which new machines send their first heartbeat; a random one if not set.
    std::optional<int> firstNode;
    ExternalNodes* externalNodes = nullptr;  // null: the nodes run inside the simulation
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
    // The two steps of `run`: processes all events due by `until`; makes the final checks.
    void advance(Time until);
    void finish();
    // Serves a request of an external node to a simulated host.
    void serveExternal(const std::string& from, const std::string& host,
                       const transport::HttpRequest& request, transport::HttpReply reply) {
        serve(from, host, request, std::move(reply));
    }

    // Users
    void submit(const protocol::JobSpec& spec, Time runs, bool faulty);
    // Posts any body once, without retries, to a random node that serves. `done` gets the HTTP
    // status, 0 if there was no response, and the job's state.
    void post(const protocol::Json& body, std::function<void(int status, std::string state)> done);
    // Sends a heartbeat of a machine that is not simulated to a node, without retries. `done` gets
    // the HTTP status, 0 if there was no response, and the fencing token.
    void postHeartbeat(int node, const protocol::Json& body,
                       std::function<void(int status, std::uint64_t fencingToken)> done);
    void cancel(const std::string& job);
    void getStatus(const std::string& job);
    void getStatus(const std::string& job, int node);

    // Fault injection
    void kill(int node, Time down);
    // Kills the node, which restarts with the new version.
    void upgrade(int node, Time down);
    // Puts the announced limits into force.
    void applyAnnouncedLimits();
    void stateOutage(Time length);
    void cloudOutage(Time length);
    // The cloud's machine lists are empty pages that claim there is more.
    void breakMachineLists(Time length) { listsBrokenUntil_ = now_ + length; }
    void cutLink(const std::string& one, const std::string& other, Time length, bool delayed);
    // Cuts the link once the machine's worker has accepted a response of the node.
    void cutAfterResponse(std::size_t machine, int node, Time length);
    void rejectStateRequests(int node, Time length);
    // The state service rejects the node's requests until shortly after its lease has ended.
    void rejectUntilLeaseEnds(int node);
    void hangMachine(std::size_t machine, Time length);
    void failMachine(std::size_t machine);
    void sendInterruptionNotice(std::size_t machine, Time left);
    void makeMachineFaulty(std::size_t machine);  // fails every task
    // The machine's heartbeats arrive, but responses and commands do not reach it.
    void dropDownstream(std::size_t machine, Time length);
    // This fraction of heartbeats is delivered a second time, up to `latest` later.
    void duplicateHeartbeats(double fraction, Time latest) {
        duplicatedFraction_ = fraction;
        maxDuplicateDelay_ = latest;
    }
    // Whenever a partition gets a new leader in this time, copies of each machine's earlier
    // heartbeats that showed an exited task reach every node. The machine's own heartbeats are lost
    // for `silence` from then on.
    void replayExitsAtNextLeader(Time silence, Time length) {
        exitSilence_ = silence;
        exitsReplayedUntil_ = now_ + length;
        checker_.faultsUntil(exitsReplayedUntil_ + silence);
    }
    // This fraction of POST requests to any host is executed a second time, up to `latest` later.
    void repeatRequests(double fraction, Time latest) {
        repeatedFraction_ = fraction;
        maxRepeatDelay_ = latest;
    }
    // Each direct command that a worker has executed and answered is delivered again: at once,
    // seconds later, longer than a lease later, whenever a task that it starts has started on
    // another machine, and once the tasks of a cancelled job have to be gone.
    void repeatCommands(Time length) { commandsRepeatedUntil_ = now_ + length; }
    // What a worker still has when its machine is up again after a restart. Its tasks are gone.
    struct Restart {
        bool sameEpoch = false;
        bool sameToken = false;
    };
    void restartMachine(std::size_t machine, Time down, Restart restart);
    // Writes a record as another version of the controllers might have.
    void putRecord(const std::string& key, const protocol::Json& value);
    // The record's value; null if there is none.
    [[nodiscard]] const protocol::Json* record(const std::string& key) const {
        const auto found = records_.find(key);
        return found == records_.end() ? nullptr : &found->second.value;
    }
    // Deletes the record without an event to any watch, to test the audit.
    void loseRecord(const std::string& key) { records_.erase(key); }
    // This fraction of transactions gets no response and is executed 2 to 12 s later.
    void delayWrites(double fraction, Time length) {
        delayedWriteFraction_ = fraction;
        writesDelayedUntil_ = now_ + length;
        checker_.faultsUntil(writesDelayedUntil_ + maxWriteDelay);
    }
    // The node's transactions that write the machine's record get no response and are executed
    // late, 12 s after `length`.
    void delayMachineRecord(std::size_t machine, int node, Time length);
    // The node's transactions that write the job's record get no response and are executed `late`
    // later.
    void delayJobRecord(const std::string& job, int node, Time late, Time length);
    // Requests to the state service and its responses take up to `most` longer.
    void slowStateService(Time most, Time length) {
        maxStateDelay_ = most;
        stateSlowUntil_ = now_ + length;
        checker_.faultsUntil(stateSlowUntil_);
    }
    // Answers of the state service to the node's requests take `late` longer: those to watches, or
    // those to reads of single records.
    enum class StateAnswer { watch, read };
    void delayStateAnswers(int node, StateAnswer kind, Time late, Time length);
    // Commands reach the machine, but its heartbeats are lost.
    void dropUpstream(std::size_t machine, Time length);
    // Messages to and from the machine take up to `most` longer.
    void slowLinks(std::size_t machine, Time most, Time length);
    // Users cancel `count` running jobs at once, and up to eight of their machines hang.
    void cancelRunning(int count, Time hangs);
    // This fraction of jobs is cancelled at the moment when the last task is done.
    void cancelAtEnd(double fraction, Time length) {
        cancelAtEndFraction_ = fraction;
        cancelAtEndUntil_ = now_ + length;
    }
    // The tasks of the job complete.
    void completeJob(const std::string& job) { simulatedJobs_[job].runs = Time(0); }
    // Users ask all nodes within milliseconds after a job was accepted.
    void askAllNodes(Time length) { allNodesAskedUntil_ = now_ + length; }
    // Users poll `factor` times as often.
    void pollStorm(double factor, Time length) {
        stormFactor_ = factor;
        stormUntil_ = now_ + length;
    }
    // Users repeat submissions, cancel jobs that are done, and submit jobs that lack a field, have
    // a malformed one or text that is not UTF-8, or fit no machine.
    void sendIrregularRequests(Time length);
    // Of the frames between nodes, the fraction `lost` is lost, and the fraction `copied` is
    // delivered a second time up to `latest` later.
    void disruptFrames(double lost, double copied, Time latest, Time length) {
        lostFrameFraction_ = lost;
        duplicatedFrameFraction_ = copied;
        maxFrameDelay_ = latest;
        framesDisruptedUntil_ = now_ + length;
        checker_.faultsUntil(framesDisruptedUntil_);
    }
    // Injects `count` faults of random kinds at random times within `length`, chosen by the seed.
    void injectRandomFaults(int count, Time length);
    void cutZone(const std::string& zone, Time length, bool delayed);
    void separateZones(const std::string& one, const std::string& other, Time length, bool delayed);
    void cutPeerLinks(Time length);
    // Cuts the node off from the state service and its peers, but not from its workers.
    void isolateFromState(int node, Time length);
    void loseResponses(double fraction) { lostResponseFraction_ = fraction; }

    [[nodiscard]] Checker& checker() { return checker_; }
    [[nodiscard]] std::string lastReportedState(const std::string& job) const;
    // When a response first reported this state of the job to its user.
    [[nodiscard]] std::optional<Time> firstReportedAt(const std::string& job,
                                                      const std::string& state) const;
    // Jobs that were not yet reported to their users as done or cancelled.
    [[nodiscard]] std::vector<std::string> unfinished() const;
    [[nodiscard]] const Costs& costs() const { return costs_; }
    [[nodiscard]] std::size_t machinesUp() const;
    // Number of permanent machine transfers between partitions.
    [[nodiscard]] std::size_t machineTransfers() const { return transferStats_.transfers; }
    [[nodiscard]] const TransferStats& transferStats() const { return transferStats_; }
    [[nodiscard]] Time now() const { return now_; }
    // Digest of all observable events so far.
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
    // Delivers one message from host to host, subject to latency, cut links and other faults.
    void deliver(const std::string& from, const std::string& to, std::function<void()> action);
    void request(const std::string& from, const std::string& address,
                 transport::HttpRequest request, Time timeout, transport::HttpDone done);
    void serve(const std::string& from, const std::string& host,
               const transport::HttpRequest& request, transport::HttpReply reply);

    void serveState(const std::string& from, const transport::HttpRequest& request,
                    const transport::HttpReply& reply);
    transport::HttpResponse stateTransaction(const protocol::Json& body);
    // Whether the transaction is within the limits in force.
    [[nodiscard]] bool withinLimits(const protocol::Json& body) const;
    // Drops the writes that a node of the version in production would not have made.
    [[nodiscard]] protocol::Json withoutUnsupportedWrites(const std::string& node,
                                                          protocol::Json body) const;
    // When a transaction of the node is executed that gets no response; none if it is executed and
    // answered at once.
    [[nodiscard]] std::optional<Time> lateExecutionTime(const std::string& node,
                                                        const protocol::Json& body);
    // Sets the limits that the node's version knows: those in force and, in the new version, those
    // announced.
    void setLimits(Node& node) const;
    void recordChange(const std::string& key, bool deleted);
    // Counts the machines that a transaction transfers to other partitions permanently.
    void recordMachineTransfers(const protocol::Json& writes);
    void recordTransfer(Worker& worker, std::uint64_t floor);
    // The worker has accepted a response of this node.
    void recordAnswered(Worker& worker, const std::string& node, std::uint64_t fencingToken);
    [[nodiscard]] bool nodeUp(std::size_t index) const;
    void answerWatches();
    void expireWatch(const std::shared_ptr<Watch>& watch);  // at the end of its wait time
    [[nodiscard]] bool stateRejects(const std::string& node) const;
    void expireLeases();
    // Called when a record has been removed together with its lease.
    void onLeasedRecordRemoved(const std::string& key);
    void serveCloud(const transport::HttpRequest& request, const transport::HttpReply& reply);

    Worker* worker(const std::string& id);
    [[nodiscard]] std::map<std::string, std::string> hosts() const;  // with their zones
    void startWorker(Worker& worker);
    void sendHeartbeat(Worker& worker);
    void scheduleHeartbeat(Worker& worker);
    // Keeps a heartbeat that shows an exited task, to be replayed to the next leader.
    static void keepExitHeartbeat(Worker& worker, const transport::HttpRequest& heartbeat);
    void replayExitHeartbeats(Worker& worker);
    // Called before a transaction's writes are executed.
    void observeLeaderChanges(const protocol::Json& writes);
    void serveWorker(Worker& worker, const transport::HttpRequest& request,
                     const transport::HttpReply& reply);
    void repeatCommand(Worker& worker, const transport::HttpRequest& request);
    void repeatCommandAfter(Time delay, const std::string& worker,
                            const transport::HttpRequest& request);
    // Repeats direct commands to other machines that start the task.
    void repeatStarts(const std::string& machine, const std::string& task);
    void repeatStartsOfCancelled(const std::string& job);
    void executeCommands(Worker& worker, const protocol::Json& commands);
    void stepWorker(Worker& worker);
    void checkWaitingJobs();
    void injectRandomFault();
    void injectRandomMachineFault();
    // The allocations in the records, as "job/task machine attempt".
    [[nodiscard]] std::set<std::string> recordedAllocations() const;
    // Reports to the checker whether each task on a machine has its allocation in the records.
    void checkAllocations();
    // Compares records, cluster states and machines, if all faults ended long enough ago.
    void audit();
    void auditJob(const std::string& job);
    void auditOrphans();
    void auditClusterState(Node& node);
    [[nodiscard]] bool couldStart(const std::string& job);
    void submitInvalid(const std::string& job, const protocol::Json& body);
    void submitInvalidText(protocol::JobSpec spec);
    void endTask(Worker& worker, Task& task, const char* cause, bool kept);
    void killAllTasks(Worker& worker);
    [[nodiscard]] protocol::Json heartbeatBody(Worker& worker) const;
    void stepGang(const std::string& job);
    // How much longer the answer to a node's request to the state service takes.
    [[nodiscard]] Time answerDelay(const std::string& node, const std::string& path) const;
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
    std::map<std::uint64_t, std::pair<Time, Time>> leases_;  // expiry, TTL
    std::uint64_t nextLease_ = 1;
    std::vector<std::shared_ptr<Watch>> watches_;
    Time stateOutageUntil_{};
    Time cloudOutageUntil_{};
    Time listsBrokenUntil_{};
    std::map<std::string, Time> stateRejectedUntil_;
    std::set<std::string> rejectedUntilLeaseEnds_;  // keys of node records
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
    Time commandsRepeatedUntil_{};
    Time exitSilence_{};
    Time exitsReplayedUntil_{};
    double repeatedFraction_ = 0;
    Time maxRepeatDelay_{};
    double delayedWriteFraction_ = 0;
    Time writesDelayedUntil_{};
    // Until when a record's transactions are delayed, and how late they are executed.
    struct RecordDelay {
        Time until{};
        std::optional<Time> late;  // after the transaction; none: `maxWriteDelay` after `until`
    };
    // By the record's key and the writing node.
    std::map<std::pair<std::string, std::string>, RecordDelay> recordDelays_;
    double lostFrameFraction_ = 0;
    double duplicatedFrameFraction_ = 0;
    Time maxFrameDelay_{};
    Time framesDisruptedUntil_{};
    Time maxStateDelay_{};
    Time stateSlowUntil_{};
    double cancelAtEndFraction_ = 0;
    Time cancelAtEndUntil_{};
    Time irregularRequestsUntil_{};
    struct AnswerDelay {
        Time until{};
        Time late{};
    };
    std::map<std::pair<std::string, StateAnswer>, AnswerDelay> answerDelays_;
    Time allNodesAskedUntil_{};
    double stormFactor_ = 1;
    Time stormUntil_{};
    int invalidJobCount_ = 0;
    TransferStats transferStats_;
    Time responseGeneratedAt_{};  // when the response now being handled was sent
};

}  // namespace fawnwheel::sim
