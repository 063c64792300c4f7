/// @file
/// Releases allocations without a heartbeat that reports their end: those of expired workers and of
/// lost machines.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/workers/heartbeat_observer.h"

namespace fawnwheel::coordination {

/// Releases the allocations of workers whose leases have expired and of machines that no longer
/// exist.
class WorkerExpiry {
  public:
    WorkerExpiry(Context& context, const Membership& membership, HeartbeatObserver& observer)
        : context_(context), membership_(membership), observer_(observer) {}

    /// Discards the observed state of the partition's machines. Each machine has to send a
    /// heartbeat to this process again, and its lease is counted from now on.
    void resetPartition(PartitionId partition);
    /// Releases the allocations of the partition's machines that have been silent for longer than
    /// their leases, and those of machines without a record.
    void expireSilentWorkers(PartitionId partition);
    /// Releases all durable allocations of a machine whose tasks are certain to have ended.
    /// `reason` is written to the log.
    void releaseAllocations(Machine& machine, std::string_view reason);

  private:
    /// Whether the node that transferred the machine with its tasks to this one no longer renews
    /// the worker's lease: it knows that the transfer succeeded, or it leads nothing any more.
    [[nodiscard]] bool isTransferConfirmed(const ClusterState& clusterState,
                                           const Machine& machine) const;
    /// Counts the lease of a machine that another node has transferred here from the first check
    /// that finds the transfer confirmed.
    void awaitTransferConfirmation(const ClusterState& clusterState, Machine& machine) const;
    static void releaseAllocationsWithoutMachine(ClusterState& clusterState, PartitionId partition);

    Context& context_;
    const Membership& membership_;
    HeartbeatObserver& observer_;
};

}  // namespace fawnwheel::coordination
