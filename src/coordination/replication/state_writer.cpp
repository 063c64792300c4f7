#include "coordination/replication/state_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "storage/record_codec.h"
#include "storage/record_keys.h"
#include "storage/record_replay.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

// Within one transaction, a best-effort slice follows after this many entitled ones.
constexpr std::size_t entitledPerBestEffort = 3;
constexpr auto pauseAfterRejection = 500ms;
// Because of the state service's write limit, completions wait this long: the more of them one
// record covers, the fewer records are written.
constexpr auto completionDelay = 10s;
constexpr auto delayPerPriorityStep = 1s;  // for each step down from the highest priority

/// Whether something waits for the slice's record. Task starts wait until their allocations are
/// durable, and a job's end waits for its last tasks. Nothing waits for other completions: workers
/// keep reporting them until they are recorded.
bool isAwaited(const Slice& slice) {
    return slice.complete() ||
           std::any_of(slice.allocations.begin(), slice.allocations.end(),
                       [](const Allocation& allocation) { return !allocation.durable; });
}

bool allUnstarted(const Slice& slice, const storage::TaskRange& range) {
    for (auto task = range.first; task < range.end(); ++task)
        if (!slice.unstarted(task)) return false;
    return range.count > 0;
}

/// The partitions whose slices of the job have changes that are not recorded yet.
std::set<std::uint32_t> partitionsWithUnrecorded(const Job& job) {
    std::set<std::uint32_t> partitions;
    for (const auto& slice : job.slices)
        if (slice.dirty) partitions.insert(slice.partition);
    return partitions;
}

}  // namespace

void StateWriter::migrate(PartitionId partition, SliceMigration migration) {
    migrations_[partition].push_back(std::move(migration));
    flush(partition);
}

bool StateWriter::hasSliceInFlight(const Job& job) const {
    return std::any_of(job.slices.begin(), job.slices.end(), [&](const Slice& slice) {
        return pipeline_.inFlight(storage::keys::slice(job.spec.id, slice.index));
    });
}

bool StateWriter::isTerminal(ClusterState& clusterState, const Job& job) const {
    if (!job.cancelled) return job.complete();
    // A cancelled job ends when every one of its tasks is proved to have stopped. Allocations made
    // by the leaders of other partitions are known up to the revision `appliedRevision`, except in
    // slices that this node's transactions are writing. Later allocations fail, because their
    // transactions compare the job's version.
    if (job.hasAllocations() || clusterState.appliedRevision < job.version || hasSliceInFlight(job))
        return false;
    // The active record is kept until all active dependents are cancelled. Otherwise a dependent
    // could be treated as waiting for a job that is done. A dependent can't be created later as if
    // this job were not cancelled, because its transaction compares this job's version.
    const auto& dependents = clusterState.dependencyGraph.dependents(job.spec.id);
    return std::all_of(dependents.begin(), dependents.end(),
                       [&clusterState](const std::string& id) {
                           const Job* dependent = clusterState.job(id);
                           return dependent == nullptr || dependent->cancelled;
                       });
}

void StateWriter::addCancellations(Batch& batch, ClusterState& clusterState,
                                   PartitionId partition) const {
    // The records show which jobs still have to be cancelled, so after a failover the partition's
    // next leader completes this.
    for (const auto& [id, job] : clusterState.jobs) {
        if (writer_.isFull(batch)) return;
        if (!job.dependencyCancelled || job.cancelled || job.completing ||
            job.partition != partition)
            continue;
        const auto key = storage::keys::job(id);
        Job next = job;
        next.cancelled = true;
        batch.transaction.compares.push_back({key, job.version});
        batch.cancellations.push_back({key, storage::jobValue(next), 0});
        batch.transaction.writes.push_back(batch.cancellations.back());
        batch.bytes += SliceWriter::bytesPerJob;
        batch.jobs.insert(id);
    }
}

void StateWriter::addTerminal(Batch& batch, const ClusterState& clusterState, Job& job) const {
    auto& writes = batch.transaction.writes;
    if (writes.size() + 2 > writer_.maxWrites()) return;
    batch.transaction.compares.push_back({storage::keys::job(job.spec.id), job.version});
    // Completions that are not recorded are valid only in the term in which they were proved.
    // Another leader of that partition would not know of them and may have restarted the tasks.
    for (const auto other : partitionsWithUnrecorded(job))
        if (other != job.partition)
            batch.transaction.compares.push_back(
                {storage::keys::partition(other), clusterState.partitions.at(other).version});
    writes.push_back({storage::keys::job(job.spec.id), std::nullopt, 0});
    storage::TerminalState state{job.cancelled, std::nullopt};
    // Dependents' times are measured from this moment, also by a later leader.
    if (context_.jobDependenciesEnabled(clusterState)) state.at = context_.timers.wallNow();
    writes.push_back({storage::keys::terminal(job.spec.id), storage::terminalValue(state), 0});
    for (const auto& slice : job.slices) {
        // Slice records that don't fit into this transaction become orphans when the job has ended,
        // and are deleted then. If they were deleted earlier and the job's end failed, the job
        // would have no slice records and its running tasks would be unknown to every leader
        // (test FailedJobCompletionKeepsSliceRecords).
        if (slice.version == 0 || writes.size() >= writer_.maxWrites()) continue;
        const auto key = storage::keys::slice(job.spec.id, slice.index);
        writes.push_back({key, std::nullopt, 0});
    }
    batch.bytes += SliceWriter::bytesPerWrite * 2;
    batch.terminals.push_back({job.spec.id, state});
    job.completing = true;
}

