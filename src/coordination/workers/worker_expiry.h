/// @file
/// When tasks are surely gone without a heartbeat that says so: silent workers and lost machines.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/workers/heartbeat_observer.h"

namespace fawnwheel::coordination {

/// Releases the allocations of workers whose leases have run out and of machines that are gone.
class WorkerExpiry {
  public:
    WorkerExpiry(Context& context, const Membership& membership, HeartbeatObserver& observer)
        : context_(context), membership_(membership), observer_(observer) {}

    /// Discards what was known of the partition's machines: each has to prove it anew by a
    /// heartbeat to this process, whose leases are counted from now on.
    void resetPartition(PartitionId partition);
    /// Releases the allocations of the partition's machines that have been silent for longer than
    /// their leases, and those of machines without a record.
    void expireSilent(PartitionId partition);
    /// Releases all allocations of a machine that is surely gone; `reason` is for the log.
    void releaseAllocations(Machine& machine, std::string_view reason);

  private:
    /// The node that transferred the machine to this one with its tasks knows that it has done so,
    /// and no longer renews the worker's lease.
    [[nodiscard]] bool isTransferConfirmed(const ClusterState& clusterState,
                                           const Machine& machine) const;
    static void releaseWithoutMachine(ClusterState& clusterState, PartitionId partition);

    Context& context_;
    const Membership& membership_;
    HeartbeatObserver& observer_;
};

}  // namespace fawnwheel::coordination
