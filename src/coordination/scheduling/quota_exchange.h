// Moves quota shares of a team's limit between partitions. The shares always add up to the limit:
// the partition that gives reduces its own before the change is sent, the one that gets uses it
// once it is recorded.
#pragma once

#include "coordination/replication/transaction_pipeline.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/request_throttle.h"

namespace fawnwheel::coordination {

class QuotaExchange {
  public:
    QuotaExchange(Context& context, Membership& membership, TransactionPipeline& pipeline,
                  Placement& placement)
        : context_(context), membership_(membership), pipeline_(pipeline), placement_(placement) {}

    // Asks peers for what only the partition's share keeps from starting.
    void requestQuota(std::uint32_t partition, const std::vector<UnschedulableWork>& unschedulable);
    void onQuotaRequest(const std::string& peer, const protocol::QuotaRequest& request);

    // A change of a team's quota shares, to be carried out in some transaction of the giving
    // partition.
    struct QuotaTransfer {
        std::string team;
        protocol::Compare compare;
        protocol::Write change;
    };
    // From now on the giving partition does not use what is moved, whatever becomes of the change;
    // none: another change of the team's quota shares has no outcome yet.
    [[nodiscard]] std::optional<QuotaTransfer> begin(ClusterState& clusterState,
                                                     const config::Team& team, std::uint32_t from,
                                                     std::uint32_t to, storage::QuotaShare moved);
    // The transaction has its outcome.
    void settle(ClusterState& clusterState, const QuotaTransfer& change, CommitResult result,
                std::uint64_t revision);

  private:
    Context& context_;
    Membership& membership_;
    TransactionPipeline& pipeline_;
    Placement& placement_;
    RequestThrottle throttle_;  // by job
};

}  // namespace fawnwheel::coordination
