#include "coordination/replication/replica.h"

#include <spdlog/spdlog.h>

#include "storage/record_keys.h"
#include "storage/record_replay.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto retryDelay = 300ms;
constexpr auto pipelinePollInterval = 20ms;
// Short, so that watch responses prove often enough that the cluster state is current, even if no
// record changes.
constexpr Duration maxWatchDuration = 3s;
constexpr Duration minWatchDuration = 500ms;
constexpr int watchesPerCancellationSlack = 3;
// Share of a node's request budget that watch requests may use. The resulting pause between two
// watch requests batches changes, is short compared with a worker's heartbeat interval, and leaves
// most of the budget to other requests.
constexpr double watchFractionOfRequests = 0.35;

/// Carries over what this process has observed of a machine when a snapshot replaces its record.
void restoreMachine(ClusterState& clusterState, std::map<std::string, Machine>& previous,
                    const std::string& key) {
    if (!key.starts_with(storage::keys::machine({}))) return;
    const auto found = previous.find(key.substr(key.rfind('/') + 1));
    if (found == previous.end()) return;
    found->second.version = 0;
    clusterState.machines.insert(previous.extract(found));
}

}  // namespace

Replica::Replica(Context& context, TransactionPipeline& pipeline, ReplicaObserver& observer)
    : context_(context), pipeline_(pipeline), observer_(observer) {
    pipeline.setObserver(*this);
}

void Replica::resync() {
    spdlog::info("replica: resync_started");
    startSnapshot();
}

void Replica::afterDelay(Duration delay, std::uint64_t generation, std::function<void()> action) {
    context_.timers.after(delay, [this, generation, action = std::move(action)] {
        if (generation == generation_) action();
    });
}

void Replica::startSnapshot() {
    synced_ = false;
    snapshotItems_.clear();
    deferredEvents_.clear();
    firstPageRevision_ = 0;
    readSnapshotOncePipelineIdle(++generation_);
}

void Replica::readSnapshotOncePipelineIdle(std::uint64_t generation) {
    // A reading replaces the cluster state. If a transaction of this process were in flight
    // meanwhile, its decision would be lost from the cluster state while it may still be committed:
    // the next decision would not account for it (scenario migration_during_resync).
    if (!pipeline_.idle())
        return afterDelay(pipelinePollInterval, generation,
                          [this, generation] { readSnapshotOncePipelineIdle(generation); });
    queuedBeforeSnapshot_ = pipeline_.queuedCount();
    snapshotStarted_ = context_.now();
    readSnapshotPage({}, generation);
}

void Replica::readSnapshotPage(const std::string& after, std::uint64_t generation) {
    context_.stateClient.readRange(storage::keys::activePrefix, after,
                                   [this, after, generation](const protocol::ReadResponse& answer) {
                                       if (generation == generation_)
                                           onSnapshotPage(after, generation, answer);
                                   });
}

void Replica::onSnapshotPage(const std::string& after, std::uint64_t generation,
                             const protocol::ReadResponse& answer) {
    // An empty page that announces more pages is not the end of the range. If it were taken as the
    // end, all records after it would seem to be deleted.
    const bool emptyButNotLast = answer.more && answer.items.empty();
    if (answer.result != protocol::StateResult::ok || emptyButNotLast)
        return afterDelay(context_.jittered(retryDelay), generation,
                          [this, after, generation] { readSnapshotPage(after, generation); });
    // The pages have different revisions. The watch starts from the first page's revision, and so
    // delivers all changes made while the pages were read.
    if (after.empty()) firstPageRevision_ = answer.revision;
    lastPageRevision_ = answer.revision;
    snapshotItems_.insert(snapshotItems_.end(), answer.items.begin(), answer.items.end());
    if (answer.more) return readSnapshotPage(answer.items.back().key, generation);
    // A transaction that was queued during the reading may be missing from the pages.
    if (pipeline_.queuedCount() != queuedBeforeSnapshot_) return startSnapshot();
    installSnapshot();
    watch(generation);
}