bool StateWriter::addMigration(Batch& batch, Job& job, const SliceMigration& migration) {
    if (!writer_.add(batch, job, job.slices[migration.slice],
                     {{migration.range}, migration.target}))
        return false;
    batch.migrationCallbacks.push_back(migration.done);
    return true;
}

bool StateWriter::isMigrationPossible(const Batch& batch, ClusterState& clusterState,
                                      PartitionId partition,
                                      const SliceMigration& migration) const {
    const Job* job = clusterState.job(migration.job);
    return context_.now() < migration.consentExpiry && job != nullptr &&
           !clusterState.knownCancelled(*job) && !job->completing &&
           migration.slice < job->slices.size() &&
           job->slices[migration.slice].partition == partition &&
           allUnstarted(job->slices[migration.slice], migration.range) &&
           // A second division of the job would add pieces under the same new indexes.
           !batch.jobs.contains(migration.job);
}

void StateWriter::addMigrations(Batch& batch, ClusterState& clusterState, PartitionId partition) {
    auto& queue = migrations_[partition];
    while (!queue.empty() && !writer_.isFull(batch)) {
        const auto& next = queue.front();
        if (!isMigrationPossible(batch, clusterState, partition, next))
            next.done(false);
        else if (!addMigration(batch, *clusterState.job(next.job), next))
            return;
        queue.pop_front();
    }
}

void StateWriter::addTerminals(Batch& batch, ClusterState& clusterState, PartitionId partition,
                               Tier tier, std::size_t maxWrites) const {
    const bool bestEffort = tier == Tier::bestEffort;
    for (auto& [id, job] : clusterState.jobs) {
        if (writer_.isFull(batch) || batch.transaction.writes.size() >= maxWrites) return;
        if (job.partition == partition && !job.completing &&
            context_.isBestEffort(job) == bestEffort && !batch.jobs.contains(id) &&
            isTerminal(clusterState, job))
            addTerminal(batch, clusterState, job);
    }
}

std::vector<StateWriter::DirtySlice> StateWriter::dirtySlices(ClusterState& clusterState,
                                                              PartitionId partition,
                                                              const Batch& batch) const {
    const auto now = context_.now();
    std::vector<DirtySlice> entitled;
    std::vector<DirtySlice> bestEffort;
    for (auto& [id, job] : clusterState.jobs) {
        // The record of a job's end replaces the records of its slices.
        if (job.completing || batch.jobs.contains(id) ||
            (job.partition == partition && isTerminal(clusterState, job)))
            continue;
        auto& queue = context_.isBestEffort(job) ? bestEffort : entitled;
        for (auto& slice : job.slices) {
            if (!slice.dirty || slice.partition != partition) continue;
            if (!slice.dirtySince) slice.dirtySince = now;
            const Duration delay = delayPerPriorityStep * static_cast<int>(job.priority) +
                                   (isAwaited(slice) ? Duration::zero() : completionDelay);
            queue.push_back({*slice.dirtySince + delay, &job, &slice});
        }
    }
    // Slices that have waited longest come first, adjusted by priority. Ordered by name, some
    // slices waited for a minute and more while slices with earlier names were written again and
    // again.
    const auto earlier = [](const DirtySlice& one, const DirtySlice& other) {
        return std::tie(one.due, one.job->spec.id, one.slice->index) <
               std::tie(other.due, other.job->spec.id, other.slice->index);
    };
    std::sort(entitled.begin(), entitled.end(), earlier);
    std::sort(bestEffort.begin(), bestEffort.end(), earlier);
    return interleave(entitled, bestEffort);
}

std::vector<StateWriter::DirtySlice> StateWriter::interleave(
    const std::vector<DirtySlice>& entitled, const std::vector<DirtySlice>& bestEffort) {
    // A best-effort job can have thousands of slices that have been dirty for longer than those of
    // entitled jobs. Without interleaving they would delay the entitled jobs.
    std::vector<DirtySlice> all;
    auto next = bestEffort.begin();
    for (std::size_t i = 0; i < entitled.size(); ++i) {
        all.push_back(entitled[i]);
        if ((i + 1) % entitledPerBestEffort == 0 && next != bestEffort.end())
            all.push_back(*next++);
    }
    all.insert(all.end(), next, bestEffort.end());
    return all;
}

