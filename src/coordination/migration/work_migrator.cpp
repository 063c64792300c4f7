#include "coordination/migration/work_migrator.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto responseTimeout = 800ms;
constexpr auto acceptanceTimeout = 3s;
constexpr std::size_t maxPendingMigrations = 16;
// Work that has found no place for this long migrates as if the average were above the high
// threshold, because the average of one waiting task stays below any threshold (scenario
// partly_started_slice_migrates).
constexpr auto longWaitThreshold = 30s;
// The low threshold as a fraction of the running tasks. A partition that runs few tasks at a time
// is congested by a shorter queue; the settings are upper bounds of the thresholds.
constexpr double lowFractionOfRunning = 0.1;

}  // namespace

void WorkMigrator::start() {
    sampleAll();
}

QueueAverage::Tuning WorkMigrator::tuningFor(PartitionId partition) {
    double running = 0;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto* machine : clusterState->machinesOf(partition))
            running += static_cast<double>(machine->allocations.size());
    }
    QueueAverage::Tuning tuning;
    tuning.weight = context_.operatorSettings.latestSampleWeight;
    tuning.probability = context_.operatorSettings.migrationProbability;
    tuning.low = std::min(context_.operatorSettings.lowQueueLength,
                          std::max(1.0, running * lowFractionOfRunning));
    tuning.high =
        std::min(context_.operatorSettings.highQueueLength, std::max(tuning.low + 1, running));
    return tuning;
}

double WorkMigrator::stickinessFactor(const Job& job, PartitionId partition) {
    const double maxImageSize = job.spec.imageSize;
    if (maxImageSize <= 0) return 1;
    auto clusterState = context_.clusterState.lock();
    const auto& machines = clusterState->machinesOf(partition);
    const bool cached = std::any_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        return placement_.acceptsTasks(*machine) &&
               std::any_of(machine->images.begin(), machine->images.end(),
                           [&](const auto& i) { return i.name == job.spec.image; });
    });
    const double local = cached ? maxImageSize : 0;
    return (maxImageSize - local) / maxImageSize;
}

void WorkMigrator::sampleAll() {
    for (const auto partition : membership_.ledPartitions()) samplePartition(partition);
    context_.timers.after(toSteadyDuration(context_.operatorSettings.queueSamplePeriod),
                          [this] { sampleAll(); });
}

void WorkMigrator::samplePartition(PartitionId partition) {
    auto& queue = queues_[partition];
    const auto tuning = tuningFor(partition);
    queue.sample(placement_.queueLength(partition), tuning);
    if (!membership_.isLeaseValid()) return;
    std::vector<std::string> waiting;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& [id, job] : clusterState->jobs)
            if (clusterState->schedulable(job) && isMigratable(job, partition))
                waiting.push_back(id);
    }
    auto& since = waitingSince_[partition];
    std::erase_if(since, [&waiting](const auto& entry) {
        return !std::binary_search(waiting.begin(), waiting.end(), entry.first);
    });
    const auto now = context_.now();
    for (const auto& id : waiting) {
        const bool longWaiting = now - since.try_emplace(id, now).first->second > longWaitThreshold;
        const auto pressure = pressureFor(id, partition, longWaiting);
        if (!pressure) continue;
        queue.onConsidered();
        const double chance = queue.migrationProbability(pressure->stickinessFactor, tuning);
        if (pressure->immediate || std::uniform_real_distribution<>(0, 1)(context_.rng) < chance)
            migrateSlices(partition, id, pressure->immediate || queue.isAboveHigh(tuning));
    }
}

std::optional<WorkMigrator::Pressure> WorkMigrator::pressureFor(const std::string& id,
                                                                PartitionId partition,
                                                                bool longWaiting) {
    auto clusterState = context_.clusterState.lock();
    const Job* job = clusterState->job(id);
    if (job == nullptr) return std::nullopt;
    // Work migrates at once if no machine of the partition could ever run it, or if it will miss
    // its objective unless it starts about now: the average reacts too late for it.
    const bool stranded = longWaiting || !placement_.isFeasible(*job, partition);
    const double factor = stickinessFactor(*job, partition);
    // Another partition may have to fetch the job's image. If the image is cached in this
    // partition, the job first waits for as long as a fetch would take.
    const Seconds waited = context_.timers.wallNow() - job->readySince;
    const bool isSloAtRisk =
        placement_.isSloAtRisk(*job) && (factor > 0 || waited >= placement_.fetchTime(*job));
    return Pressure{stranded || isSloAtRisk, factor};
}

