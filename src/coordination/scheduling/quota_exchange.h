/// @file
/// Transfers shares of teams' quotas between partitions.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/replication/transaction_pipeline.h"
#include "coordination/scheduling/queue_order.h"
#include "coordination/scheduling/request_throttle.h"
#include "coordination/scheduling/team_quotas.h"
#include "coordination/scheduling/unschedulable_work.h"

namespace fawnwheel::coordination {

/// Requests and grants quota shares. The shares of a team always add up to its limit: the lender
/// stops using the transferred quota before the change is sent, and the borrower uses it only after
/// the change is recorded.
class QuotaExchange {
  public:
    QuotaExchange(Context& context, Membership& membership, TransactionPipeline& pipeline,
                  const TeamQuotas& quotas, const QueueOrder& queueOrder)
        : context_(context),
          membership_(membership),
          pipeline_(pipeline),
          quotas_(quotas),
          queueOrder_(queueOrder) {}

    /// Requests quota from the leaders of the other partitions for the first job in the list that
    /// only waits because its team's quota share in the partition is used up.
    void requestQuota(PartitionId partition, const std::vector<UnschedulableWork>& unschedulable);
    /// Transfers the quota that the job lacks, unless the lending partition has work of the same
    /// team that precedes the job. Ignores requests of nodes that do not lead the borrowing
    /// partition.
    void onQuotaRequest(const std::string& peer, const protocol::QuotaRequest& request);

    /// A change of a team's quota shares, to be added to a transaction of the lending partition.
    struct QuotaTransfer {
        std::string team;
        protocol::Compare compare;
        protocol::Write change;
    };
    /// Begins a transfer. From now on the lending partition does not use the amount, whether
    /// or not the change succeeds, until `finishTransfer` is called. None if the outcome of another
    /// change of the team's shares is not known yet.
    [[nodiscard]] std::optional<QuotaTransfer> beginTransfer(ClusterState& clusterState,
                                                             const config::Team& team,
                                                             std::uint32_t from, std::uint32_t to,
                                                             storage::QuotaShare amount);
    /// Ends a transfer whose transaction had this outcome. If it was committed, applies the new
    /// shares.
    void finishTransfer(ClusterState& clusterState, const QuotaTransfer& transfer,
                        CommitResult result, std::uint64_t revision);

  private:
    // How much of the lender's remaining quota the job's remaining tasks need in addition to the
    // borrower's.
    [[nodiscard]] storage::QuotaShare computeGrant(ClusterState& clusterState, const Job& job,
                                                   const config::Team& team,
                                                   const protocol::QuotaRequest& request) const;
    // Whether the lending partition has waiting work of the same team that precedes the job.
    [[nodiscard]] bool isNeededByLender(const ClusterState& clusterState, const Job& job,
                                        std::uint32_t lender) const;

    Context& context_;
    Membership& membership_;
    TransactionPipeline& pipeline_;
    const TeamQuotas& quotas_;
    const QueueOrder& queueOrder_;
    RequestThrottle throttle_;  // keyed by job id
};

}  // namespace fawnwheel::coordination
