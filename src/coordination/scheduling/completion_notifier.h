// The trigger of a dependent job: its dependencies' ends, told by their leaders and proved by their
// terminal records.
//
// A message about an end only saves time. A job is released by terminal records that were read here
// or written here, and by nothing else.
#pragma once

#include <functional>
#include <set>

#include "coordination/membership/membership.h"

namespace fawnwheel::coordination {

class CompletionNotifier {
  public:
    CompletionNotifier(Context& context, Membership& membership)
        : context_(context), membership_(membership) {}

    // Reads the terminal records that jobs of our partitions wait for.
    void resolveDependencies();
    // A job has ended, durably: tells the leaders of the jobs that wait for it.
    void announce(const std::string& job);
    void onJobCompleted(const protocol::JobCompleted& message);

    // A terminal record has been read: jobs may have been released, or have to be cancelled.
    std::function<void()> onRead = [] {};

  private:
    using Partitions = std::set<std::uint32_t>;

    // Whether a job that waits for it has its home or a slice in one of these partitions.
    [[nodiscard]] static bool concerns(ClusterState& clusterState, const std::string& dependency,
                                       const Partitions& partitions);
    [[nodiscard]] Partitions ledPartitions();
    void read(const std::string& dependency);

    Context& context_;
    Membership& membership_;
    std::set<std::string> reading_;
    std::map<std::string, SteadyTime> notBefore_;  // after a read that failed
};

}  // namespace fawnwheel::coordination