storage::TaskRange WorkMigrator::migratableRange(const Slice& slice) {
    if (slice.migrating) return {};
    if (slice.hasNotStarted()) return slice.dirty ? storage::TaskRange{} : slice.range();
    // The unstarted tail of a started slice becomes a slice of its own. Otherwise these tasks
    // waited although other partitions had idle machines (scenario partly_started_slice_migrates).
    if (!context_.jobDependenciesEnabled(*context_.clusterState.lock())) return {};
    return slice.trailingUnstarted();
}

bool WorkMigrator::isMigratable(const Job& job, PartitionId partition) {
    if (job.requiresSingleLeader())
        return std::any_of(job.slices.begin(), job.slices.end(), [partition](const Slice& slice) {
            return slice.partition == partition && slice.hasNotStarted() && !slice.migrating;
        });
    return std::any_of(job.slices.begin(), job.slices.end(), [&](const Slice& slice) {
        return slice.partition == partition && migratableRange(slice).count > 0;
    });
}

void WorkMigrator::migrateSlices(PartitionId partition, const std::string& id, bool all) {
    auto clusterState = context_.clusterState.lock();
    Job* job = clusterState->job(id);
    if (job == nullptr) return;
    const bool allHere = std::all_of(job->slices.begin(), job->slices.end(), [&](const Slice& s) {
        return s.partition == partition && s.hasNotStarted() && s.version == 0 && !s.migrating;
    });
    if (job->requiresSingleLeader() || (job->slices.size() == 1 && allHere)) {
        if (allHere && job->partition == partition)
            beginMigration(partition, *job, job->slices.front(), true);
        return;
    }
    for (const auto& slice : job->slices) {
        if (slice.partition != partition || migratableRange(slice).count == 0) continue;
        beginMigration(partition, *job, slice, false);
        if (!all) return;
    }
}

void WorkMigrator::beginMigration(PartitionId partition, Job& job, const Slice& slice,
                                  bool wholeJob) {
    if (pending_.size() >= maxPendingMigrations) return;
    Migration next;
    next.partition = partition;
    next.job = job.spec.id;
    next.slice = slice.index;
    next.wholeJob = wholeJob;
    next.range = wholeJob ? slice.range() : migratableRange(slice);
    next.tasks = wholeJob ? job.spec.tasks : next.range.count;
    choosePeers(next, job);
    if (next.remainingPartitions.empty()) return;
    next.generation = context_.clusterState.lock()->generation;
    setMigrating(next, true);
    const auto requestId = nextRequestId_++;
    pending_[requestId] = std::move(next);
    requestNextPeer(requestId);
}

void WorkMigrator::choosePeers(Migration& migration, const Job& job) {
    struct Peer {
        double score = 0;  // capacity, more where the image is cached
        PartitionId partition = 0;
        bool operator<(const Peer& other) const {
            return std::tie(score, partition) < std::tie(other.score, other.partition);
        }
    };
    std::vector<Peer> peers;
    std::uint32_t maxCapacity = 0;
    {
        auto clusterState = context_.clusterState.lock();
        for (std::uint32_t other = 0; other < context_.partitionCount(); ++other) {
            if (other == migration.partition ||
                !clusterState->nodes.contains(clusterState->partitions[other].leader))
                continue;
            const auto capacity = placement_.capacityFor(job, other, migration.tasks);
            maxCapacity = std::max(maxCapacity, capacity);
            if (capacity > 0)
                peers.push_back(
                    {capacity * (1 + clusterState->cachedFraction(job.spec, other)), other});
        }
        if (!job.requiresSingleLeader() && context_.jobDependenciesEnabled(*clusterState) &&
            maxCapacity < migration.tasks) {
            // Migrate only as many of the last tasks as the partition with most capacity can take.
            const auto count = std::min(maxCapacity, migration.range.count);
            migration.wholeJob = false;
            migration.range = {migration.range.end() - count, count};
            migration.tasks = count;
        }
    }
    std::sort(peers.rbegin(), peers.rend());
    for (const auto& peer : peers) migration.remainingPartitions.push_back(peer.partition);
}

