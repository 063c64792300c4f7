/// @file
/// Which jobs depend on which others, and what that means for each of them.
///
/// The edges are those that the active records name. A dependency counts as done only by its
/// terminal record, which never changes: what was once read holds for ever. Everything is kept up
/// to date along the edges when a job arrives, ends or is cancelled, so that nothing ever walks
/// over all jobs. The results are kept with the job (`Job::blockedOnDependencies` and the fields
/// after it).
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

/// What a terminal record says.
struct TerminalState {
    bool cancelled = false;
    std::optional<WallTime> at;  ///< records of the first version lack it
};

/// The dependencies between the jobs of a cluster state, whose map of jobs it refers to.
class DependencyGraph {
  public:
    /// How long a job takes from its release to its end, as far as can be foreseen.
    using TurnaroundEstimator = std::function<Seconds(const JobSpec&)>;

    explicit DependencyGraph(std::map<std::string, Job>& jobs) : jobs_(jobs) {}

    /// Until this is set, a job takes as long as its specification estimates. Set once at start,
    /// because the estimator needs the cluster state itself.
    void setTurnaroundEstimator(TurnaroundEstimator estimator) { stepTime_ = std::move(estimator); }

    /// The job's active record was seen for the first time; its specification and the time of its
    /// submission are set.
    void add(Job& job);
    /// The job's active record is gone. Its terminal state, if known, is to be recorded before.
    void remove(const Job& job);
    /// The job is cancelled, by its record or by a peer's word: so are all its dependents.
    void onCancelled(Job& job);
    /// Ignored unless an active job depends on it.
    void recordTerminal(const std::string& job, const TerminalState& state);

    /// Forgets the edges, before the active records are read again, and keeps the terminal states.
    void clear();
    /// Forgets, after that, the terminal states on which no active job depends.
    void prune();

    /// Active jobs that depend on the job.
    [[nodiscard]] const std::vector<std::string>& dependents(const std::string& job) const;
    /// Dependencies of active jobs that have no active record, and whose terminal record has not
    /// been read here.
    [[nodiscard]] const std::set<std::string>& unresolved() const { return unresolved_; }
    [[nodiscard]] bool isTerminalKnown(const std::string& job) const {
        return terminals_.contains(job);
    }

  private:
    /// What dependents ask of a job.
    struct Demand {
        protocol::Priority priority = protocol::Priority::low;
        std::optional<WallTime> latestEnd;
        bool operator==(const Demand&) const = default;
    };

    /// Cancelled itself, or certain to be.
    [[nodiscard]] static bool isCancelled(const Job& job);
    [[nodiscard]] static Demand demandOn(const Job& job) { return {job.priority, job.latestEnd}; }
    /// What the dependent asks of each of its dependencies.
    [[nodiscard]] Demand demandOf(const Job& dependent) const;
    static void add(Demand& total, const Demand& more);
    /// Recomputes what the job's dependents ask of it; returns whether that has changed.
    [[nodiscard]] bool collectDemand(Job& job) const;
    /// Passes a changed demand of the job on to its dependencies.
    void propagateDemand(const Job& job);
    /// Recomputes whether the job is blocked and whether a dependency is cancelled; returns whether
    /// the latter is new.
    bool resolve(Job& job);
    /// Marks all that depend on the job, directly or through others, as to be cancelled.
    void cancelDependents(const std::string& job);

    std::map<std::string, Job>& jobs_;
    std::unordered_map<std::string, std::vector<std::string>> dependents_;  // by dependency
    std::unordered_map<std::string, TerminalState> terminals_;              // of dependencies
    std::set<std::string> unresolved_;
    TurnaroundEstimator stepTime_ = [](const JobSpec& spec) { return spec.estimate; };
};

}  // namespace fawnwheel::storage
