#include "coordination/replication/slice_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "storage/record_codec.h"
#include "storage/record_keys.h"
#include "storage/record_replay.h"

namespace fawnwheel::coordination {

namespace {

// The state service allows 64 KiB.
constexpr std::size_t maxTransactionBytes = std::size_t{40} * 1024;
constexpr std::size_t bytesPerAllocation = 56;
// A job's end deletes the active record and writes a terminal record.
constexpr std::size_t minWrites = 2;
constexpr std::size_t minValueBytes = 512;

/// Returns the tasks at which to cut the slice so that each range becomes a separate piece.
std::vector<std::uint32_t> cutsAround(const Slice& slice,
                                      const std::vector<storage::TaskRange>& ranges) {
    std::vector<std::uint32_t> cuts;
    const auto cutBefore = [&](std::uint32_t task) {
        const bool inside = task > slice.first && task < slice.range().end();
        if (inside && (cuts.empty() || cuts.back() < task)) cuts.push_back(task);
    };
    for (const auto& range : ranges) {
        cutBefore(range.first);
        cutBefore(range.end());
    }
    return cuts;
}

bool contains(const storage::SliceContent& content, const Allocation& allocation) {
    return std::any_of(content.allocations.begin(), content.allocations.end(),
                       [&allocation](const Allocation& other) {
                           return other.task == allocation.task &&
                                  other.attempt == allocation.attempt;
                       });
}

}  // namespace

bool SliceWriter::isFull(const SliceBatch& batch) const {
    return batch.transaction.writes.size() >= maxWrites_ || batch.bytes >= maxTransactionBytes;
}

std::vector<std::uint32_t> SliceWriter::cutsToFit(const Slice& slice) const {
    std::vector<std::uint32_t> cuts;
    // Halves each range until its record fits. Most slices are so small that the size estimate is
    // enough and nothing is encoded.
    std::vector<storage::TaskRange> unchecked{slice.range()};
    while (!unchecked.empty()) {
        const auto range = unchecked.back();
        unchecked.pop_back();
        if (range.count * bytesPerAllocation + bytesPerWrite < maxValueBytes_ || range.count < 2)
            continue;
        const auto pieces = storage::cutSlice(slice, cutsAround(slice, {range}), 0);
        const auto& piece = range.first == slice.first ? pieces.front() : pieces[1];
        if (protocol::jsonSize(storage::sliceValue(piece)) <= maxValueBytes_) continue;
        const auto half = range.count / 2;
        cuts.push_back(range.first + half);
        unchecked.push_back({range.first, half});
        unchecked.push_back({range.first + half, range.count - half});
    }
    std::sort(cuts.begin(), cuts.end());
    return cuts;
}

bool SliceWriter::add(SliceBatch& batch, Job& job, const Slice& slice, MigratingTasks migrating) {
    auto& [compares, writes] = batch.transaction;
    WrittenSlice written{job.spec.id, slice.index, slice.version,        slice.range(),
                         {},          0,           std::move(migrating), {}};
    if (!written.migrating.ranges.empty())
        written.cuts = cutsAround(slice, written.migrating.ranges);
    else if (context_.jobDependenciesEnabled(*context_.clusterState.lock()))
        // The previous version may have recorded the slice while the state service allowed larger
        // values (scenario limits_lowered).
        written.cuts = cutsToFit(slice);
    // Counts the pieces already added in this transaction. If two slices of one job were divided in
    // it and both added pieces under the same index, the tasks of one piece would no longer be in
    // any slice (scenario rebalancing_at_quota).
    auto& added = batch.addedSlices[job.spec.id];
    written.nextIndex = static_cast<std::uint32_t>(job.slices.size()) + added;
    const auto pieces = storage::cutSlice(slice, written.cuts, written.nextIndex);
    if (writes.size() + pieces.size() > maxWrites_ && !writes.empty()) return false;
    added += static_cast<std::uint32_t>(pieces.size() - 1);
    // Comparing the job's version makes an allocation fail if a user has just cancelled the job.
    if (batch.jobs.insert(job.spec.id).second)
        compares.push_back({storage::keys::job(job.spec.id), job.version});
    for (auto piece : pieces) {
        if (written.migrating.contains(piece.range())) piece.partition = written.migrating.target;
        const auto key = storage::keys::slice(job.spec.id, piece.index);
        compares.push_back({key, piece.version});
        written.writes.push_back({key, storage::sliceValue(piece), 0});
        writes.push_back(written.writes.back());
    }
    batch.bytes += bytesPerWrite * pieces.size() + bytesPerAllocation * slice.allocations.size();
    batch.slices.push_back(std::move(written));
    return true;
}

void SliceWriter::applyCommittedSlice(ClusterState& clusterState, const SliceBatch& batch,
                                      const WrittenSlice& written, std::uint64_t revision,
                                      std::set<std::string>& machines) const {
    Job& job = *clusterState.job(written.job);
    const Slice& slice = job.ensureSlice(written.index);
    if (batch.generation != clusterState.generation || slice.version != written.version ||
        slice.range() != written.range) {
        // The slice was read again while the transaction was in flight, possibly as it was before
        // the transaction, or only in part. Dividing a slice that is already shorter would create
        // a piece without tasks, and its record would overwrite that of the piece that had been
        // divided off. The written records are therefore applied as they are
        // (tests ConcurrentDivisionsOfOneJobKeepEachTaskInOneSlice and
        // DivisionBetweenSnapshotPagesKeepsEachTaskInOneSlice).
        for (const auto& write : written.writes)
            storage::applyAnswer(clusterState, {write.key, write.value, revision}, context_.now());
        return;
    }
    auto pieces = storage::cutSlice(slice, written.cuts, written.nextIndex);
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        Slice& piece = pieces[i];
        if (written.migrating.contains(piece.range()))
            piece.partition = written.migrating.target;
        else if (i == 0 && slice.migrating)
            piece.migrating = slice.migrating;
        markRecorded(job, piece, *written.writes[i].value, revision, machines);
    }
    clusterState.divideSlice(job, written.index, pieces);
    discardAfterMigration(clusterState, job, written, pieces);
}

