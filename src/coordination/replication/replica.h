/// @file
/// Replicates the active records into the cluster state: reads them all once, then watches for
/// changes.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/replication/replica_status.h"
#include "coordination/replication/transaction_pipeline.h"

namespace fawnwheel::coordination {

/// Receives a notification when the replica has applied changes to the cluster state.
class ReplicaObserver {
  public:
    virtual ~ReplicaObserver() = default;
    virtual void onReplicaChanged() = 0;
};

/// Replicates the active records from the state service into `Context::clusterState`.
///
/// The watch does not overwrite a record that one of this process's own transactions is writing:
/// the record's latest event is deferred until the outcome of that transaction is known.
class Replica final : public ReplicaStatus, private TransactionObserver {
  public:
    /// Registers itself as the pipeline's observer. All three arguments must outlive the replica.
    Replica(Context& context, TransactionPipeline& pipeline, ReplicaObserver& observer);
    Replica(const Replica&) = delete;
    Replica& operator=(const Replica&) = delete;

    void start() { startSnapshot(); }
    /// Reads all records again. Called when the cluster state may differ from them. The reading
    /// begins once this process's own transactions have outcomes.
    void resync();
    /// Whether the cluster state holds a complete and consistent set of the active records.
    [[nodiscard]] bool synced() const override { return synced_; }
    /// Whether this process has been synced at least once.
    [[nodiscard]] bool everSynced() const override { return everSynced_; }
    /// Everything that the state service committed before this time has been applied or deferred.
    [[nodiscard]] SteadyTime currentAsOf() const override { return currentAsOf_; }
    /// Whether events are deferred until this process's own transactions have an outcome.
    [[nodiscard]] bool hasDeferredEvents() const override { return !deferredEvents_.empty(); }

  private:
    void onResyncRequired() override { resync(); }
    void onKeysReleased(const std::vector<std::string>& keys) override;

    void startSnapshot();
    /// Begins the reading, now or as soon as none of this process's transactions is in flight.
    void readSnapshotOncePipelineIdle(std::uint64_t generation);
    void readSnapshotPage(const std::string& after, std::uint64_t generation);
    void onSnapshotPage(const std::string& after, std::uint64_t generation,
                        const protocol::ReadResponse& answer);
    /// Replaces the records in the cluster state with those of the snapshot.
    void installSnapshot();
    /// Marks the replica as synced once the watch has reached the revision of the last page.
    void completeSync();
    void watch(std::uint64_t generation);
    void onWatchResponse(const protocol::WatchResponse& answer, SteadyTime requested,
                         std::uint64_t generation);
    void applyEvents(const protocol::WatchResponse& answer);
    /// Runs the action after a delay, unless a newer snapshot has been started by then.
    void afterDelay(Duration delay, std::uint64_t generation, std::function<void()> action);

    Context& context_;
    const TransactionPipeline& pipeline_;
    ReplicaObserver& observer_;
    bool synced_ = false;
    bool everSynced_ = false;
    SteadyTime currentAsOf_{};
    SteadyTime snapshotStarted_{};
    std::uint64_t generation_ = 0;  // of the snapshot; responses for an older one are ignored
    std::uint64_t firstPageRevision_ = 0;
    std::uint64_t lastPageRevision_ = 0;
    std::uint64_t queuedBeforeSnapshot_ = 0;  // transactions queued before the reading began
    std::vector<protocol::Item> snapshotItems_;
    // The latest event of each key that was in flight when the watch delivered the event. The event
    // may be newer than this process's own write, whose response can arrive after the event.
    std::map<std::string, protocol::Event> deferredEvents_;
};

}  // namespace fawnwheel::coordination
