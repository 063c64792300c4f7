/// @file
/// Teams' quotas: a partition's share of the limit, the unused part of it, and guarantees.
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Reads quota shares and their usage from the cluster state. `QuotaExchange` changes the shares.
class TeamQuotas {
  public:
    explicit TeamQuotas(const Context& context) : context_(context) {}

    /// The unused part of the partition's share of the team's limit; a very large amount if the
    /// team has no limit.
    [[nodiscard]] Resources remainingQuota(ClusterState& clusterState, const std::string& team,
                                           PartitionId partition) const;
    /// The partition's share of the team's limit. Until shares are recorded, all partitions have
    /// equal ones.
    [[nodiscard]] storage::QuotaShare quotaShareOf(const ClusterState& clusterState,
                                                   const config::Team& team,
                                                   PartitionId partition) const;
    /// Whether the team's usage in all partitions plus one more task of the job is within the
    /// team's guarantee.
    [[nodiscard]] bool withinGuarantee(const ClusterState& clusterState, const Job& job) const;

  private:
    const Context& context_;
};

}  // namespace fawnwheel::coordination
