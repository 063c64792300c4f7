#include "coordination/migration/work_migrator.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto answerTimeout = 800ms;
constexpr auto promiseLasts = 3s;
constexpr std::size_t maxPendingMigrations = 16;
// What found no place here for so long counts as above high, however short the queue is: the
// average of one waiting task stays below any threshold (slice_left_behind).
constexpr auto longWait = 30s;
// The thresholds' upper bounds come from the settings; a partition that runs few tasks at a time is
// congested by a shorter queue.
constexpr double lowFractionOfRunning = 0.1;

}  // namespace

void QueueAverage::sample(double queueLength, const Tuning& tuning) {
    average_ = (1 - tuning.weight) * average_ + tuning.weight * queueLength;
}

double QueueAverage::moveProbability(double stickinessFactor, const Tuning& tuning) const {
    if (average_ < tuning.low) return 0;
    if (average_ > tuning.high) return 1;
    const double base = (average_ - tuning.low) / (tuning.high - tuning.low) * tuning.probability;
    if (count_ * base >= 1) return 1;
    return std::clamp(base / (1 - count_ * base) * stickinessFactor, 0.0, 1.0);
}

void WorkMigrator::start() {
    sampleAll();
}

QueueAverage::Tuning WorkMigrator::tuningFor(std::uint32_t partition) {
    double running = 0;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto* machine : clusterState->machinesOf(partition))
            running += static_cast<double>(machine->allocations.size());
    }
    QueueAverage::Tuning tuning;
    tuning.weight = context_.tuning.weight;
    tuning.probability = context_.tuning.probability;
    tuning.low = std::min(context_.tuning.low, std::max(1.0, running * lowFractionOfRunning));
    tuning.high = std::min(context_.tuning.high, std::max(tuning.low + 1, running));
    return tuning;
}

double WorkMigrator::stickinessFactor(const Job& job, std::uint32_t partition) {
    const double most = job.spec.imageSize;
    if (most <= 0) return 1;
    auto clusterState = context_.clusterState.lock();
    const auto& machines = clusterState->machinesOf(partition);
    const bool cached = std::any_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        return placement_.takesWork(*machine) &&
               std::any_of(machine->images.begin(), machine->images.end(),
                           [&](const auto& i) { return i.name == job.spec.image; });
    });
    const double local = cached ? most : 0;
    return (most - local) / most;
}

void WorkMigrator::sampleAll() {
    for (const auto partition : membership_.ledPartitions()) samplePartition(partition);
    context_.timers.after(ticks(context_.tuning.samplePeriod), [this] { sampleAll(); });
}

void WorkMigrator::samplePartition(std::uint32_t partition) {
    auto& queue = queues_[partition];
    const auto tuning = tuningFor(partition);
    queue.sample(placement_.queueLength(partition), tuning);
    if (!membership_.isLeaseValid()) return;
    std::vector<std::string> waiting;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& [id, job] : clusterState->jobs)
            if (clusterState->schedulable(job) && movable(job, partition)) waiting.push_back(id);
    }
    auto& since = waitingSince_[partition];
    std::erase_if(since, [&waiting](const auto& entry) {
        return !std::binary_search(waiting.begin(), waiting.end(), entry.first);
    });
    const auto now = context_.now();
    for (const auto& id : waiting) {
        bool stranded = now - since.try_emplace(id, now).first->second > longWait;
        bool isSloAtRisk = false;
        double free = 0;
        {
            auto clusterState = context_.clusterState.lock();
            const Job* job = clusterState->job(id);
            if (job == nullptr) continue;
            // Work that no machine here could ever run counts as above high, and so does what
            // will miss its objective unless it starts about now: the average lags behind it.
            stranded = stranded || !placement_.isFeasible(*job, partition);
            free = stickinessFactor(*job, partition);
            // Elsewhere its image may have to be fetched: what has it here waits here for as long
            // as that would take.
            const Seconds waited = context_.timers.wallNow() - job->readySince;
            isSloAtRisk =
                placement_.isSloAtRisk(*job) && (free > 0 || waited >= placement_.fetchTime(*job));
        }
        queue.considered();
        const double chance = queue.moveProbability(free, tuning);
        if (stranded || isSloAtRisk ||
            std::uniform_real_distribution<>(0, 1)(context_.rng) < chance)
            consider(partition, id, stranded || isSloAtRisk || queue.aboveHigh(tuning));
    }
}

storage::TaskRange WorkMigrator::movableRange(const Slice& slice) {
    if (slice.migrating) return {};
    if (slice.untouched()) return slice.dirty ? storage::TaskRange{} : slice.range();
    // The rest of a slice that has begun becomes a slice of its own. It once never moved, and
    // waited beside idle machines of other partitions (slice_left_behind).
    if (!context_.jobDependenciesEnabled(*context_.clusterState.lock())) return {};
    return slice.lastUnstarted();
}

