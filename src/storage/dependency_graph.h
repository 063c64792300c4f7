// Which jobs wait for which others, and what that means for each of them.
//
// The edges are those that the active records name. A dependency counts as done only by its final
// record, which never changes: what was once read holds for ever. Everything is kept up along the
// edges when a job arrives, ends or is cancelled, so that nothing ever walks over all jobs. What is
// known of a job is kept with it (`Job::waiting` and the fields after it).
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "storage/job.h"

namespace fawnwheel::storage {

// What a terminal record says.
struct TerminalState {
    bool cancelled = false;
    std::optional<WallTime> at;  // records of the first version lack it
};

class DependencyGraph {
  public:
    explicit DependencyGraph(std::map<std::string, Job>& jobs) : jobs_(jobs) {}

    // The job's active record was seen for the first time; all durable fields are set.
    void add(Job& job);
    // The job's active record is gone. Its terminal state, if known, is to be noted before.
    void remove(const Job& job);
    // The job is cancelled, by its record or by a peer's word: so are all that need it.
    void onCancelled(Job& job);
    // Ignored unless a live job names it.
    void recordTerminal(const std::string& job, const TerminalState& state);

    // The active records are read anew: forgets the edges, and keeps the terminal states.
    void clear();
    // After that: forgets the terminal states that no live job asks for.
    void prune();

    // Live jobs that name the job.
    [[nodiscard]] const std::vector<std::string>& dependents(const std::string& job) const;
    // Dependencies of live jobs that are not live, and whose terminal record has not been read
    // here.
    [[nodiscard]] const std::set<std::string>& unresolved() const { return unresolved_; }
    [[nodiscard]] bool isTerminalKnown(const std::string& job) const {
        return terminals_.contains(job);
    }

    // How long a job takes from its release to its end, as far as can be foreseen.
    std::function<Seconds(const JobSpec&)> stepTime = [](const JobSpec& spec) {
        return spec.estimate;
    };

  private:
    // What a dependent asks of a job.
    struct Demand {
        protocol::Priority priority = protocol::Priority::low;
        std::optional<WallTime> latestEnd;
        bool operator==(const Demand&) const = default;
    };

    [[nodiscard]] static bool stopped(const Job& job);
    [[nodiscard]] static Demand demandOn(const Job& job) { return {job.priority, job.latestEnd}; }
    [[nodiscard]] Demand demandOf(const Job& dependent) const;
    static void add(Demand& total, const Demand& more);
    // Works out anew what the job's dependents ask of it; whether that has changed.
    bool collectDemand(Job& job) const;
    // The job asks something else than before, or nothing any more.
    void passOnDemand(const Job& job);
    // Works out anew whether the job waits and whether it is doomed; whether it has become doomed.
    bool resolve(Job& job);
    // All that need the job, directly or through others, will be cancelled.
    void cancelDependents(const std::string& job);

    std::map<std::string, Job>& jobs_;
    std::unordered_map<std::string, std::vector<std::string>> dependents_;  // by dependency
    std::unordered_map<std::string, TerminalState> terminals_;              // of dependencies
    std::set<std::string> unresolved_;
};

}  // namespace fawnwheel::storage
