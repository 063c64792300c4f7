// Observes a simulation and records every violation of a scheduling rule.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "protocol/messages.h"

namespace fawnwheel::sim {

using Time = std::chrono::duration<double>;  // since the scenario began

struct Place {
    std::string machine;
    std::string type;
    std::string zone;
    bool spot = false;
};

class Checker {
  public:
    Checker(std::vector<config::Team> teams, Time cancelLimit)
        : teams_(std::move(teams)), cancelLimit_(cancelLimit) {}

    // Called by the simulation with what actually happens.
    void submitted(const protocol::JobSpec& spec, Time at);
    // A job that no node may accept.
    void submittedInvalid(const std::string& job) { invalidJobs_.insert(job); }
    // Whether the job has unplaced tasks that could start, as fitting machines have free capacity.
    void observeWaiting(const std::string& job, bool couldStart, Time at);
    // A fault is injected that lasts until then.
    void faultsUntil(Time at) { faultFreeSince_ = std::max(faultFreeSince_, at); }
    void cancelRequested(const std::string& job);
    void started(const std::string& job, std::uint32_t task, const Place& place, Time at);
    void ended(const std::string& job, std::uint32_t task, const std::string& machine,
               bool completed, Time at);
    void tick(Time at);
    // The task is on the machine, and the records hold its allocation or not. A task without a
    // recorded allocation for longer than `allowance` is orphaned.
    void observePlacement(const std::string& job, std::uint32_t task, const std::string& machine,
                          bool recorded, Time allowance, Time at);
    // A worker has accepted a node's response. Only one node may use a fencing token of a machine,
    // or the machine would have two leaders.
    void responseAccepted(const std::string& machine, const std::string& node,
                          std::uint64_t fencingToken);
    // The task's machine was transferred to another controller while the task was on it. The
    // transfer must not end the task; its user may still cancel it.
    void machineTransferred(const std::string& job, std::uint32_t task, const std::string& machine,
                            Time at);
    // The task ended before it was done.
    void endedIncomplete(const std::string& job, std::uint32_t task, const std::string& machine,
                         const std::string& why, Time at);
    // Reports every task that ends early soon after a transfer of its machine. Only for runs in
    // which nothing but a transfer or a user's cancellation ends tasks early.
    void forbidTransferDisruptions() { transferDisruptionsForbidden_ = true; }
    // The audit after the last fault found records, cluster states and machines inconsistent.
    void auditFailed(const std::string& what) { addViolation("audit", what); }
    // When the last fault ended.
    [[nodiscard]] Time faultFreeSince() const { return faultFreeSince_; }
    // At the end of the run: checks that enough jobs of each class and team, and enough of the
    // largest jobs of each class, have started.
    void finish(Time at);

    // Called by the simulated users with the responses that they got. The node sent the response at
    // `generatedAt`: a response sent before the user learned of the job's end may arrive after it
    // and report an earlier state without violating a rule.
    void statusReported(const std::string& job, const std::string& state, Time at,
                        Time generatedAt);
    void statusReported(const std::string& job, const std::string& state, Time at) {
        statusReported(job, state, at, at);
    }
    void reportedUnknown(const std::string& job);
    void reportedInvalid(const std::string& job);
    void pollFailed(const std::string& job, Time at);

    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] std::size_t starts() const { return starts_; }
    // Task starts of jobs that were already reported to their users as cancelled.
    [[nodiscard]] std::size_t startsAfterCancel() const { return startsAfterCancel_; }
    [[nodiscard]] bool allTasksDone(const std::string& job) const;

  private:
    struct TrackedJob {
        protocol::JobSpec spec;
        bool accepted = false;
        bool cancelRequested = false;
        std::string final;  // the terminal state reported to the user; empty: none yet
        Time terminalReportedAt{};
        Time lastResponseAt{};
        Time submittedAt{};
        std::optional<Time> doneAt;  // when its last task was done
        std::optional<Time> firstStartAt;
        std::optional<Time> startableSince;  // since when it waits although it could start
        // Gangs only: since when some but not all of its tasks are on machines.
        std::optional<Time> partiallyPlacedSince;
        std::set<std::uint32_t> done;
        std::map<std::uint32_t, std::map<std::string, Place>> placements;  // by task, machine
    };

    struct StartCounts {
        int jobs = 0;
        int started = 0;
    };
    void addViolation(const std::string& rule, const std::string& what);
    // All direct and transitive dependencies of the job.
    [[nodiscard]] std::vector<const TrackedJob*> ancestors(const TrackedJob& job) const;
    // When the last dependency of the job was done; none: not all are done.
    [[nodiscard]] std::optional<Time> readyAt(const TrackedJob& job) const;
    void checkPartiallyPlaced(const std::string& id, TrackedJob& job, Time at);
    void checkOrphaned(const std::string& id, const TrackedJob& job, Time generatedAt);

    std::vector<config::Team> teams_;
    std::map<std::string, Time> unallocatedSince_;  // by task and machine
    Time cancelLimit_;
    Time faultFreeSince_{};  // the end of the last fault
    std::map<std::string, TrackedJob> jobs_;
    std::vector<std::string> violations_;
    std::set<std::string> invalidJobs_;
    std::size_t starts_ = 0;
    std::size_t startsAfterCancel_ = 0;
    // The node that uses each fencing token, by machine and token.
    std::map<std::pair<std::string, std::uint64_t>, std::string> tokenIssuers_;
    // The last transfer of a task's machine, by job and task.
    std::map<std::pair<std::string, std::uint32_t>, Time> transferredAt_;
    bool transferDisruptionsForbidden_ = false;
};

}  // namespace fawnwheel::sim
