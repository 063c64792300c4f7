// Watches the stand-in world and notes every breach of a rule.
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

    // From the world: what truly happens.
    void submitted(const protocol::JobSpec& spec, Time at);
    // A job that no node may accept.
    void submittedInvalid(const std::string& job) { invalidJobs_.insert(job); }
    // It has tasks without a place, and a machine that fits has room, or not.
    void observeWaiting(const std::string& job, bool couldStart, Time at);
    void faultsUntil(Time at) { faultFreeSince_ = std::max(faultFreeSince_, at); }
    void cancelRequested(const std::string& job);
    void started(const std::string& job, std::uint32_t task, const Place& place, Time at);
    void ended(const std::string& job, std::uint32_t task, const std::string& machine,
               bool completed, Time at);
    void tick(Time at);
    // The task is on the machine, with an allocation in the records or without, and may stay
    // without one for so long.
    void observePlacement(const std::string& job, std::uint32_t task, const std::string& machine,
                          bool recorded, Time allowance, Time at);
    // A worker has taken a node's answer: a token has one node, and so a machine one leader.
    void responseAccepted(const std::string& machine, const std::string& node,
                          std::uint64_t fencingToken);
    // The task's machine was given to another controller while the task was on it. From now on
    // nothing but its user may end it.
    void machineTransferred(const std::string& job, std::uint32_t task, const std::string& machine,
                            Time at);
    // The task ended without being done.
    void endedIncomplete(const std::string& job, std::uint32_t task, const std::string& machine,
                         const std::string& why, Time at);
    // Moves must disturb no task: only where nothing else stops any.
    void forbidTransferDisruptions() { transferDisruptionsForbidden_ = true; }
    // An audit after all troubles has found records, cluster states and machines apart.
    void auditFailed(const std::string& what) { addViolation("audit", what); }
    // Since when there has been no trouble.
    [[nodiscard]] Time faultFreeSince() const { return faultFreeSince_; }
    // The day is over: whether enough of each class, team and size was served.
    void finish(Time at);

    // From the users: what they were answered.
    // The node gave the answer at `given`: one that it gave before the user was told of an end is
    // no older answer after it, whenever it arrives.
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
    // Of jobs whose user had been told that they are cancelled.
    [[nodiscard]] std::size_t startsAfterCancel() const { return startsAfterCancel_; }
    [[nodiscard]] bool allTasksDone(const std::string& job) const;

  private:
    struct TrackedJob {
        protocol::JobSpec spec;
        bool accepted = false;
        bool cancelRequested = false;
        std::string final;  // told
        Time terminalReportedAt{};
        Time lastResponseAt{};
        Time submittedAt{};
        std::optional<Time> doneAt;  // its last task
        std::optional<Time> firstStartAt;
        std::optional<Time> startableSince;  // although it could start
        std::optional<Time>
            partiallyPlacedSince;  // a gang: some of its tasks are on machines, not all
        std::set<std::uint32_t> done;
        std::map<std::uint32_t, std::map<std::string, Place>> placements;  // task -> machine
    };

    struct StartCounts {
        int jobs = 0;
        int started = 0;
    };
    void addViolation(const std::string& rule, const std::string& what);
    // All that the job needs, directly or through others.
    [[nodiscard]] std::vector<const TrackedJob*> ancestors(const TrackedJob& job) const;
    // When the last job that it needs was done; none: not all are.
    [[nodiscard]] std::optional<Time> readyAt(const TrackedJob& job) const;
    void checkPartiallyPlaced(const std::string& id, TrackedJob& job, Time at);
    void checkOrphaned(const std::string& id, const TrackedJob& job, Time generatedAt);

    std::vector<config::Team> teams_;
    std::map<std::string, Time> unallocatedSince_;  // by task and machine
    Time cancelLimit_;
    Time faultFreeSince_{};  // all troubles are over
    std::map<std::string, TrackedJob> jobs_;
    std::vector<std::string> violations_;
    std::set<std::string> invalidJobs_;
    std::size_t starts_ = 0;
    std::size_t startsAfterCancel_ = 0;
    std::map<std::pair<std::string, std::uint64_t>, std::string>
        tokenIssuers_;                                                     // machine, token: node
    std::map<std::pair<std::string, std::uint32_t>, Time> transferredAt_;  // tasks: when last
    bool transferDisruptionsForbidden_ = false;
};

}  // namespace fawnwheel::sim
