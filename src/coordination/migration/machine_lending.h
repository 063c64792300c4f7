/// @file
/// Lends machines between partitions.
///
/// A gang that does not fit on the free machines of its partition starts on machines borrowed from
/// other partitions. The lender makes a loan by one compare-and-swap on the machine's record while
/// the machine runs no tasks. From then on the borrower responds to the machine's worker, holds its
/// allocations and their fencing tokens, and returns the machine when the gang has ended.
#pragma once

#include "coordination/migration/machine_transfers.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/request_throttle.h"

namespace fawnwheel::coordination {

/// Requests, grants and returns loans of machines.
class MachineLending {
  public:
    MachineLending(Context& context, Membership& membership, Placement& placement,
                   MachineTransfers& transfers)
        : context_(context),
          membership_(membership),
          placement_(placement),
          transfers_(transfers) {}

    /// Requests the machines that the partition's gangs lack from other partitions, first from
    /// those with the most idle machines.
    void requestLoans(PartitionId partition, const std::vector<UnschedulableWork>& unschedulable);
    /// Lends idle machines and reserves busy ones for the peer's gang, except machines that local
    /// work preceding the gang could use. Sends no response: the peer sees the changed records.
    void onLoanRequest(const std::string& peer, const protocol::LoanRequest& request);
    /// Returns borrowed machines that are no longer needed.
    void returnIdleLoans(PartitionId partition);

  private:
    /// Counts of the machines in another partition that could serve a gang.
    struct Lender {
        PartitionId partition = 0;
        std::uint32_t idle = 0;
        std::uint32_t busy = 0;  // running tasks; usable once idle
        std::uint32_t requested = 0;
    };
    /// Machines of the lending partition that could serve a gang of another one.
    struct Lendable {
        std::vector<std::string> idle;
        std::vector<Machine*> busy;  // not yet lent, but may be reserved
    };

    [[nodiscard]] std::vector<Lender> findLenders(ClusterState& clusterState, PartitionId partition,
                                                  const UnschedulableWork& entry,
                                                  const Job& gang) const;
    /// Sets how many machines to request from each lender, and sorts the lenders by priority.
    void divideRequest(std::vector<Lender>& lenders, const UnschedulableWork& entry,
                       const Job& gang) const;
    void sendRequest(const std::string& leader, const protocol::LoanRequest& request);
    /// Whether the request names a waiting gang, comes from the gang's leader, and is for a
    /// partition that this node leads.
    [[nodiscard]] bool isValid(ClusterState& clusterState, const std::string& peer,
                               const protocol::LoanRequest& request);
    [[nodiscard]] Lendable findLendable(ClusterState& clusterState,
                                        const protocol::LoanRequest& request,
                                        const Job& gang) const;
    /// Whether waiting work of the machine's partition precedes the gang and may use the machine.
    [[nodiscard]] bool neededByEarlierWork(ClusterState& clusterState, const Machine& machine,
                                           const Job& gang) const;
    /// Whether an idle borrowed machine is reserved for a gang while work of the borrower that
    /// precedes the gang waits.
    [[nodiscard]] bool blocksEarlierWork(ClusterState& clusterState, const Machine& machine) const;

    Context& context_;
    Membership& membership_;
    Placement& placement_;
    MachineTransfers& transfers_;
    RequestThrottle throttle_;                            // by gang
    std::map<std::string, SteadyTime> loanBackoffUntil_;  // by gang: no loan request before
};

}  // namespace fawnwheel::coordination
