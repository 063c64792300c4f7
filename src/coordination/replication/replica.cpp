#include "coordination/replication/replica.h"

#include <spdlog/spdlog.h>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto retryPause = 300ms;
// Short, so that an answer proves the records current often enough also on a quiet day.
constexpr Duration longestWatch = 3s;
constexpr Duration shortestWatch = 500ms;
constexpr int watchesPerCancellationSlack = 3;
// Between two watch requests, so that a stream of changes comes in batches. Small beside a worker's
// heartbeat interval; large enough to leave most requests of a node's share to others.
constexpr double watchFractionOfRequests = 0.35;

}  // namespace

void Replica::resync() {
    spdlog::info("replica: reading all records anew");
    readAll();
}

void Replica::readAll() {
    synced_ = false;
    items_.clear();
    deferred_.clear();
    firstRevision_ = 0;
    readBegan_ = context_.now();
    readPage({}, ++generation_);
}

void Replica::readPage(const std::string& after, std::uint64_t generation) {
    context_.state.readRange(
        storage::keys::activePrefix, after,
        [this, after, generation](const protocol::ReadResponse& answer) {
            if (generation != generation_) return;
            // An empty page that says more is no end: all behind it would seem to be gone.
            const bool broken = answer.more && answer.items.empty();
            if (answer.result != protocol::StateResult::ok || broken) {
                context_.timers.after(context_.jittered(retryPause), [this, after, generation] {
                    if (generation == generation_) readPage(after, generation);
                });
                return;
            }
            // Pages are read one after the other: following from the first one's revision brings
            // again what changed meanwhile.
            if (after.empty()) firstRevision_ = answer.revision;
            lastRevision_ = answer.revision;
            items_.insert(items_.end(), answer.items.begin(), answer.items.end());
            if (answer.more) return readPage(answer.items.back().key, generation);
            finishRead();
            watch(generation);
        });
}

void Replica::finishRead() {
    const auto now = context_.now();
    {
        auto clusterState = context_.clusterState.lock();
        // What is durable is replaced; what was learnt from workers stays with its machine.
        auto machines = std::move(clusterState->machines);
        clusterState->clearRecords();
        for (const auto& item : items_) {
            if (const auto slash = item.key.rfind('/');
                item.key.starts_with(storage::keys::machine({}))) {
                if (const auto old = machines.find(item.key.substr(slash + 1));
                    old != machines.end()) {
                    old->second.version = 0;
                    clusterState->machines.insert(machines.extract(old));
                }
            }
            storage::applyEvent(*clusterState, {item.key, item.value, item.version}, now);
        }
        clusterState->rebuildIndexes();
        clusterState->applied = firstRevision_;
        spdlog::info("replica: read {} records, {} jobs, {} machines, revision {}", items_.size(),
                     clusterState->jobs.size(), clusterState->machines.size(), firstRevision_);
    }
    items_.clear();
    catchUp();
}

void Replica::settle(const std::vector<std::string>& keys) {
    bool changed = false;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& key : keys) {
            const auto found = deferred_.find(key);
            if (found == deferred_.end() || inFlight(key)) continue;
            storage::applyEvent(*clusterState, found->second, context_.now());
            deferred_.erase(found);
            changed = true;
        }
    }
    if (changed) onChange();
}

void Replica::catchUp() {
    // Until the watch has passed the last page, an allocation may be known and its machine not.
    if (synced_ || context_.clusterState.lock()->applied < lastRevision_) return;
    synced_ = everSynced_ = true;
    currentAsOf_ = std::max(currentAsOf_, readBegan_);
    onChange();
}

void Replica::watch(std::uint64_t generation) {
    const auto since = context_.clusterState.lock()->applied;
    const auto asked = context_.now();
    // Where cancellations must be known within a short time, the proof of it comes more often.
    const auto wait = std::clamp(context_.cancellationSlack() / watchesPerCancellationSlack,
                                 shortestWatch, longestWatch);
    context_.state.watch(
        storage::keys::activePrefix, since, wait,
        [this, generation, asked](const protocol::WatchResponse& answer) {
            if (generation != generation_) return;
            if (answer.tooOld) return resync();
            if (answer.result != protocol::StateResult::ok) {
                context_.timers.after(context_.jittered(retryPause), [this, generation] {
                    if (generation == generation_) watch(generation);
                });
                return;
            }
            {
                auto clusterState = context_.clusterState.lock();
                for (const auto& event : answer.events) {
                    if (!inFlight(event.key)) {
                        storage::applyEvent(*clusterState, event, context_.now());
                        continue;
                    }
                    // Its answer may not come for as long as an outage lasts, and until then the
                    // job's tasks must be stopped all the same.
                    storage::recordCancellation(*clusterState, event);
                    // From here on its new leader counts how long its worker has been silent.
                    storage::recordDeparture(*clusterState, event);
                    // Dropped, the allocations that a new leader had recorded in a migrated slice
                    // before the migrating leader had its answer were never known to it
                    // (ClaimsThatOvertakeTheAnswerToAPushAreKnown).
                    deferred_[event.key] = event;
                }
                clusterState->applied = std::max(clusterState->applied, answer.revision);
            }
            if (synced_) currentAsOf_ = std::max(currentAsOf_, asked);
            catchUp();
            if (!answer.events.empty()) onChange();
            const auto fraction =
                context_.settings.stateRequests / static_cast<double>(context_.nodes.size());
            const Seconds pause(1.0 / (fraction * watchFractionOfRequests));
            context_.timers.after(ticks(pause), [this, generation] {
                if (generation == generation_) watch(generation);
            });
        });
}

}  // namespace fawnwheel::coordination