void Replica::installSnapshot() {
    const auto now = context_.now();
    {
        auto clusterState = context_.clusterState.lock();
        // The durable state is replaced; observations of a machine that still exists are kept.
        auto previousMachines = std::move(clusterState->machines);
        clusterState->clearRecords();
        for (const auto& item : snapshotItems_) {
            restoreMachine(*clusterState, previousMachines, item.key);
            storage::applyEvent(*clusterState, {item.key, item.value, item.version}, now);
        }
        clusterState->rebuildIndexes();
        clusterState->appliedRevision = firstPageRevision_;
        spdlog::info("replica: read_complete records={} jobs={} machines={} revision={}",
                     snapshotItems_.size(), clusterState->jobs.size(),
                     clusterState->machines.size(), firstPageRevision_);
    }
    snapshotItems_.clear();
    completeSync();
}

void Replica::onKeysReleased(const std::vector<std::string>& keys) {
    bool changed = false;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& key : keys) {
            const auto found = deferredEvents_.find(key);
            if (found == deferredEvents_.end() || pipeline_.inFlight(key)) continue;
            storage::applyEvent(*clusterState, found->second, context_.now());
            deferredEvents_.erase(found);
            changed = true;
        }
    }
    if (changed) observer_.onReplicaChanged();
}

void Replica::completeSync() {
    // Until the watch reaches the last page's revision, the records are inconsistent: an allocation
    // may be known whose machine is not. Nor may the cluster state go back behind an outcome that
    // this process learned during the reading.
    const auto required = std::max(lastPageRevision_, context_.clusterState.lock()->newestRevision);
    if (synced_ || context_.clusterState.lock()->appliedRevision < required) return;
    synced_ = everSynced_ = true;
    currentAsOf_ = std::max(currentAsOf_, snapshotStarted_);
    observer_.onReplicaChanged();
}

void Replica::watch(std::uint64_t generation) {
    const auto since = context_.clusterState.lock()->appliedRevision;
    const auto requested = context_.now();
    // If cancellations must take effect within a short time, the watch returns more often to prove
    // that the cluster state is current.
    const auto wait = std::clamp(context_.cancellationSlack() / watchesPerCancellationSlack,
                                 minWatchDuration, maxWatchDuration);
    context_.stateClient.watch(
        storage::keys::activePrefix, since, wait,
        [this, generation, requested](const protocol::WatchResponse& answer) {
            if (generation == generation_) onWatchResponse(answer, requested, generation);
        });
}

void Replica::onWatchResponse(const protocol::WatchResponse& answer, SteadyTime requested,
                              std::uint64_t generation) {
    if (answer.tooOld) return resync();
    if (answer.result != protocol::StateResult::ok)
        return afterDelay(context_.jittered(retryDelay), generation,
                          [this, generation] { watch(generation); });
    applyEvents(answer);
    if (synced_) currentAsOf_ = std::max(currentAsOf_, requested);
    completeSync();
    if (!answer.events.empty()) observer_.onReplicaChanged();
    const auto requestsPerSecond =
        context_.settings.stateRequestsPerSecond / static_cast<double>(context_.nodes.size());
    const Seconds pause(1.0 / (requestsPerSecond * watchFractionOfRequests));
    afterDelay(toSteadyDuration(pause), generation, [this, generation] { watch(generation); });
}

void Replica::applyEvents(const protocol::WatchResponse& answer) {
    auto clusterState = context_.clusterState.lock();
    for (const auto& event : answer.events) {
        if (!pipeline_.inFlight(event.key)) {
            storage::applyEvent(*clusterState, event, context_.now());
            continue;
        }
        // An outage can delay the transaction's response for as long as it lasts. The tasks of a
        // cancelled job must be stopped before that.
        storage::recordCancellation(*clusterState, event);
        // From now on the machine's new leader measures how long its worker has been silent.
        storage::recordDeparture(*clusterState, event);
        // The new leader of a migrated slice may record allocations before this leader receives
        // the response to the migration. If their events were dropped, this leader would never
        // learn of those allocations
        // (test AllocationsWatchedBeforeMigrationResponseAreApplied).
        deferredEvents_[event.key] = event;
    }
    clusterState->appliedRevision = std::max(clusterState->appliedRevision, answer.revision);
}

}  // namespace fawnwheel::coordination
