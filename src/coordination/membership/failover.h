/// @file
/// Failover: acquires partitions without a leader and transfers partitions to better leaders.
#pragma once

#include <map>
#include <set>

#include "coordination/membership/partition_leadership.h"
#include "coordination/replication/transaction_pipeline.h"

namespace fawnwheel::coordination {

/// Moves the leadership of partitions between nodes, each move by one transaction.
///
/// A partition whose leader has no node record any more is acquired by a peer with a higher term. A
/// partition goes back to its preferred leader when that has returned, and away from a node that no
/// worker reaches.
class Failover {
  public:
    Failover(Context& context, AcquiredTerms& acquiredTerms, const NodeLease& lease,
             const PeerHeartbeats& peers, PartitionLeadership& leadership,
             const ReplicaStatus& replica, const WorkerReachability& reachability,
             const TransactionPipeline& pipeline)
        : context_(context),
          acquiredTerms_(acquiredTerms),
          lease_(lease),
          peers_(peers),
          leadership_(leadership),
          replica_(replica),
          reachability_(reachability),
          pipeline_(pipeline) {}

    /// Squares the leadership known here with the records: announces losses and acquisitions, and
    /// acquires or transfers partitions where that is due.
    void reconcile();

  private:
    void logUpgradeComplete();
    void reconcileLed(PartitionId partition);
    void reconcileUnled(PartitionId partition);
    /// No live node is the partition's leader by its record, nor ought to be its first leader.
    [[nodiscard]] bool isLeaderless(PartitionId partition, const storage::Partition& record) const;
    /// Position of this node among those that may acquire the partition; 0 acquires at once.
    [[nodiscard]] std::uint32_t failoverRank(PartitionId partition) const;
    void acquire(PartitionId partition);
    /// A refused acquisition must wait until the records here are as new as the refusal.
    [[nodiscard]] bool mustDelayAcquisition(PartitionId partition) const;
    /// Makes `next` the partition's record, provided that its leader has lapsed and this node has
    /// not.
    [[nodiscard]] static protocol::CompareAndSwap acquisitionTransaction(
        ClusterState& clusterState, PartitionId partition, const storage::Partition& next);
    void onAcquired(PartitionId partition, const storage::Partition& next, std::uint64_t revision);
    /// Makes the other node the partition's leader, which acquires it with a higher term.
    void transferLeadership(PartitionId partition, const std::string& node);
    /// The peer that serves a partition's workers best in place of this node; none if no peer
    /// could.
    [[nodiscard]] std::optional<std::string> successorFor(PartitionId partition) const;

    struct FailedAcquisition {
        std::uint64_t revision = 0;  // that the service's records had reached when it refused
        SteadyTime retryAt{};
    };

    Context& context_;
    AcquiredTerms& acquiredTerms_;
    const NodeLease& lease_;
    const PeerHeartbeats& peers_;
    PartitionLeadership& leadership_;
    const ReplicaStatus& replica_;
    const WorkerReachability& reachability_;
    const TransactionPipeline& pipeline_;
    std::map<std::uint32_t, SteadyTime> leaderlessSince_;  // by partition
    std::set<std::uint32_t> changing_;  // partitions with a transaction of this class under way
    std::map<std::uint32_t, FailedAcquisition> failedAcquisitions_;  // by partition
    bool upgradeLogged_ = false;
};

}  // namespace fawnwheel::coordination
