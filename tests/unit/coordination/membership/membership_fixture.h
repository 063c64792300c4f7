/// @file
/// A fixture for tests of `Membership`, with fakes of the modules that it depends on.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/replication/replication_fixture.h"
#include "coordination/workers/heartbeat_observer.h"

namespace fawnwheel::coordination {

/// A replica status that the test sets.
class FakeReplicaStatus final : public ReplicaStatus {
  public:
    [[nodiscard]] bool synced() const override { return isSynced; }
    [[nodiscard]] bool everSynced() const override { return isSynced; }
    [[nodiscard]] SteadyTime currentAsOf() const override { return currentTime; }
    [[nodiscard]] bool hasDeferredEvents() const override { return false; }

    bool isSynced = false;
    SteadyTime currentTime{};
};

/// Records which partitions were reported as acquired or lost.
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

/// A node with its membership, in addition to the records and their writers.
class MembershipFixture : public ReplicationTest {
  protected:
    FakeReplicaStatus replicaStatus;
    RecordingObserver observer;
    WorkerReachability reachability{context, observer};
    Membership membership{context, replicaStatus, reachability, pipeline, observer};
};

}  // namespace fawnwheel::coordination
