/// @file
/// Rebalances the machines among the partitions while jobs run.
///
/// In each period every leader announces the demand that its machines can't serve, computes a plan
/// for all partitions, and transfers the machines that the plan takes from its own partitions.
#pragma once

#include "coordination/migration/machine_transfers.h"
#include "coordination/round_scheduler.h"
#include "coordination/scheduling/placement.h"
#include "rebalancing/transfer_plan.h"
#include "rebalancing/transfer_rate_limiter.h"

namespace fawnwheel::coordination {

/// Announces demand, and plans and executes permanent transfers of machines. Disabled by default;
/// the operators' settings enable it.
class Rebalancer {
  public:
    Rebalancer(Context& context, Membership& membership, TransactionPipeline& pipeline,
               Placement& placement, MachineTransfers& transfers, RoundScheduler& roundScheduler)
        : context_(context),
          membership_(membership),
          pipeline_(pipeline),
          placement_(placement),
          transfers_(transfers),
          roundScheduler_(roundScheduler) {}

    /// Schedules the first period, if enabled; must be called once.
    void start();
    /// Stores the work that found no place in the latest scheduling round of a led partition.
    void recordUnschedulable(PartitionId partition,
                             const std::vector<UnschedulableWork>& unschedulable);
    /// Handles a peer's announcement of its partition's demand; ignored unless the peer leads the
    /// partition.
    void onDemand(const std::string& peer, const protocol::DemandUpdate& update);

  private:
    /// The latest announcement of a partition's leader.
    struct PartitionDemand {
        std::vector<rebalancing::Demand> demands;
        SteadyTime announcedAt{};  // when this node received or sent it
    };
    /// Planned transfer of machines from a partition that this node leads; valid until the next
    /// period.
    struct Transfer {
        std::uint32_t from = 0;
        std::uint32_t to = 0;
        rebalancing::Supply supply;
        rebalancing::Demand demand;
        std::uint32_t machines = 0;
        std::set<std::string> attempted;  // machines tried since the plan was made
    };

    [[nodiscard]] bool canRebalance() const;
    void rebalance();
    void announceDemand(PartitionId partition);
    [[nodiscard]] rebalancing::PlanInput collectInput() const;
    /// Whether this node's state of the machine allows a transfer to any demand.
    [[nodiscard]] bool isWanted(const ClusterState& clusterState, const Machine& machine,
                                const rebalancing::PlanInput& input) const;
    /// Whether a task of any demand fits on a machine of the supply.
    [[nodiscard]] static bool isUseful(const rebalancing::Supply& supply,
                                       const rebalancing::PlanInput& input);
    void addSupplies(const ClusterState& clusterState, PartitionId partition,
                     rebalancing::PlanInput& input) const;
    [[nodiscard]] std::vector<rebalancing::Demand> demandsOf(
        const std::vector<UnschedulableWork>& unschedulable) const;
    /// Subtracts the tasks that fit on the partition's machines for which `counts` holds.
    void subtractCapacity(const ClusterState& clusterState, PartitionId partition,
                          const std::function<bool(const Machine&)>& counts,
                          std::vector<rebalancing::Demand>& demands) const;
    /// Whether this node's state of the machine allows a transfer to the recipient.
    [[nodiscard]] bool isTransferable(const ClusterState& clusterState, const Machine& machine,
                                      const rebalancing::Recipient& recipient) const;
    [[nodiscard]] static rebalancing::Recipient recipientOf(const Transfer& transfer);
    void logPlan(const rebalancing::PlanInput& input, const rebalancing::TransferPlan& plan);
    /// Sends the planned transfers that the rate limit allows; retries those whose partition has
    /// other records in flight.
    void executePlan();
    /// Sends the transfer of one machine and what goes with it; false if none could be sent.
    bool transferOne(Transfer& transfer);
    [[nodiscard]] std::vector<std::string> candidates(const Transfer& transfer);
    void logRefusal(const std::string& machine, rebalancing::Refusal refusal);

    Context& context_;
    Membership& membership_;
    TransactionPipeline& pipeline_;
    Placement& placement_;
    MachineTransfers& transfers_;
    RoundScheduler& roundScheduler_;
    std::map<std::uint32_t, std::vector<UnschedulableWork>> unschedulable_;  // by led partition
    std::map<std::uint32_t, rebalancing::DemandAverage> averages_;           // by led partition
    std::map<std::uint32_t, PartitionDemand> demands_;  // by partition, led or not
    std::vector<Transfer> plannedTransfers_;
    rebalancing::TransferRateLimiter rateLimiter_;
    bool retryScheduled_ = false;
    SteadyTime lastPlanLog_{};
};

}  // namespace fawnwheel::coordination
