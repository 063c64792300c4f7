/// @file
/// Learns of the ends of jobs that others depend on, and tells peers of them.
#pragma once

#include <map>
#include <set>

#include "coordination/membership/membership.h"
#include "coordination/round_scheduler.h"

namespace fawnwheel::coordination {

/// Resolves dependencies by terminal records. A message about an end only saves time: a job is
/// released by terminal records that were read or written here, and by nothing else.
class CompletionNotifier {
  public:
    /// `rounds` is told when a terminal record has been read: jobs may have been released, or have
    /// to be cancelled.
    CompletionNotifier(Context& context, Membership& membership, RoundScheduler& rounds)
        : context_(context), membership_(membership), rounds_(rounds) {}

    /// Reads the terminal records that jobs of our partitions wait for.
    void resolveDependencies();
    /// Tells the leaders of the jobs that depend on it that a job has ended, durably.
    void notifyDependents(const std::string& job);
    /// A peer's message that a job has ended: reads its record if a job of ours waits for it.
    void onJobCompleted(const protocol::JobCompleted& message);

  private:
    using Partitions = std::set<std::uint32_t>;

    // Whether a job that depends on it has its home or a slice in one of these partitions.
    [[nodiscard]] static bool hasDependentIn(ClusterState& clusterState,
                                             const std::string& dependency,
                                             const Partitions& partitions);
    [[nodiscard]] Partitions ledPartitions();
    void readTerminal(const std::string& dependency);

    Context& context_;
    Membership& membership_;
    RoundScheduler& rounds_;
    std::set<std::string> readsInFlight_;        // by dependency
    std::map<std::string, SteadyTime> retryAt_;  // after a read that failed
};

}  // namespace fawnwheel::coordination
