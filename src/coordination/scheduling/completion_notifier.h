/// @file
/// Detects the completion of jobs that other jobs depend on, and notifies peers of it.
#pragma once

#include <map>
#include <set>

#include "coordination/membership/membership.h"
#include "coordination/round_scheduler.h"

namespace fawnwheel::coordination {

/// Resolves dependencies from terminal records. `JobCompleted` messages only shorten the delay: a
/// job is released only by terminal records that this process has read or written.
class CompletionNotifier {
  public:
    /// `rounds` is asked for a scheduling round when a terminal record has been read, because jobs
    /// may have been released or may have to be cancelled.
    CompletionNotifier(Context& context, Membership& membership, RoundScheduler& rounds)
        : context_(context), membership_(membership), rounds_(rounds) {}

    /// Reads the terminal records of unresolved dependencies of jobs in partitions that this node
    /// leads.
    void resolveDependencies();
    /// Notifies the leaders of all jobs that depend on `job`. To be called once the job's end is
    /// durable.
    void notifyDependents(const std::string& job);
    /// Handles a peer's message that a job has ended: reads its terminal record if a job in a
    /// partition led by this node waits for it.
    void onJobCompleted(const protocol::JobCompleted& message);

  private:
    using Partitions = std::set<std::uint32_t>;

    // Whether one of these partitions owns a job that depends on `dependency`, or a slice of one.
    [[nodiscard]] static bool hasDependentIn(ClusterState& clusterState,
                                             const std::string& dependency,
                                             const Partitions& partitions);
    [[nodiscard]] Partitions ledPartitions();
    void readTerminal(const std::string& dependency);

    Context& context_;
    Membership& membership_;
    RoundScheduler& rounds_;
    std::set<std::string> readsInFlight_;        // ids of dependencies
    std::map<std::string, SteadyTime> retryAt_;  // by dependency, after an unsuccessful read
};

}  // namespace fawnwheel::coordination
