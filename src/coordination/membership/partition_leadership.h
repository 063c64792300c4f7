/// @file
/// Which partitions this process leads, and whether it may answer their workers.
#pragma once

#include <map>

#include "coordination/membership/node_lease.h"
#include "coordination/membership/peer_heartbeats.h"

namespace fawnwheel::coordination {

/// Decides for which partitions this process acts as the leader, and tells the observer of
/// partitions that it has begun or ceased to lead.
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

    /// Acquired by this process, with a cluster state that holds all that preceded the acquisition,
    /// and the observer has been told.
    [[nodiscard]] bool isLeader(PartitionId partition) const;
    /// As `isLeader`, but the observer may not have been told yet.
    [[nodiscard]] bool isCaughtUp(PartitionId partition) const;
    /// The numbers of all partitions led here, in ascending order.
    [[nodiscard]] std::vector<PartitionId> ledPartitions() const;
    [[nodiscard]] std::uint64_t term(PartitionId partition) const;

    /// The partition's workers may be answered: the node's lease is valid, or every peer has just
    /// said that it can't reach the state service either and that it has not acquired the partition
    /// before. Besides, no cancellation that a user was told of may be unknown here for so long
    /// that a worker's lease renewed now could outlast its `cancel_s`.
    [[nodiscard]] bool canAnswerWorkers(PartitionId partition) const;

    /// Tells the observer of the partitions that are no longer led here.
    void announceLosses();
    /// Tells the observer of the partitions that are now led here.
    void announceAcquisitions();

  private:
    [[nodiscard]] bool knowsCancellations() const;
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
