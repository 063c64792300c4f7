/// @file
/// Which partitions this process leads, and whether it may answer their workers.
#pragma once

#include <map>

#include "coordination/membership/node_lease.h"
#include "coordination/membership/peer_heartbeats.h"

namespace fawnwheel::coordination {

/// Decides for which partitions this process acts as the leader, and notifies the observer when
/// this process starts or stops leading a partition.
class PartitionLeadership {
  public:
    PartitionLeadership(Context& context, const AcquiredTerms& acquiredTerms,
                        const NodeLease& lease, const PeerHeartbeats& peers,
                        const ReplicaStatus& replica, MembershipObserver& observer)
        : context_(context),
          acquiredTerms_(acquiredTerms),
          lease_(lease),
          peers_(peers),
          replica_(replica),
          observer_(observer) {}

    /// Whether this process has acquired the partition, its cluster state contains every change
    /// that preceded the acquisition, and the observer has been notified.
    [[nodiscard]] bool isLeader(PartitionId partition) const;
    /// As `isLeader`, but the observer may not have been notified yet.
    [[nodiscard]] bool isCaughtUp(PartitionId partition) const;
    /// The numbers of all partitions that this process leads, in ascending order.
    [[nodiscard]] std::vector<PartitionId> ledPartitions() const;
    [[nodiscard]] std::uint64_t term(PartitionId partition) const;

    /// Whether this process may answer the partition's workers, which renews their leases. Either
    /// the node's lease is valid, or every peer has just reported that it cannot reach the state
    /// service either and that it had not acquired the partition before. In addition, no
    /// cancellation that was confirmed to a user may have been unknown here for so long that a
    /// worker's lease renewed now could outlast the `cancel_s` of that cancellation.
    [[nodiscard]] bool canAnswerWorkers(PartitionId partition) const;

    /// Notifies the observer of the partitions that this process no longer leads.
    void announceLosses();
    /// Notifies the observer of the partitions that this process has started to lead.
    void announceAcquisitions();

  private:
    [[nodiscard]] bool areCancellationsCurrent() const;
    [[nodiscard]] bool isAnnounced(PartitionId partition) const;

    Context& context_;
    const AcquiredTerms& acquiredTerms_;
    const NodeLease& lease_;
    const PeerHeartbeats& peers_;
    const ReplicaStatus& replica_;
    MembershipObserver& observer_;
    std::map<std::uint32_t, std::uint64_t> announcedTerms_;  // by partition
};

}  // namespace fawnwheel::coordination
