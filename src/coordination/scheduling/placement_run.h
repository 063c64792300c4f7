/// @file
/// State of one placement run of one partition.
#pragma once

#include "coordination/scheduling/fragmentation_guard.h"
#include "coordination/scheduling/queue_order.h"
#include "coordination/scheduling/team_quotas.h"
#include "coordination/scheduling/unschedulable_work.h"

namespace fawnwheel::coordination {

/// Exists only while the cluster state is locked. The capacity index and the guard point into it.
class PlacementRun {
  public:
    PlacementRun(const Context& context, const TeamQuotas& quotas, ClusterState& state,
                 std::uint32_t partitionNumber)
        : partition(partitionNumber),
          clusterState(state),
          capacityIndex(context, state, partitionNumber),
          guard(state),
          quotas_(quotas) {}

    /// The team's remaining quota. Computed on the first call; the caller subtracts what it
    /// allocates.
    [[nodiscard]] Resources& quotaLeft(const std::string& team) {
        const auto [entry, inserted] = quotaLeft_.try_emplace(team);
        if (inserted) entry->second = quotas_.remainingQuota(clusterState, team, partition);
        return entry->second;
    }
    /// Counts the guard's spare slots. Only the first call in a run has an effect.
    void countSpareSlots() {
        if (!std::exchange(spareSlotsCounted_, true))
            guard.countSpareSlots(capacityIndex, clusterState, partition);
    }

    const PartitionId partition;
    ClusterState& clusterState;
    CapacityIndex capacityIndex;
    FragmentationGuard guard;
    bool recordsLagging = false;
    std::set<std::string> blockedZones;      ///< zones of gangs that lack machines
    std::vector<ReadyJob> deferredForFetch;  ///< arrays that may fetch their image at the end
    std::vector<UnschedulableWork> unschedulable;

  private:
    const TeamQuotas& quotas_;
    std::map<std::string, Resources> quotaLeft_;  // by team
    bool spareSlotsCounted_ = false;
};

}  // namespace fawnwheel::coordination
