/// @file
/// Membership of the cluster: which nodes are alive, which of them leads which partition, and
/// whether this process may still act as a leader.
///
/// A node's record is attached to a lease with the state service. A partition's record names its
/// leader and term; the term forms the high bits of the fencing tokens that the partition's
/// machines see. When the leader's lease expires, a peer acquires the partition with a higher term;
/// the partition is transferred back when its preferred leader has returned.
#pragma once

#include "coordination/membership/failover.h"
#include "coordination/membership/timing.h"

namespace fawnwheel::coordination {

/// Facade of the membership module: owns and connects its parts, and answers queries of other
/// modules.
class Membership final : private NodeLeaseObserver {
  public:
    Membership(Context& context, const ReplicaStatus& replica,
               const WorkerReachability& reachability, const TransactionPipeline& pipeline,
               MembershipObserver& observer);

    void start();
    void onPeerHeartbeat(const std::string& peer, const protocol::PeerHeartbeat& status) {
        peers_.onPeerHeartbeat(peer, status);
    }
    void onLeaderHeartbeat(const std::string& peer, const protocol::LeaderHeartbeat& message) {
        peers_.onLeaderHeartbeat(peer, message);
    }
    /// See `PeerHeartbeats::broadcastCancellations`.
    void broadcastCancellations(std::function<void()> onBroadcast) {
        peers_.broadcastCancellations(std::move(onBroadcast));
    }
    /// Must be called when the replica has changed or has been read. See `Failover::reconcile`.
    void reconcile() { failover_.reconcile(); }
    /// Must be called when `workersUnreachable` has changed. Sends heartbeats with this node's new
    /// readiness to the peers before any partition changes its leader.
    void onReachabilityChanged();

    /// Whether the node's lease with the state service is certainly valid, so that no peer can have
    /// acquired the partitions that this node leads.
    [[nodiscard]] bool isLeaseValid() const { return lease_.isValid(); }
    /// See `PartitionLeadership::canAnswerWorkers`.
    [[nodiscard]] bool canAnswerWorkers(PartitionId partition) const {
        return leadership_.canAnswerWorkers(partition);
    }
    /// Whether this process leads the partition. See `PartitionLeadership::isLeader`.
    [[nodiscard]] bool isLeader(PartitionId partition) const {
        return leadership_.isLeader(partition);
    }
    [[nodiscard]] std::vector<PartitionId> ledPartitions() const {
        return leadership_.ledPartitions();
    }
    [[nodiscard]] std::uint64_t term(PartitionId partition) const {
        return leadership_.term(partition);
    }
    /// The lowest fencing token for the partition's machines in the present term. The low bits are
    /// zero and leave room for higher tokens within the term.
    [[nodiscard]] std::uint64_t minFencingToken(PartitionId partition) const {
        return term(partition) << fencingTokenBits;
    }
    /// Whether the load balancer should send users to this node.
    [[nodiscard]] bool healthy() const;
    /// The revision up to which the peer has reported that it has the records; 0 if unknown.
    [[nodiscard]] std::uint64_t appliedRevisionOf(const std::string& peer) const {
        return peers_.appliedRevisionOf(peer);
    }
    /// Whether no worker can reach this process, so that peers should lead its partitions.
    [[nodiscard]] bool workersUnreachable() const { return reachability_.isUnreachable(); }

  private:
    static constexpr std::uint32_t fencingTokenBits = 16;

    void onJoined() override { reconcile(); }
    void broadcastPeriodically();

    Context& context_;
    const ReplicaStatus& replica_;
    const WorkerReachability& reachability_;
    AcquiredTerms acquiredTerms_;
    NodeLease lease_;
    PeerHeartbeats peers_;
    PartitionLeadership leadership_;
    Failover failover_;
};

}  // namespace fawnwheel::coordination
