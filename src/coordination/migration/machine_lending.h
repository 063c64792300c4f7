/// @file
/// Lends machines between partitions.
///
/// A gang too large for what its own partition has free starts on machines that peers lend its
/// leader for that start. A loan is one guarded change of the machine's record, made by the lender
/// while the machine is empty. From then on the borrower answers its worker, holds its allocations
/// and their proofs, and gives it back when the gang has ended.
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

    /// Asks peers, those with most idle machines first, for what the partition's gangs lack.
    void requestLoans(PartitionId partition, const std::vector<UnschedulableWork>& unschedulable);
    /// Lends what is idle and reserves busy machines for the peer's gang, as far as no work here
    /// goes before it. There is no response: the change of the machines' records is one.
    void onLoanRequest(const std::string& peer, const protocol::LoanRequest& request);
    /// Gives back what is no longer needed.
    void returnIdleLoans(PartitionId partition);

  private:
    /// What a peer's partition has of use to a gang, in machines.
    struct Lender {
        PartitionId partition = 0;
        std::uint32_t idle = 0;
        std::uint32_t busy = 0;  // of use once they are free
        std::uint32_t requested = 0;
    };
    /// Machines here of use to a peer's gang.
    struct Lendable {
        std::vector<std::string> idle;
        std::vector<Machine*> busy;  // may be reserved
    };

    [[nodiscard]] std::vector<Lender> findLenders(ClusterState& clusterState, PartitionId partition,
                                                  const UnschedulableWork& entry,
                                                  const Job& gang) const;
    /// Sets how many machines each of them is asked for, and puts them in the order of asking.
    void divideRequest(std::vector<Lender>& lenders, const UnschedulableWork& entry,
                       const Job& gang) const;
    void sendRequest(const std::string& leader, const protocol::LoanRequest& request);
    /// Whether the request is about a gang that waits, from its leader to us as the lender's
    /// leader.
    [[nodiscard]] bool isValid(ClusterState& clusterState, const std::string& peer,
                               const protocol::LoanRequest& request);
    [[nodiscard]] Lendable findLendable(ClusterState& clusterState,
                                        const protocol::LoanRequest& request,
                                        const Job& gang) const;
    /// Whether work of this partition comes before the gang and could use the machine.
    [[nodiscard]] bool neededHere(ClusterState& clusterState, const Machine& machine,
                                  const Job& gang) const;
    /// Whether an idle loan is kept for a gang while the borrower's work that goes before it waits.
    [[nodiscard]] bool keepsOthersWaiting(ClusterState& clusterState, const Machine& machine) const;

    Context& context_;
    Membership& membership_;
    Placement& placement_;
    MachineTransfers& transfers_;
    RequestThrottle throttle_;                     // by gang
    std::map<std::string, SteadyTime> restUntil_;  // gangs that ask for no loan before
};

}  // namespace fawnwheel::coordination
