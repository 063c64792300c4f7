#include "coordination/replication/replica.h"

#include <spdlog/spdlog.h>

#include "storage/record_keys.h"
#include "storage/record_replay.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto retryDelay = 300ms;
// Short, so that an answer proves the records current often enough also when nothing changes.
constexpr Duration maxWatchDuration = 3s;
constexpr Duration minWatchDuration = 500ms;
constexpr int watchesPerCancellationSlack = 3;
// The pause between two watch requests lets changes arrive in batches. It is short compared with a
// worker's heartbeat interval, and leaves most of a node's request budget to other requests.
constexpr double watchFractionOfRequests = 0.35;

/// Keeps what was observed of a machine when its record is applied once more.
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
    snapshotStarted_ = context_.now();
    readSnapshotPage({}, ++generation_);
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
    // An empty page that announces more is not the end: taken as such, all records behind it would
    // seem to be deleted.
    const bool broken = answer.more && answer.items.empty();
    if (answer.result != protocol::StateResult::ok || broken)
        return afterDelay(context_.jittered(retryDelay), generation,
                          [this, after, generation] { readSnapshotPage(after, generation); });
    // The pages have different revisions. Watching from the first page's revision delivers again
    // what changed in between.
    if (after.empty()) firstPageRevision_ = answer.revision;
    lastPageRevision_ = answer.revision;
    snapshotItems_.insert(snapshotItems_.end(), answer.items.begin(), answer.items.end());
    if (answer.more) return readSnapshotPage(answer.items.back().key, generation);
    installSnapshot();
    watch(generation);
}

void Replica::installSnapshot() {
    const auto now = context_.now();
    {
        auto clusterState = context_.clusterState.lock();
        // Durable state is replaced; what was learnt from workers stays with its machine.
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
    // Until the watch has passed the last page, an allocation may be known and its machine not.
    if (synced_ || context_.clusterState.lock()->appliedRevision < lastPageRevision_) return;
    synced_ = everSynced_ = true;
    currentAsOf_ = std::max(currentAsOf_, snapshotStarted_);
    observer_.onReplicaChanged();
}

void Replica::watch(std::uint64_t generation) {
    const auto since = context_.clusterState.lock()->appliedRevision;
    const auto requested = context_.now();
    // Where cancellations must be known within a short time, the replica proves itself current more
    // often.
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
    const auto fraction =
        context_.settings.stateRequests / static_cast<double>(context_.nodes.size());
    const Seconds pause(1.0 / (fraction * watchFractionOfRequests));
    afterDelay(toSteadyDuration(pause), generation, [this, generation] { watch(generation); });
}

void Replica::applyEvents(const protocol::WatchResponse& answer) {
    auto clusterState = context_.clusterState.lock();
    for (const auto& event : answer.events) {
        if (!pipeline_.inFlight(event.key)) {
            storage::applyEvent(*clusterState, event, context_.now());
            continue;
        }
        // The transaction's answer may be missing for as long as an outage lasts, and until then
        // the job's tasks must be stopped all the same.
        storage::recordCancellation(*clusterState, event);
        // From here on the machine's new leader counts how long its worker has been silent.
        storage::recordDeparture(*clusterState, event);
        // If these events were dropped, the allocations that a new leader had recorded in a
        // migrated slice before the migrating leader had its answer would never be known to it
        // (AllocationsThatOvertakeTheAnswerToAMigrationAreKnown).
        deferredEvents_[event.key] = event;
    }
    clusterState->appliedRevision = std::max(clusterState->appliedRevision, answer.revision);
}

}  // namespace fawnwheel::coordination
