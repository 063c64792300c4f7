#include "coordination/replication/state_writer.h"

#include <spdlog/spdlog.h>

#include <numeric>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t entitledPerBestEffort = 3;  // slices in one transaction
constexpr auto pauseAfterRejection = 500ms;
// Under the write limit; the more ends one record then tells of, the fewer are written.
constexpr auto endsPatience = 10s;
constexpr auto patiencePerRank = 1s;  // a slice waits so much longer for each step down in priority

// Starts wait for allocations to become durable, and a job's end for its last tasks. Nobody waits
// for the other ends: until they are recorded their workers go on reporting them.
bool somebodyWaitsFor(const Slice& slice) {
    return slice.complete() ||
           std::any_of(slice.allocations.begin(), slice.allocations.end(),
                       [](const Allocation& allocation) { return !allocation.durable; });
}

bool allUnstarted(const Slice& slice, const storage::TaskRange& range) {
    for (auto task = range.first; task < range.end(); ++task)
        if (!slice.unstarted(task)) return false;
    return range.count > 0;
}

// The partitions in which something of the job is known here and not recorded.
std::set<std::uint32_t> partitionsWithUnrecorded(const Job& job) {
    std::set<std::uint32_t> partitions;
    for (const auto& slice : job.slices)
        if (slice.dirty) partitions.insert(slice.partition);
    return partitions;
}

}  // namespace

void StateWriter::migrate(std::uint32_t partition, SliceMigration migrate) {
    migrations_[partition].push_back(std::move(migrate));
    flush(partition);
}

bool StateWriter::sliceUnderWay(const Job& job) const {
    return std::any_of(job.slices.begin(), job.slices.end(), [&](const Slice& slice) {
        return pipeline_.inFlight(storage::keys::slice(job.spec.id, slice.index));
    });
}

bool StateWriter::over(ClusterState& clusterState, const Job& job) const {
    if (!job.cancelled) return job.complete();
    // A cancelled job ends when the last of its tasks is proved gone. Allocations by other
    // partitions are known up to `applied`, but for slices that are under way here; later ones fail
    // on the job's version.
    if (job.anyAllocation() || clusterState.applied < job.version || sliceUnderWay(job))
        return false;
    // Its active record stays until no live job that names it could be taken to wait for a job that
    // is done. Later ones can't be created as if it were not cancelled: they fail on its version.
    const auto& dependents = clusterState.dependencyGraph.dependents(job.spec.id);
    return std::all_of(dependents.begin(), dependents.end(),
                       [&clusterState](const std::string& id) {
                           const Job* dependent = clusterState.job(id);
                           return dependent == nullptr || dependent->cancelled;
                       });
}

