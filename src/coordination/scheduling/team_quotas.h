/// @file
/// Teams' limits: the partition's share of each, what is left of it, and guarantees.
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Reads quota shares and their use from the cluster state. `QuotaExchange` changes them.
class TeamQuotas {
  public:
    explicit TeamQuotas(const Context& context) : context_(context) {}

    /// What the partition may still use of the team's limit. Without a limit: practically endless.
    [[nodiscard]] Resources remainingQuota(ClusterState& clusterState, const std::string& team,
                                           PartitionId partition) const;
    /// The partition's share of the team's limit. As long as none is recorded, an equal one.
    [[nodiscard]] storage::QuotaShare quotaShareOf(const ClusterState& clusterState,
                                                   const config::Team& team,
                                                   PartitionId partition) const;
    /// Whether what the job's team uses, with one more task of it, lies within its guarantee.
    [[nodiscard]] bool withinGuarantee(const ClusterState& clusterState, const Job& job) const;

  private:
    const Context& context_;
};

}  // namespace fawnwheel::coordination
