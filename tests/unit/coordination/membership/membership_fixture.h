/// @file
/// What `Membership` needs of other modules, answered as a test says.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/replication/replication_fixture.h"
#include "coordination/workers/heartbeat_observer.h"

namespace fawnwheel::coordination {

/// A replica whose status the test sets.
class FakeReplicaStatus final : public ReplicaStatus {
  public:
    [[nodiscard]] bool synced() const override { return isSynced; }
    [[nodiscard]] bool everSynced() const override { return isSynced; }
    [[nodiscard]] SteadyTime currentAsOf() const override { return current; }
    [[nodiscard]] bool hasDeferredEvents() const override { return false; }

    bool isSynced = false;
    SteadyTime current{};
};

/// Keeps what it was told of partitions.
class RecordingObserver final : public MembershipObserver,
                                public ReachabilityObserver,
                                public HeartbeatObserver {
  public:
    void onPartitionAcquired(std::uint32_t partition) override { acquired.push_back(partition); }
    void onPartitionLost(std::uint32_t partition) override { lost.push_back(partition); }
    void onCancellationsLearned() override {}
    void onReachabilityChanged() override {}
    void onUnassignedHeartbeat(const protocol::Heartbeat&) override {}
    void onWorkersChanged() override {}

    std::vector<std::uint32_t> acquired;
    std::vector<std::uint32_t> lost;
};

/// A node with its membership, beside the records and their writers.
class MembershipFixture : public ReplicationTest {
  protected:
    FakeReplicaStatus replicaStatus;
    RecordingObserver observer;
    WorkerReachability reachability{context, observer};
    Membership membership{context, replicaStatus, reachability, pipeline, observer};
};

}  // namespace fawnwheel::coordination
