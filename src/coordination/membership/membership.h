/// @file
/// Membership of the cluster: which nodes are alive, which of them leads which partition, and
/// whether this process may still act as a leader.
///
/// A node's record hangs on a lease with the state service. A partition's record names its leader
/// and term; the fencing tokens that its machines see begin with the term. A partition whose leader
/// has lapsed goes to a peer with a higher term, and back when its preferred leader has returned.
#pragma once

#include "coordination/membership/failover.h"
#include "coordination/membership/timing.h"

namespace fawnwheel::coordination {

/// Facade of the module: owns its parts, connects them, and answers what other modules ask.
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
    void broadcastCancellations(std::function<void()> then) {
        peers_.broadcastCancellations(std::move(then));
    }
    /// To be called when the replica has changed or been read. See `Failover::reconcile`.
    void reconcile() { failover_.reconcile(); }
    /// To be called when `workersUnreachable` has changed: peers hear of it before a partition
    /// changes its leader.
    void onReachabilityChanged();

    /// The node's lease with the state service is surely valid: nobody can have acquired the
    /// partitions led here.
    [[nodiscard]] bool isLeaseValid() const { return lease_.isValid(); }
    /// See `PartitionLeadership::canAnswerWorkers`.
    [[nodiscard]] bool canAnswerWorkers(PartitionId partition) const {
        return leadership_.canAnswerWorkers(partition);
    }
    /// Acquired by this process, with a cluster state that holds all that preceded the acquisition.
    [[nodiscard]] bool isLeader(PartitionId partition) const {
        return leadership_.isLeader(partition);
    }
    [[nodiscard]] std::vector<PartitionId> ledPartitions() const {
        return leadership_.ledPartitions();
    }
    [[nodiscard]] std::uint64_t term(PartitionId partition) const {
        return leadership_.term(partition);
    }
    /// The least fencing token for a partition's machines. Its low bits are free to grow within a
    /// term.
    [[nodiscard]] std::uint64_t minFencingToken(PartitionId partition) const {
        return term(partition) << fencingTokenBits;
    }
    /// Whether users should be sent to this node.
    [[nodiscard]] bool healthy() const;
    /// The revision up to which the peer has told that it has the records; 0 if unknown.
    [[nodiscard]] std::uint64_t appliedRevisionOf(const std::string& peer) const {
        return peers_.appliedRevisionOf(peer);
    }
    /// No worker reaches this process: its partitions are better off with a peer.
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
