/// @file
/// The dependencies between jobs, and their effects on each job.
///
/// The edges come from the active records. A dependency counts as done only by its terminal record,
/// which never changes after it was written. When a job is added, ends or is cancelled, the effects
/// are propagated along the edges, so that no update visits all jobs. The results are stored in the
/// job (`Job::blockedOnDependencies` and the fields after it).
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "storage/job.h"

namespace fawnwheel::storage {

/// The content of a terminal record.
struct TerminalState {
    bool cancelled = false;
    std::optional<WallTime> at;  ///< when the job ended; records of the first version lack it
};

/// The dependency graph of the jobs of a cluster state. Keeps a reference to its map of jobs.
class DependencyGraph {
  public:
    /// Estimates the time from a job's release to its end.
    using TurnaroundEstimator = std::function<Seconds(const JobSpec&)>;

    explicit DependencyGraph(std::map<std::string, Job>& jobs) : jobs_(jobs) {}

    /// Until an estimator is set, the estimate in the job's specification is used. The estimator is
    /// set once at start and not on construction, because it needs the cluster state itself.
    void setTurnaroundEstimator(TurnaroundEstimator estimator) {
        estimateTurnaround_ = std::move(estimator);
    }

    /// Adds a job whose active record was read for the first time. Its specification and its
    /// submission time must be set.
    void add(Job& job);
    /// Removes a job whose active record was deleted. If its terminal state is known, that must be
    /// recorded first.
    void remove(const Job& job);
    /// Marks the job as cancelled by its record or by a peer's report, and all its dependents as
    /// cancelled with it.
    void onCancelled(Job& job);
    /// Records a job's terminal state; ignored unless an active job depends on the job.
    void recordTerminal(const std::string& job, const TerminalState& state);

    /// Clears the edges before the active records are read again, and keeps the terminal states.
    void clear();
    /// Removes the terminal states on which no active job depends, after the active records were
    /// read again.
    void prune();

    /// Active jobs that depend directly on the job.
    [[nodiscard]] const std::vector<std::string>& dependents(const std::string& job) const;
    /// Dependencies of active jobs that have no active record and whose terminal record this
    /// process has not read.
    [[nodiscard]] const std::set<std::string>& unresolved() const { return unresolved_; }
    [[nodiscard]] bool isTerminalKnown(const std::string& job) const {
        return terminals_.contains(job);
    }

  private:
    /// The priority and the latest end that dependents require of a job.
    struct Demand {
        protocol::Priority priority = protocol::Priority::low;
        std::optional<WallTime> latestEnd;
        bool operator==(const Demand&) const = default;
    };

    /// Whether the job is cancelled, or will be because of a cancelled dependency.
    [[nodiscard]] static bool isCancelled(const Job& job);
    [[nodiscard]] static Demand storedDemand(const Job& job) {
        return {job.priority, job.latestEnd};
    }
    /// The demand of the dependent on each of its dependencies.
    [[nodiscard]] Demand demandFrom(const Job& dependent) const;
    static void mergeDemand(Demand& total, const Demand& more);
    /// Recomputes the demand of the job's dependents on it, and returns whether the demand changed.
    [[nodiscard]] bool collectDemand(Job& job) const;
    /// Propagates a changed demand on the job to its direct and transitive dependencies.
    void propagateDemand(const Job& job);
    /// Recomputes whether the job is blocked and whether a dependency is cancelled. Returns true if
    /// a cancelled dependency was not known before.
    bool resolve(Job& job);
    /// Marks all direct and transitive dependents of the job as having a cancelled dependency.
    void cancelDependents(const std::string& job);

    std::map<std::string, Job>& jobs_;
    std::unordered_map<std::string, std::vector<std::string>> dependents_;  // by dependency
    std::unordered_map<std::string, TerminalState> terminals_;              // by dependency
    std::set<std::string> unresolved_;
    TurnaroundEstimator estimateTurnaround_ = [](const JobSpec& spec) { return spec.estimate; };
};

}  // namespace fawnwheel::storage
