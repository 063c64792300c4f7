/// @file
/// Moves quota shares of teams' limits between partitions.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/replication/transaction_pipeline.h"
#include "coordination/scheduling/queue_order.h"
#include "coordination/scheduling/request_throttle.h"
#include "coordination/scheduling/team_quotas.h"
#include "coordination/scheduling/unschedulable_work.h"

namespace fawnwheel::coordination {

/// Requests and grants quota shares. The shares always add up to the limit: the giving partition
/// reduces its own before the change is sent, the receiving one uses it once it is recorded.
class QuotaExchange {
  public:
    QuotaExchange(Context& context, Membership& membership, TransactionPipeline& pipeline,
                  const TeamQuotas& quotas, const QueueOrder& queueOrder)
        : context_(context),
          membership_(membership),
          pipeline_(pipeline),
          quotas_(quotas),
          queueOrder_(queueOrder) {}

    /// Asks the other partitions' leaders for what the first job lacks that only the partition's
    /// quota share keeps waiting.
    void requestQuota(PartitionId partition, const std::vector<UnschedulableWork>& unschedulable);
    /// Gives what the job lacks and the lending partition doesn't need for work that goes before
    /// it. Ignores requests of nodes that don't lead the borrowing partition.
    void onQuotaRequest(const std::string& peer, const protocol::QuotaRequest& request);

    /// A change of a team's quota shares, to be carried out in some transaction of the giving
    /// partition.
    struct QuotaTransfer {
        std::string team;
        protocol::Compare compare;
        protocol::Write change;
    };
    /// Begins a transfer. From now on the giving partition does not use what is moved, whatever
    /// becomes of the change. None: another change of the team's shares has no outcome yet.
    [[nodiscard]] std::optional<QuotaTransfer> beginTransfer(ClusterState& clusterState,
                                                             const config::Team& team,
                                                             std::uint32_t from, std::uint32_t to,
                                                             storage::QuotaShare moved);
    /// Ends a transfer: its transaction has this outcome.
    void finishTransfer(ClusterState& clusterState, const QuotaTransfer& transfer,
                        CommitResult result, std::uint64_t revision);

  private:
    // How much of the lender's share the job's remaining tasks lack on the borrower.
    [[nodiscard]] storage::QuotaShare grantFor(ClusterState& clusterState, const Job& job,
                                               const config::Team& team,
                                               const protocol::QuotaRequest& request) const;
    // Whether the lending partition has work of the job's team that goes before it.
    [[nodiscard]] bool isNeededByLender(const ClusterState& clusterState, const Job& job,
                                        std::uint32_t lender) const;

    Context& context_;
    Membership& membership_;
    TransactionPipeline& pipeline_;
    const TeamQuotas& quotas_;
    const QueueOrder& queueOrder_;
    RequestThrottle throttle_;  // by job
};

}  // namespace fawnwheel::coordination