void WorkMigrator::setMigrating(const Migration& migration, bool migrating) {
    auto clusterState = context_.clusterState.lock();
    Job* job = clusterState->job(migration.job);
    // Reading the records anew has dropped the mark; a later migration may have set it again.
    if (job == nullptr || clusterState->generation != migration.generation) return;
    for (auto& slice : job->slices) {
        if (!migration.wholeJob && slice.index != migration.slice) continue;
        slice.migrating.reset();
        if (migrating) slice.migrating = migration.wholeJob ? slice.range() : migration.range;
    }
}

void WorkMigrator::requestNextPeer(std::uint64_t requestId) {
    auto& migration = pending_[requestId];
    if (migration.remainingPartitions.empty()) {
        // Every peer has refused or timed out: the work stays.
        setMigrating(migration, false);
        pending_.erase(requestId);
        return;
    }
    migration.requestedPartition = migration.remainingPartitions.front();
    migration.remainingPartitions.erase(migration.remainingPartitions.begin());
    const auto leader =
        context_.clusterState.lock()->partitions[migration.requestedPartition].leader;
    protocol::MigrationRequest message{requestId,          migration.requestedPartition,
                                       migration.job,      migration.slice,
                                       migration.wholeJob, migration.tasks};
    if (leader == context_.settings.name) {
        // This node currently leads both partitions.
        onMigrationRequest(leader, message);
        return;
    }
    context_.network.sendFrame(leader, protocol::encodePeer({context_.settings.name, message}));
    context_.timers.after(
        responseTimeout, [this, requestId, requestedPartition = migration.requestedPartition] {
            const auto found = pending_.find(requestId);
            if (found != pending_.end() && found->second.requestedPartition == requestedPartition)
                requestNextPeer(requestId);
        });
}

std::uint32_t WorkMigrator::acceptedTasks(PartitionId partition) {
    const auto now = context_.now();
    std::erase_if(acceptedWork_, [now](const AcceptedWork& p) { return p.until < now; });
    std::uint32_t total = 0;
    for (const auto& accepted : acceptedWork_)
        if (accepted.partition == partition) total += accepted.tasks;
    return total;
}

void WorkMigrator::onMigrationRequest(const std::string& peer,
                                      const protocol::MigrationRequest& request) {
    protocol::MigrationResponse response{request.requestId, false};
    {
        auto clusterState = context_.clusterState.lock();
        const Job* job = clusterState->job(request.job);
        if (job != nullptr && membership_.isLeader(request.partition) &&
            membership_.isLeaseValid()) {
            // Accept only if the queue stays below the low threshold; tasks that fit now do not
            // queue. Count only the queue for machines that this work could use: other tasks that
            // wait although these machines have room wait for different machines.
            const auto incomingTasks = request.tasks + acceptedTasks(request.partition);
            const auto capacity = placement_.capacityFor(*job, request.partition, incomingTasks);
            response.accepted = capacity > acceptedTasks(request.partition) &&
                                incomingTasks - capacity < tuningFor(request.partition).low;
        }
        if (response.accepted)
            acceptedWork_.push_back(
                {request.partition, request.tasks, context_.now() + acceptanceTimeout});
    }
    if (peer == context_.settings.name) return onMigrationResponse(response);
    context_.network.sendFrame(peer, protocol::encodePeer({context_.settings.name, response}));
}

void WorkMigrator::onMigrationResponse(const protocol::MigrationResponse& response) {
    const auto found = pending_.find(response.requestId);
    // Ignore a late response: the migration has finished or is already being committed.
    if (found == pending_.end() || found->second.requestedPartition == context_.partitionCount())
        return;
    if (response.accepted)
        migrate(response.requestId);
    else
        requestNextPeer(response.requestId);
}

void WorkMigrator::migrate(std::uint64_t requestId) {
    auto& found = pending_[requestId];
    const auto target = found.requestedPartition;
    found.requestedPartition = context_.partitionCount();  // no partition is being asked
    const Migration migration = found;
    // Once the records have been read anew, the work is no longer kept from being placed here.
    if (!membership_.isLeader(migration.partition) ||
        context_.clusterState.lock()->generation != migration.generation)
        return finishMigration(requestId, target, false);
    if (migration.wholeJob)
        migrateJob(requestId, migration, target);
    else
        migrateTasks(requestId, migration, target);
}