void StateWriter::addCancellations(Batch& batch, ClusterState& clusterState,
                                   std::uint32_t partition) {
    // Whoever owns the partition finishes it: what is left to do shows in the records.
    for (const auto& [id, job] : clusterState.jobs) {
        if (writer_.full(batch)) return;
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

void StateWriter::addTerminal(Batch& batch, const ClusterState& clusterState, Job& job) {
    auto& writes = batch.transaction.writes;
    if (writes.size() + 2 > writer_.mostChanges()) return;
    batch.transaction.compares.push_back({storage::keys::job(job.spec.id), job.version});
    // Ends that are not recorded hold for the term in which they were proved: another leader of
    // that partition would know nothing of them, and may have started the tasks once more.
    for (const auto other : partitionsWithUnrecorded(job))
        if (other != job.partition)
            batch.transaction.compares.push_back(
                {storage::keys::partition(other), clusterState.partitions.at(other).version});
    writes.push_back({storage::keys::job(job.spec.id), std::nullopt, 0});
    storage::TerminalState state{job.cancelled, std::nullopt};
    // Those that wait for it count their time from now on, also with a successor of this leader.
    if (context_.jobDependenciesEnabled(clusterState)) state.at = context_.timers.wallNow();
    writes.push_back({storage::keys::terminal(job.spec.id), storage::terminalValue(state), 0});
    for (const auto& slice : job.slices) {
        // The others become strays once the job has ended, and not before: deleted on a hope, the
        // records of a job that lived on were missing, and its running tasks known to nobody
        // (ARefusedEndLeavesTheSlicesOfTheJob).
        if (slice.version == 0 || writes.size() >= writer_.mostChanges()) continue;
        const auto key = storage::keys::slice(job.spec.id, slice.index);
        writes.push_back({key, std::nullopt, 0});
    }
    batch.bytes += SliceWriter::bytesPerChange * 2;
    batch.terminals.push_back({job.spec.id, state});
    job.completing = true;
}

bool StateWriter::addMigration(Batch& batch, Job& job, const SliceMigration& migrate) {
    if (!writer_.add(batch, job, job.slices[migrate.slice], {{migrate.range}, migrate.target}))
        return false;
    batch.migrated.push_back(migrate.done);
    return true;
}

void StateWriter::addMigrations(Batch& batch, ClusterState& clusterState, std::uint32_t partition) {
    auto& waiting = migrations_[partition];
    while (!waiting.empty() && !writer_.full(batch)) {
        const auto& next = waiting.front();
        Job* job = clusterState.job(next.job);
        const bool possible = context_.now() < next.until && job != nullptr &&
                              !clusterState.knownCancelled(*job) && !job->completing &&
                              next.slice < job->slices.size() &&
                              job->slices[next.slice].partition == partition &&
                              allUnstarted(job->slices[next.slice], next.range) &&
                              // Two divisions of one job would allocation the same new indexes.
                              !batch.jobs.contains(next.job);
        if (!possible) {
            next.done(false);
        } else if (!addMigration(batch, *job, next)) {
            return;
        }
        waiting.pop_front();
    }
}

void StateWriter::addTerminals(Batch& batch, ClusterState& clusterState, std::uint32_t partition,
                               bool bestEffort, std::size_t mostChanges) {
    for (auto& [id, job] : clusterState.jobs) {
        if (writer_.full(batch) || batch.transaction.writes.size() >= mostChanges) return;
        if (job.partition == partition && !job.completing &&
            context_.isBestEffort(job) == bestEffort && !batch.jobs.contains(id) &&
            over(clusterState, job))
            addTerminal(batch, clusterState, job);
    }
}

std::vector<StateWriter::Dirty> StateWriter::dirtySlices(ClusterState& clusterState,
                                                         std::uint32_t partition,
                                                         const Batch& batch) const {
    const auto now = context_.now();
    std::vector<Dirty> entitled;
    std::vector<Dirty> bestEffort;
    for (auto& [id, job] : clusterState.jobs) {
        // What a job's end will say needs no record of its own.
        if (job.completing || batch.jobs.contains(id) ||
            (job.partition == partition && over(clusterState, job)))
            continue;
        auto& same = context_.isBestEffort(job) ? bestEffort : entitled;
        for (auto& slice : job.slices) {
            if (!slice.dirty || slice.partition != partition) continue;
            if (!slice.dirtySince) slice.dirtySince = now;
            const Duration patience = patiencePerRank * static_cast<int>(job.priority) +
                                      (somebodyWaitsFor(slice) ? Duration::zero() : endsPatience);
            same.push_back({*slice.dirtySince + patience, &job, &slice});
        }
    }
    // What has waited longest, urgent jobs before others. In the order of their names some slices
    // waited for a minute and more while those of earlier names were written again and again.
    const auto earlier = [](const Dirty& one, const Dirty& other) {
        return std::tie(one.due, one.job->spec.id, one.slice->index) <
               std::tie(other.due, other.job->spec.id, other.slice->index);
    };
    std::sort(entitled.begin(), entitled.end(), earlier);
    std::sort(bestEffort.begin(), bestEffort.end(), earlier);
    return interleaved(entitled, bestEffort);
}

std::vector<StateWriter::Dirty> StateWriter::interleaved(const std::vector<Dirty>& entitled,
                                                         const std::vector<Dirty>& bestEffort) {
    // A best-effort job's thousands of slices, each older than a host's latest, would keep that
    // waiting.
    std::vector<Dirty> all;
    auto next = bestEffort.begin();
    for (std::size_t i = 0; i < entitled.size(); ++i) {
        all.push_back(entitled[i]);
        if ((i + 1) % entitledPerBestEffort == 0 && next != bestEffort.end())
            all.push_back(*next++);
    }
    all.insert(all.end(), next, bestEffort.end());
    return all;
}

void StateWriter::addSlices(Batch& batch, ClusterState& clusterState, std::uint32_t partition) {
    std::set<const Job*> divided;
    for (const auto& [due, job, slice] : dirtySlices(clusterState, partition, batch)) {
        if (writer_.full(batch)) return;
        // What a division adds has to be known before another slice of the job is divided.
        if (divided.contains(job)) continue;
        if (!writer_.add(batch, *job, *slice)) return;
        if (!batch.slices.back().cuts.empty()) divided.insert(job);
    }
}

void StateWriter::flush(std::uint32_t partition) {
    if (pipeline_.busy(partition) || context_.now() < pausedUntil_[partition]) return;
    Batch batch;
    {
        auto clusterState = context_.clusterState.lock();
        batch.generation = clusterState->generation;
        addCancellations(batch, *clusterState, partition);
        addTerminals(batch, *clusterState, partition, false, writer_.mostChanges());
        addTerminals(batch, *clusterState, partition, true, writer_.mostChanges() / 2);
        addMigrations(batch, *clusterState, partition);
        addSlices(batch, *clusterState, partition);
        addTerminals(batch, *clusterState, partition, true, writer_.mostChanges());
    }
    if (batch.transaction.writes.empty()) return deleteOrphans(partition);
    auto transaction = batch.transaction;
    pipeline_.commit(
        partition, std::move(transaction),
        [this, partition, batch = std::move(batch)](CommitResult result, std::uint64_t revision) {
            finish(partition, batch, result, revision);
        });
}

void StateWriter::finish(std::uint32_t partition, const Batch& batch, CommitResult result,
                         std::uint64_t revision) {
    std::set<std::string> machines;
    if (result == CommitResult::rejected) {
        pausedUntil_[partition] = context_.now() + pauseAfterRejection;
        writer_.onRejected(partition, batch.transaction.writes.size());
    }
    {
        auto clusterState = context_.clusterState.lock();
        if (result == CommitResult::done)
            for (const auto& write : batch.cancellations)
                storage::applyEvent(*clusterState, {write.key, write.value, revision},
                                    context_.now());
        for (const auto& [id, state] : batch.terminals) {
            if (Job* job = clusterState->job(id)) job->completing = false;
            if (result != CommitResult::done) continue;
            spdlog::debug("job {}: {}", id, state.cancelled ? "cancelled" : "done");
            clusterState->dependencyGraph.recordTerminal(id, state);
            clusterState->dropJob(id);
            onTerminal(id, state.cancelled);
        }
        machines = writer_.finish(*clusterState, batch, result, revision);
    }
    for (const auto& done : batch.migrated) done(result == CommitResult::done);
    if (result == CommitResult::done && !batch.cancellations.empty()) onCancelled();
    if (!machines.empty()) onDurable(machines);
    // Not before what the watch has brought of these keys meanwhile is taken in.
    if (result == CommitResult::done)
        context_.timers.after(Duration::zero(), [this, partition] { flush(partition); });
}

void StateWriter::deleteOrphans(std::uint32_t partition) {
    protocol::CompareAndSwap transaction;
    std::set<std::string> jobs;
    {
        auto clusterState = context_.clusterState.lock();
        // Read before its job's record was, which may have been created in between.
        std::erase_if(clusterState->orphanedRecords, [&clusterState](const auto& entry) {
            return clusterState->job(entry.second.job) != nullptr;
        });
        for (const auto& [key, orphan] : clusterState->orphanedRecords) {
            if (transaction.writes.size() >= writer_.mostChanges()) break;
            if (orphan.partition != partition) continue;
            transaction.writes.push_back({key, std::nullopt, 0});
            jobs.insert(orphan.job);
        }
    }
    if (transaction.writes.empty()) return;
    // A job that has had slices and has no active record has ended, and is never created again.
    for (const auto& id : jobs) transaction.compares.push_back({storage::keys::job(id), 0});
    const auto writes = transaction.writes;
    pipeline_.commit(partition, std::move(transaction),
                     [this, partition, writes](CommitResult result, std::uint64_t) {
                         if (result != CommitResult::done) return;
                         auto clusterState = context_.clusterState.lock();
                         for (const auto& write : writes)
                             clusterState->orphanedRecords.erase(write.key);
                         context_.timers.after(Duration::zero(),
                                               [this, partition] { flush(partition); });
                     });
}

}  // namespace fawnwheel::coordination
