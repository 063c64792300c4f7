// Lends machines between partitions: a gang too large for what its own partition has free starts on
// machines that peers lend its leader for that start. A loan is one guarded change of the machine's
// record, made by the lender while the machine is empty; from then on the borrower answers its
// worker, holds its allocations and their proofs, and gives it back when the gang has ended.
#pragma once

#include "coordination/migration/machine_transfers.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/request_throttle.h"

namespace fawnwheel::coordination {

class MachineLending {
  public:
    MachineLending(Context& context, Membership& membership, Placement& placement,
                   MachineTransfers& transfers)
        : context_(context),
          membership_(membership),
          placement_(placement),
          transfers_(transfers) {}

    // Asks peers, those with most idle machines first, for what the partition's gangs lack.
    void requestLoans(std::uint32_t partition, const std::vector<UnschedulableWork>& unschedulable);
    void onLoanRequest(const std::string& peer, const protocol::LoanRequest& request);
    // Gives back what is no longer needed.
    void returnIdleLoans(std::uint32_t partition);

  private:
    // Whether work of this partition comes before the gang and could use the machine.
    [[nodiscard]] bool neededHere(ClusterState& clusterState, const Machine& machine,
                                  const Job& gang) const;
    // Whether an idle loan is kept for a gang while the borrower's work that goes before it waits.
    [[nodiscard]] bool keepsOthersWaiting(ClusterState& clusterState, const Machine& machine) const;

    Context& context_;
    Membership& membership_;
    Placement& placement_;
    MachineTransfers& transfers_;
    RequestThrottle throttle_;                     // by gang
    std::map<std::string, SteadyTime> restUntil_;  // gangs that ask for no loan before
};

}  // namespace fawnwheel::coordination