void WorkMigrator::migrateJob(std::uint64_t requestId, const Migration& migration,
                              std::uint32_t target) {
    protocol::CompareAndSwap transaction;
    const auto key = storage::keys::job(migration.job);
    protocol::Json value;
    {
        auto clusterState = context_.clusterState.lock();
        const Job* job = clusterState->job(migration.job);
        if (job == nullptr || job->cancelled) return finishMigration(requestId, target, false);
        Job next = *job;
        next.partition = target;
        value = storage::jobValue(next);
        transaction = {{{key, job->version}}, {{key, value, 0}}};
    }
    pipeline_.commit(
        migration.partition, std::move(transaction),
        [this, requestId, target, key, value](CommitResult result, std::uint64_t revision) {
            // Apply it as a record event with its revision: by now the job may have migrated
            // again or ended.
            if (result == CommitResult::committed)
                storage::applyAnswer(*context_.clusterState.lock(), {key, value, revision},
                                     context_.now());
            finishMigration(requestId, target, result == CommitResult::committed);
        });
}

void WorkMigrator::migrateTasks(std::uint64_t requestId, const Migration& migration,
                                std::uint32_t target) {
    stateWriter_.migrate(migration.partition, {migration.job, migration.slice, migration.range,
                                               target, context_.now() + acceptanceTimeout,
                                               [this, requestId, target](bool migrated) {
                                                   finishMigration(requestId, target, migrated);
                                               }});
}

void WorkMigrator::finishMigration(std::uint64_t requestId, std::uint32_t target, bool migrated) {
    const auto found = pending_.find(requestId);
    if (found == pending_.end()) return;
    const Migration finished = found->second;
    pending_.erase(found);
    setMigrating(finished, false);
    if (!migrated) return;
    queues_[finished.partition].onMigrated();
    spdlog::info("migration: work_migrated job={} tasks={} whole_job={} from={} to={}",
                 finished.job, finished.tasks, finished.wholeJob, finished.partition, target);
}

std::optional<std::uint32_t> WorkMigrator::partitionOfDependencies(const Job& job) {
    // Keep a job in the partition of its dependencies, as DESIGN describes: the event that releases
    // the job then comes from the same process.
    auto clusterState = context_.clusterState.lock();
    for (auto id = job.spec.dependencies.rbegin(); id != job.spec.dependencies.rend(); ++id) {
        const Job* active = clusterState->job(*id);
        if (active != nullptr &&
            clusterState->nodes.contains(clusterState->partitions[active->partition].leader) &&
            placement_.isFeasible(job, active->partition))
            return active->partition;
    }
    return std::nullopt;
}

std::uint32_t WorkMigrator::choosePartition(const Job& job) {
    // Greedy choice: the partition where the job is expected to start first, from the queue's
    // length and the time to fetch the image. Jobs with the same image thus gather in few
    // partitions, whose machines have it cached.
    if (const auto partition = partitionOfDependencies(job)) return *partition;
    std::uint32_t best = context_.preferredPartition;
    std::tuple<int, double> bestScore{-1, 0};
    const auto fetch = placement_.fetchTime(job).count();
    const auto queues = placement_.queueLengths();
    auto clusterState = context_.clusterState.lock();
    for (std::uint32_t i = 0; i < context_.partitionCount(); ++i) {
        // Among equal partitions, prefer this node's own.
        const auto partition = (context_.preferredPartition + i) % context_.partitionCount();
        if (!clusterState->nodes.contains(clusterState->partitions[partition].leader)) continue;
        const auto queue = queues[partition];
        const auto capacity = placement_.capacityFor(job, partition, job.spec.tasks + queue);
        const auto startNow = std::min(capacity > queue ? capacity - queue : 0, job.spec.tasks);
        double running = 1;
        for (const auto* machine : clusterState->machinesOf(partition))
            running += static_cast<double>(machine->allocations.size());
        const double waiting = startNow >= job.spec.tasks
                                   ? 0
                                   : (queue + job.spec.tasks - startNow) / running *
                                         std::max(1.0, job.spec.estimate.count());
        const std::tuple score{
            placement_.isFeasible(job, partition) ? 1 : 0,
            -waiting - fetch * (1 - clusterState->cachedFraction(job.spec, partition))};
        if (score > bestScore) {
            bestScore = score;
            best = partition;
        }
    }
    return best;
}

}  // namespace fawnwheel::coordination
