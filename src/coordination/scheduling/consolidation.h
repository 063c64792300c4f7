/// @file
/// Drains machines with low utilization so that they can be released.
#pragma once

#include "coordination/scheduling/placement_constraints.h"

namespace fawnwheel::coordination {

/// Selects the machine whose unused capacity costs most and whose tasks fit on other machines.
class Consolidation {
  public:
    explicit Consolidation(Context& context) : context_(context) {}

    /// Marks one machine of the partition as draining and its tasks as to be stopped; the tasks are
    /// placed again on other machines. Returns the machine's id, or none if no machine qualifies or
    /// one is already being drained.
    [[nodiscard]] std::optional<std::string> consolidateOneMachine(PartitionId partition);

  private:
    // Whether all of the machine's tasks may be stopped now and fit on other machines in use.
    // Appends their allocations to `allocations`.
    [[nodiscard]] bool canConsolidate(ClusterState& clusterState, const Machine& machine,
                                      std::vector<Allocation*>& allocations) const;
    // Whether the task writes checkpoints, has run long enough to count as started, and may move
    // without the job's other tasks.
    [[nodiscard]] bool canMove(const Job& job, const Allocation& allocation) const;
    // Finds a machine for one more task of the job, given the resources by machine that `consumed`
    // has already assigned, and adds the task's resources to it. False if no machine fits.
    [[nodiscard]] bool tryConsumeCapacity(const ClusterState& clusterState, const Machine& machine,
                                          const Job& job,
                                          std::map<std::string, Resources>& consumed) const;

    Context& context_;
};

}  // namespace fawnwheel::coordination
