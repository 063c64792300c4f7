/// @file
/// What belongs to one placement run of one partition.
#pragma once

#include "coordination/scheduling/fragmentation_guard.h"
#include "coordination/scheduling/queue_order.h"
#include "coordination/scheduling/team_quotas.h"
#include "coordination/scheduling/unschedulable_work.h"

namespace fawnwheel::coordination {

/// State of a run while the cluster state is locked.
class PlacementRun {
  public:
    PlacementRun(const Context& context, const TeamQuotas& quotas, ClusterState& state,
                 std::uint32_t partitionNumber)
        : partition(partitionNumber),
          clusterState(state),
          capacityIndex(context, state, partitionNumber),
          guard(state),
          quotas_(quotas) {}

    /// What is left of the team's quota; worked out when first asked for, then kept up to date by
    /// the run.
    [[nodiscard]] Resources& quotaLeft(const std::string& team) {
        const auto [entry, fresh] = quotaLeft_.try_emplace(team);
        if (fresh) entry->second = quotas_.remainingQuota(clusterState, team, partition);
        return entry->second;
    }
    /// Counts the guard's spare slots, once.
    void countSpareSlots() {
        if (!std::exchange(spareSlotsCounted_, true))
            guard.countSpareSlots(capacityIndex, clusterState, partition);
    }

    const PartitionId partition;
    ClusterState& clusterState;
    CapacityIndex capacityIndex;
    FragmentationGuard guard;
    bool recordsLagging = false;
    std::set<std::string> blockedZones;  ///< where a gang that lacks machines is assembled
    std::vector<ReadyJob> toFetch;       ///< jobs that may fetch their images after all others
    std::vector<UnschedulableWork> unschedulable;

  private:
    const TeamQuotas& quotas_;
    std::map<std::string, Resources> quotaLeft_;  // by team
    bool spareSlotsCounted_ = false;
};

}  // namespace fawnwheel::coordination
