/// @file
/// Applies the task statuses of a valid heartbeat and chooses the commands that respond to them.
#pragma once

#include "coordination/workers/fault_attribution.h"
#include "coordination/workers/heartbeat_observer.h"
#include "coordination/workers/start_policy.h"

namespace fawnwheel::coordination {

/// Applies the task statuses of a heartbeat to the allocations, and adds the commands that a status
/// requires: stops, and permission to forget a task that has ended. A gang's task may also be
/// started again to extend its wait.
class TaskStatusApplier {
  public:
    TaskStatusApplier(Context& context, const StartPolicy& startPolicy, HeartbeatObserver& observer)
        : context_(context),
          startPolicy_(startPolicy),
          observer_(observer),
          faultAttribution_(context) {}

    void apply(ClusterState& clusterState, Machine& machine, const protocol::Heartbeat& heartbeat,
               const protocol::TaskStatus& task, std::vector<protocol::Command>& commands);

  private:
    /// What a heartbeat proves about the present state of its machine's tasks.
    enum class Evidence {
        current,           ///< it carries a fencing token of this leader
        possiblyOutdated,  ///< it may be a late copy, or may have been sent before this term
    };
    /// Whether the status proves that this attempt at the task will not run again.
    [[nodiscard]] static bool provesExit(const protocol::TaskStatus& task, Evidence evidence);
    /// Handles a task without an allocation on this machine in this attempt. `job` and `slice` are
    /// null if this node does not know them.
    void applyUnallocated(ClusterState& clusterState, Machine& machine, Job* job, Slice* slice,
                          const protocol::TaskStatus& task, Evidence evidence,
                          std::vector<protocol::Command>& commands);
    /// Whether the running task may get an allocation on its machine: it has none on any machine,
    /// still has to be done, and is not part of a gang.
    [[nodiscard]] static bool isAdoptable(const ClusterState& clusterState, const Machine& machine,
                                          Job* job, const Slice* slice,
                                          const protocol::TaskStatus& task);
    void adopt(ClusterState& clusterState, const Machine& machine, Job& job, Slice& slice,
               const protocol::TaskStatus& task);
    void applyProgress(ClusterState& clusterState, Machine& machine, Job& job, Slice& slice,
                       Allocation& allocation, const protocol::TaskStatus& task, Evidence evidence);
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