bool WorkMigrator::movable(const Job& job, std::uint32_t partition) {
    if (job.undivided())
        return std::any_of(job.slices.begin(), job.slices.end(), [partition](const Slice& slice) {
            return slice.partition == partition && slice.untouched() && !slice.migrating;
        });
    return std::any_of(job.slices.begin(), job.slices.end(), [&](const Slice& slice) {
        return slice.partition == partition && movableRange(slice).count > 0;
    });
}

void WorkMigrator::consider(std::uint32_t partition, const std::string& id, bool always) {
    auto clusterState = context_.clusterState.lock();
    Job* job = clusterState->job(id);
    if (job == nullptr) return;
    const bool allHere = std::all_of(job->slices.begin(), job->slices.end(), [&](const Slice& s) {
        return s.partition == partition && s.untouched() && s.version == 0 && !s.migrating;
    });
    if (job->undivided() || (job->slices.size() == 1 && allHere)) {
        if (allHere && job->partition == partition)
            migration(partition, *job, job->slices.front(), true);
        return;
    }
    for (const auto& slice : job->slices) {
        if (slice.partition != partition || movableRange(slice).count == 0) continue;
        migration(partition, *job, slice, false);
        if (!always) return;
    }
}

void WorkMigrator::migration(std::uint32_t partition, Job& job, const Slice& slice, bool wholeJob) {
    if (pending_.size() >= maxPendingMigrations) return;
    Migration next;
    next.partition = partition;
    next.job = job.spec.id;
    next.slice = slice.index;
    next.wholeJob = wholeJob;
    next.range = wholeJob ? slice.range() : movableRange(slice);
    next.tasks = wholeJob ? job.spec.tasks : next.range.count;
    std::vector<std::pair<double, std::uint32_t>>
        order;  // partition, by room, with the image first
    std::uint32_t maxCapacity = 0;
    {
        auto clusterState = context_.clusterState.lock();
        for (std::uint32_t other = 0; other < context_.partitionCount(); ++other) {
            if (other == partition ||
                !clusterState->nodes.contains(clusterState->partitions[other].leader))
                continue;
            const auto capacity = placement_.capacityFor(job, other, next.tasks);
            maxCapacity = std::max(maxCapacity, capacity);
            if (capacity > 0)
                order.emplace_back(capacity * (1 + clusterState->cachedFraction(job.spec, other)),
                                   other);
        }
        if (!job.undivided() && context_.jobDependenciesEnabled(*clusterState) &&
            maxCapacity < next.tasks) {
            // The last tasks only, as many as a peer has room for.
            const auto count = std::min(maxCapacity, next.range.count);
            next.wholeJob = false;
            next.range = {next.range.end() - count, count};
            next.tasks = count;
        }
    }
    std::sort(order.rbegin(), order.rend());
    for (const auto& [capacity, other] : order) next.peersLeft.push_back(other);
    if (next.peersLeft.empty()) return;
    setLeaving(next, true);
    const auto requestId = nextRequestId_++;
    pending_[requestId] = std::move(next);
    requestNextPeer(requestId);
}

void WorkMigrator::setLeaving(const Migration& migration, bool leaving) {
    auto clusterState = context_.clusterState.lock();
    Job* job = clusterState->job(migration.job);
    if (job == nullptr) return;
    for (auto& slice : job->slices) {
        if (!migration.wholeJob && slice.index != migration.slice) continue;
        slice.migrating.reset();
        if (leaving) slice.migrating = migration.wholeJob ? slice.range() : migration.range;
    }
}

void WorkMigrator::requestNextPeer(std::uint64_t requestId) {
    auto& migration = pending_[requestId];
    if (migration.peersLeft.empty()) {
        // All have been asked in turn: the work stays.
        setLeaving(migration, false);
        pending_.erase(requestId);
        return;
    }
    migration.asked = migration.peersLeft.front();
    migration.peersLeft.erase(migration.peersLeft.begin());
    const auto leader = context_.clusterState.lock()->partitions[migration.asked].leader;
    protocol::MigrationRequest message{requestId,       migration.asked,    migration.job,
                                       migration.slice, migration.wholeJob, migration.tasks};
    if (leader == context_.settings.name) {
        // Both partitions are ours for the time being.
        onMigrationRequest(leader, message);
        return;
    }
    context_.network.sendFrame(leader, protocol::encodePeer({context_.settings.name, message}));
    context_.timers.after(answerTimeout, [this, requestId, asked = migration.asked] {
        const auto found = pending_.find(requestId);
        if (found != pending_.end() && found->second.asked == asked) requestNextPeer(requestId);
    });
}

