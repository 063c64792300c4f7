/// @file
/// Empties thinly used machines, so that they can be given back.
#pragma once

#include "coordination/scheduling/placement_constraints.h"

namespace fawnwheel::coordination {

/// Picks the machine whose unused capacity costs most and whose tasks fit on others.
class Consolidation {
  public:
    explicit Consolidation(Context& context) : context_(context) {}

    /// Marks one machine of the partition and its tasks to be stopped; they are placed again
    /// elsewhere. None: no machine suits, or one is being emptied already.
    [[nodiscard]] std::optional<std::string> consolidateOneMachine(PartitionId partition);

  private:
    // Whether the machine's tasks may be stopped now, and fit on others in use. Adds them to
    // `allocations`.
    [[nodiscard]] bool canConsolidate(ClusterState& clusterState, const Machine& machine,
                                      std::vector<Allocation*>& allocations) const;
    // Whether the task saves its progress, runs long enough to have counted as started, and is not
    // tied to other tasks.
    [[nodiscard]] bool canMove(const Job& job, const Allocation& allocation) const;
    // Finds capacity for one more task of the job, beside what `consumed` counts, and counts it.
    [[nodiscard]] bool findCapacity(const ClusterState& clusterState, const Machine& machine,
                                    const Job& job,
                                    std::map<std::string, Resources>& consumed) const;

    Context& context_;
};

}  // namespace fawnwheel::coordination
