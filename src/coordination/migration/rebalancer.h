/// @file
/// Divides the machines among the partitions while jobs run.
///
/// Each period every leader tells its peers what it lacks machines for, works out a plan for all
/// partitions, and gives away what the plan takes from its own.
#pragma once

#include "coordination/migration/machine_transfers.h"
#include "coordination/round_scheduler.h"
#include "coordination/scheduling/placement.h"
#include "rebalancing/transfer_plan.h"
#include "rebalancing/transfer_rate_limiter.h"

namespace fawnwheel::coordination {

/// Announces demands, plans and carries out transfers of machines for good. Off unless enabled by
/// the operators' settings.
class Rebalancer {
  public:
    Rebalancer(Context& context, Membership& membership, TransactionPipeline& pipeline,
               Placement& placement, MachineTransfers& transfers, RoundScheduler& rounds)
        : context_(context),
          membership_(membership),
          pipeline_(pipeline),
          placement_(placement),
          transfers_(transfers),
          rounds_(rounds) {}

    /// Plans the first period, if enabled; to be called once.
    void start();
    /// What a partition of ours had no place for when it was last looked at.
    void recordUnschedulable(PartitionId partition,
                             const std::vector<UnschedulableWork>& unschedulable);
    /// A peer has announced what its partition lacks; ignored unless it leads the partition.
    void onDemand(const std::string& peer, const protocol::DemandUpdate& update);

  private:
    /// What a partition's leader has announced.
    struct PartitionDemand {
        std::vector<rebalancing::Demand> demands;
        SteadyTime heard{};  // when it was announced
    };
    /// Machines that a partition of ours is to give away, until the next round.
    struct Transfer {
        std::uint32_t from = 0;
        std::uint32_t to = 0;
        rebalancing::Supply kind;
        rebalancing::Demand demand;
        std::uint32_t machines = 0;
        std::set<std::string> refused;  // looked at in this round
    };

    [[nodiscard]] bool usable() const;
    void round();
    void announceDemand(PartitionId partition);
    [[nodiscard]] rebalancing::PlanInput collectInput() const;
    /// Whether some demand may take the machine by what is known of it here.
    [[nodiscard]] bool isWanted(const ClusterState& clusterState, const Machine& machine,
                                const rebalancing::PlanInput& input) const;
    /// Whether a task of some demand fits on such a machine.
    [[nodiscard]] static bool isUseful(const rebalancing::Supply& supply,
                                       const rebalancing::PlanInput& input);
    void addSupplies(const ClusterState& clusterState, PartitionId partition,
                     rebalancing::PlanInput& input) const;
    [[nodiscard]] std::vector<rebalancing::Demand> demandsOf(
        const std::vector<UnschedulableWork>& unschedulable) const;
    /// Subtracts what such machines of the partition have capacity for.
    void subtractCapacity(const ClusterState& clusterState, PartitionId partition,
                          const std::function<bool(const Machine&)>& counts,
                          std::vector<rebalancing::Demand>& demands) const;
    /// Whether the machine could serve the recipient by what is known of it here.
    [[nodiscard]] bool spare(const ClusterState& clusterState, const Machine& machine,
                             const rebalancing::Recipient& recipient) const;
    [[nodiscard]] static rebalancing::Recipient recipientOf(const Transfer& transfer);
    void logPlan(const rebalancing::PlanInput& input, const rebalancing::TransferPlan& plan);
    /// Gives what the plan says, as far as the rate limit and the records that go first allow.
    void carryOut();
    /// Whether something was sent.
    bool transferSome(Transfer& transfer);
    [[nodiscard]] std::vector<std::string> candidates(const Transfer& transfer);
    void logRefusal(const std::string& machine, rebalancing::Refusal refusal);

    Context& context_;
    Membership& membership_;
    TransactionPipeline& pipeline_;
    Placement& placement_;
    MachineTransfers& transfers_;
    RoundScheduler& rounds_;
    std::map<std::uint32_t, std::vector<UnschedulableWork>> unschedulable_;  // by partition of ours
    std::map<std::uint32_t, rebalancing::DemandAverage> averages_;           // the same
    std::map<std::uint32_t, PartitionDemand> demands_;                       // of all partitions
    std::vector<Transfer> planned_;
    rebalancing::TransferRateLimiter rateLimiter_;
    bool carryingOut_ = false;
    SteadyTime logged_{};
};

}  // namespace fawnwheel::coordination