std::uint32_t WorkMigrator::promised(std::uint32_t partition) {
    const auto now = context_.now();
    std::erase_if(promises_, [now](const Promise& p) { return p.until < now; });
    std::uint32_t total = 0;
    for (const auto& promise : promises_)
        if (promise.partition == partition) total += promise.tasks;
    return total;
}

void WorkMigrator::onMigrationRequest(const std::string& peer,
                                      const protocol::MigrationRequest& requestId) {
    protocol::MigrationResponse answer{requestId.requestId, false};
    {
        auto clusterState = context_.clusterState.lock();
        const Job* job = clusterState->job(requestId.job);
        if (job != nullptr && membership_.isLeader(requestId.partition) &&
            membership_.isLeaseValid()) {
            // Accept only while the queue stays below low: what has room now does not queue.
            // The queue that counts is the one for the machines this work could use: what waits
            // here although they have room waits for others.
            const auto coming = requestId.tasks + promised(requestId.partition);
            const auto capacity = placement_.capacityFor(*job, requestId.partition, coming);
            answer.accepted = capacity > promised(requestId.partition) &&
                              coming - capacity < tuningFor(requestId.partition).low;
        }
        if (answer.accepted)
            promises_.push_back(
                {requestId.partition, requestId.tasks, context_.now() + promiseLasts});
    }
    if (peer == context_.settings.name) return onMigrationResponse(answer);
    context_.network.sendFrame(peer, protocol::encodePeer({context_.settings.name, answer}));
}

void WorkMigrator::onMigrationResponse(const protocol::MigrationResponse& answer) {
    const auto found = pending_.find(answer.requestId);
    // A late answer, when its peer was given up already.
    if (found == pending_.end() || found->second.asked == context_.partitionCount()) return;
    if (answer.accepted)
        migrate(answer.requestId);
    else
        requestNextPeer(answer.requestId);
}

void WorkMigrator::migrate(std::uint64_t requestId) {
    auto& found = pending_[requestId];
    const auto target = found.asked;
    found.asked = context_.partitionCount();  // no longer asking
    const Migration migration = found;
    if (!membership_.isLeader(migration.partition))
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
            // As the record that it is: the job may have been migrated on, or be over,
            // by now.
            if (result == CommitResult::done)
                storage::applyEvent(*context_.clusterState.lock(), {key, value, revision},
                                    context_.now());
            finishMigration(requestId, target, result == CommitResult::done);
        });
}

void WorkMigrator::migrateTasks(std::uint64_t requestId, const Migration& migration,
                                std::uint32_t target) {
    stateWriter_.migrate(migration.partition,
                         {migration.job, migration.slice, migration.range, target,
                          context_.now() + promiseLasts, [this, requestId, target](bool migrated) {
                              finishMigration(requestId, target, migrated);
                          }});
}

void WorkMigrator::finishMigration(std::uint64_t requestId, std::uint32_t target, bool migrated) {
    const auto found = pending_.find(requestId);
    if (found == pending_.end()) return;
    const Migration made = found->second;
    pending_.erase(found);
    setLeaving(made, false);
    if (!migrated) return;
    queues_[made.partition].moved();
    spdlog::info("move: {} of job {}, {} tasks, part {} to {}", made.wholeJob ? "all" : "a slice",
                 made.job, made.tasks, made.partition, target);
}

std::optional<std::uint32_t> WorkMigrator::partitionOfDependencies(const Job& job) {
    // Parents with children, as DESIGN maps them: its trigger comes from the same process.
    auto clusterState = context_.clusterState.lock();
    for (auto id = job.spec.dependencies.rbegin(); id != job.spec.dependencies.rend(); ++id) {
        const Job* live = clusterState->job(*id);
        if (live != nullptr &&
            clusterState->nodes.contains(clusterState->partitions[live->partition].leader) &&
            placement_.isFeasible(job, live->partition))
            return live->partition;
    }
    return std::nullopt;
}

std::uint32_t WorkMigrator::mapJob(const Job& job) {
    // Greedy: where it would run first, by the queue there and by what its image takes to fetch.
    // Jobs of one image so come together in few partitions, whose machines have it.
    if (const auto partition = partitionOfDependencies(job)) return *partition;
    std::uint32_t best = context_.preferredPartition;
    std::tuple<int, double> bestScore{-1, 0};
    const auto fetch = placement_.fetchTime(job).count();
    const auto queues = placement_.queueLengths();
    auto clusterState = context_.clusterState.lock();
    for (std::uint32_t i = 0; i < context_.partitionCount(); ++i) {
        // Equal partitions: one's own first.
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
