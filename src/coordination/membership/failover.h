/// @file
/// Failover: acquires partitions that have no leader, and transfers partitions to nodes that are
/// better placed to lead them.
#pragma once

#include <map>
#include <set>

#include "coordination/membership/partition_leadership.h"
#include "coordination/replication/transaction_pipeline.h"

namespace fawnwheel::coordination {

/// Moves the leadership of partitions between nodes, each move by one transaction.
///
/// Once the node record of a partition's leader no longer exists, a peer acquires the partition
/// with a higher term. A leader transfers a partition back to its preferred leader when that node
/// has returned, and transfers its partitions to peers while no worker can reach it.
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

    /// Compares the leadership known to this process with the records, reports losses and
    /// acquisitions to the observer, and acquires or transfers partitions as needed.
    void reconcile();

  private:
    void logUpgradeComplete();
    void reconcileLedPartition(PartitionId partition);
    void reconcileOtherPartition(PartitionId partition);
    /// Whether the partition's recorded leader has no node record. If the partition has no record:
    /// whether this node is the preferred leader, or the preferred leader has no node record.
    [[nodiscard]] bool isLeaderless(PartitionId partition, const storage::Partition& record) const;
    /// This node's rank among the nodes that may acquire the partition; rank 0 acquires it at once.
    [[nodiscard]] std::uint32_t failoverRank(PartitionId partition) const;
    void acquire(PartitionId partition);
    /// After a refused acquisition: whether the retry delay is still running, or the cluster state
    /// is older than the refusal.
    [[nodiscard]] bool mustDelayAcquisition(PartitionId partition) const;
    /// The transaction that writes `newRecord` as the partition's record. It succeeds only if the
    /// node record of the former leader no longer exists and this node's own record still does.
    [[nodiscard]] static protocol::CompareAndSwap acquisitionTransaction(
        ClusterState& clusterState, PartitionId partition, const storage::Partition& newRecord);
    void onAcquired(PartitionId partition, const storage::Partition& newRecord,
                    std::uint64_t revision);
    /// Records the other node as the partition's leader; that node then acquires the partition with
    /// a higher term.
    void transferLeadership(PartitionId partition, const std::string& node);
    /// The peer best placed to lead the partition in place of this node; none if no peer can lead.
    [[nodiscard]] std::optional<std::string> successorFor(PartitionId partition) const;

    struct FailedAcquisition {
        std::uint64_t revision = 0;  // of the state service when it refused the acquisition
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
    std::set<std::uint32_t> pendingPartitions_;  // with an acquisition or transfer in flight
    std::map<std::uint32_t, FailedAcquisition> failedAcquisitions_;  // by partition
    bool upgradeLogged_ = false;
};

}  // namespace fawnwheel::coordination
