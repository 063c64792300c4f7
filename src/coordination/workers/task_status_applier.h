/// @file
/// Takes in what a valid heartbeat says of each task, and chooses the answer to it.
#pragma once

#include "coordination/workers/fault_attribution.h"
#include "coordination/workers/heartbeat_observer.h"
#include "coordination/workers/start_policy.h"

namespace fawnwheel::coordination {

/// Applies the task statuses of a heartbeat to the allocations, and adds the commands that a
/// status calls for: stops, and permission to forget a task that has ended.
class TaskStatusApplier {
  public:
    TaskStatusApplier(Context& context, const StartPolicy& startPolicy, HeartbeatObserver& observer)
        : context_(context),
          startPolicy_(startPolicy),
          observer_(observer),
          faultAttribution_(context) {}

    void apply(ClusterState& clusterState, Machine& machine, const protocol::TaskStatus& task,
               std::vector<protocol::Command>& commands);

  private:
    /// The task has no allocation on this machine in this attempt. `job` and `slice` are null if
    /// they are unknown.
    void applyUnallocated(ClusterState& clusterState, Machine& machine, Job* job, Slice* slice,
                          const protocol::TaskStatus& task,
                          std::vector<protocol::Command>& commands);
    /// The task may get an allocation where it runs, since it has none anywhere and is to be done.
    [[nodiscard]] static bool isAdoptable(const ClusterState& clusterState, const Machine& machine,
                                          Job* job, const Slice* slice,
                                          const protocol::TaskStatus& task);
    void adopt(ClusterState& clusterState, const Machine& machine, Job& job, Slice& slice,
               const protocol::TaskStatus& task);
    void applyProgress(ClusterState& clusterState, Machine& machine, Job& job, Slice& slice,
                       Allocation& allocation, const protocol::TaskStatus& task);
    void applyExit(ClusterState& clusterState, Machine& machine, Job& job, Slice& slice,
                   const Allocation& allocation, const protocol::TaskStatus& task);
    void applyExitCause(ClusterState& clusterState, Machine& machine, Job& job, Slice& slice,
                        const Allocation& allocation, const protocol::TaskStatus& task);
    void applyDone(ClusterState& clusterState, Machine& machine, Job& job, Slice& slice,
                   std::uint32_t task);

    Context& context_;
    const StartPolicy& startPolicy_;
    HeartbeatObserver& observer_;
    FaultAttribution faultAttribution_;
};

}  // namespace fawnwheel::coordination