void StateWriter::addSlices(Batch& batch, ClusterState& clusterState, PartitionId partition) {
    std::set<const Job*> divided;
    for (const auto& [due, job, slice] : dirtySlices(clusterState, partition, batch)) {
        if (writer_.isFull(batch)) return;
        // The pieces added by one division must be known before another slice of the job is
        // divided, so the job's other slices wait for a later transaction.
        if (divided.contains(job)) continue;
        if (!writer_.add(batch, *job, *slice)) return;
        if (!batch.slices.back().cuts.empty()) divided.insert(job);
    }
}

void StateWriter::flush(PartitionId partition) {
    if (pipeline_.busy(partition) || context_.now() < pausedUntil_[partition]) return;
    Batch batch;
    {
        auto clusterState = context_.clusterState.lock();
        batch.generation = clusterState->generation;
        addCancellations(batch, *clusterState, partition);
        addTerminals(batch, *clusterState, partition, Tier::entitled, writer_.maxWrites());
        addTerminals(batch, *clusterState, partition, Tier::bestEffort, writer_.maxWrites() / 2);
        addMigrations(batch, *clusterState, partition);
        addSlices(batch, *clusterState, partition);
        addTerminals(batch, *clusterState, partition, Tier::bestEffort, writer_.maxWrites());
    }
    if (batch.transaction.writes.empty()) return deleteOrphans(partition);
    auto transaction = batch.transaction;
    pipeline_.commit(
        partition, std::move(transaction),
        [this, partition, batch = std::move(batch)](CommitResult result, std::uint64_t revision) {
            applyOutcome(partition, batch, result, revision);
        });
}

void StateWriter::applyTerminals(ClusterState& clusterState, const Batch& batch,
                                 CommitResult result) {
    for (const auto& [id, state] : batch.terminals) {
        if (Job* job = clusterState.job(id)) job->completing = false;
        if (result != CommitResult::committed) continue;
        spdlog::debug("state_writer: job_terminal job={} outcome={}", id,
                      state.cancelled ? "cancelled" : "done");
        clusterState.dependencyGraph.recordTerminal(id, state);
        clusterState.removeJob(id);
        observer_.onJobTerminal(id, state.cancelled);
    }
}

void StateWriter::applyOutcome(PartitionId partition, const Batch& batch, CommitResult result,
                               std::uint64_t revision) {
    std::set<std::string> machines;
    if (result == CommitResult::rejected) {
        pausedUntil_[partition] = context_.now() + pauseAfterRejection;
        writer_.lowerLimits(partition, batch.transaction.writes.size());
    }
    {
        auto clusterState = context_.clusterState.lock();
        if (result == CommitResult::committed)
            for (const auto& write : batch.cancellations)
                storage::applyAnswer(*clusterState, {write.key, write.value, revision},
                                     context_.now());
        applyTerminals(*clusterState, batch, result);
        machines = writer_.applyOutcome(*clusterState, batch, result, revision);
    }
    for (const auto& done : batch.migrationCallbacks) done(result == CommitResult::committed);
    if (result == CommitResult::committed && !batch.cancellations.empty())
        observer_.onDependentsCancelled();
    if (!machines.empty()) observer_.onAllocationsDurable(machines);
    if (result == CommitResult::committed) scheduleFlush(partition);
}

void StateWriter::scheduleFlush(PartitionId partition) {
    // Deferred by a timer, so that the events which the watch delivered for the transaction's keys
    // are applied before the next flush.
    context_.timers.after(Duration::zero(), [this, partition] { flush(partition); });
}

void StateWriter::deleteOrphans(PartitionId partition) {
    protocol::CompareAndSwap transaction;
    std::set<std::string> jobs;
    {
        auto clusterState = context_.clusterState.lock();
        // A slice is not an orphan if its record was read before that of its job, which was created
        // in between.
        std::erase_if(clusterState->orphanedRecords, [&clusterState](const auto& entry) {
            return clusterState->job(entry.second.job) != nullptr;
        });
        for (const auto& [key, orphan] : clusterState->orphanedRecords) {
            if (transaction.writes.size() >= writer_.maxWrites()) break;
            if (orphan.partition != partition) continue;
            transaction.writes.push_back({key, std::nullopt, 0});
            jobs.insert(orphan.job);
        }
    }
    if (transaction.writes.empty()) return;
    // A job that has had slices but has no active record has ended, and is never created again.
    for (const auto& id : jobs) transaction.compares.push_back({storage::keys::job(id), 0});
    const auto writes = transaction.writes;
    pipeline_.commit(partition, std::move(transaction),
                     [this, partition, writes](CommitResult result, std::uint64_t) {
                         if (result != CommitResult::committed) return;
                         auto clusterState = context_.clusterState.lock();
                         for (const auto& write : writes)
                             clusterState->orphanedRecords.erase(write.key);
                         scheduleFlush(partition);
                     });
}

}  // namespace fawnwheel::coordination