void SliceWriter::markRecorded(const Job& job, Slice& piece, const protocol::Json& value,
                               std::uint64_t revision, std::set<std::string>& machines) {
    piece.version = revision;
    piece.dirty = value != storage::sliceValue(piece);
    piece.dirtySince.reset();
    auto recorded = storage::readSlice(job, piece.index, value);
    for (auto& allocation : piece.allocations)
        // Allocations made after this transaction was built become durable with the next one.
        if (!allocation.durable && recorded && contains(*recorded, allocation)) {
            allocation.durable = true;
            machines.insert(allocation.machine);
        }
    piece.recorded = {};
    if (piece.dirty && recorded) piece.recorded = std::move(*recorded);
}

void SliceWriter::discardAfterMigration(ClusterState& clusterState, Job& job,
                                        const WrittenSlice& written,
                                        const std::vector<Slice>& pieces) {
    // Tasks that have migrated are observed by their new leader; this leader's changes since the
    // transaction was built are discarded.
    for (const auto& piece : pieces) {
        Slice& current = job.ensureSlice(piece.index);
        if (!written.migrating.contains(piece.range()) || !current.dirty) continue;
        auto recorded = current.recorded;
        clusterState.replaceSlice(job, current, std::move(recorded));
    }
}

void SliceWriter::undoAllocations(ClusterState& clusterState, const WrittenSlice& written) {
    // Starts are sent to workers only for durable allocations. The others can therefore be undone
    // and decided again.
    Job& job = *clusterState.job(written.job);
    Slice& slice = job.ensureSlice(written.index);
    std::vector<std::uint32_t> undone;
    for (const auto& allocation : slice.allocations)
        // If a worker has reported the task, a second allocation would let the task run twice.
        if (!allocation.durable && !allocation.reported) undone.push_back(allocation.task);
    for (const auto task : undone) clusterState.removeAllocation(job, slice, task);
}

void SliceWriter::lowerLimits(PartitionId partition, std::size_t writes) {
    if (writes > minWrites)
        maxWrites_ = std::max(minWrites, writes / 2);
    else
        maxValueBytes_ = std::max(minValueBytes, maxValueBytes_ / 2);
    spdlog::warn("slice_writer: limits_lowered partition={} max_writes={} max_value_bytes={}",
                 partition, maxWrites_, maxValueBytes_);
}

std::set<std::string> SliceWriter::applyOutcome(ClusterState& clusterState, const SliceBatch& batch,
                                                CommitResult result, std::uint64_t revision) const {
    std::set<std::string> machines;
    for (const auto& written : batch.slices) {
        if (clusterState.job(written.job) == nullptr) continue;
        if (result == CommitResult::committed)
            applyCommittedSlice(clusterState, batch, written, revision, machines);
        else if (batch.generation == clusterState.generation)
            undoAllocations(clusterState, written);
    }
    return machines;
}

}  // namespace fawnwheel::coordination
