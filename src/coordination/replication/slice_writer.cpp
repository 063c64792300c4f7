#include "coordination/replication/slice_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "storage/record_codec.h"
#include "storage/record_keys.h"
#include "storage/record_replay.h"

namespace fawnwheel::coordination {

namespace {

constexpr std::size_t maxTransactionBytes = std::size_t{40} * 1024;  // of the 64 KiB allowed
constexpr std::size_t bytesPerAllocation = 56;
constexpr std::size_t minWrites = 2;  // the end of a job deletes one record and writes another
constexpr std::size_t minValueBytes = 512;

/// Where the slice has to be cut so that each range becomes a piece of its own.
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

bool SliceWriter::full(const SliceBatch& batch) const {
    return batch.transaction.writes.size() >= maxWrites_ || batch.bytes >= maxTransactionBytes;
}

std::vector<std::uint32_t> SliceWriter::cutsToFit(const Slice& slice) const {
    std::vector<std::uint32_t> cuts;
    // Halved as often as needed. Most slices are so small that this shows without encoding them.
    std::vector<storage::TaskRange> open{slice.range()};
    while (!open.empty()) {
        const auto range = open.back();
        open.pop_back();
        if (range.count * bytesPerAllocation + bytesPerWrite < maxValueBytes_ || range.count < 2)
            continue;
        const auto pieces = storage::cutSlice(slice, cutsAround(slice, {range}), 0);
        const auto& piece = range.first == slice.first ? pieces.front() : pieces[1];
        if (storage::sliceValue(piece).dump().size() <= maxValueBytes_) continue;
        const auto half = range.count / 2;
        cuts.push_back(range.first + half);
        open.push_back({range.first, half});
        open.push_back({range.first + half, range.count - half});
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
        // Recorded while values could be larger, by the version before (scenario limits_lowered).
        written.cuts = cutsToFit(slice);
    // Two slices of one job that were divided in one transaction once added pieces under the same
    // index, and the tasks of one of them were in no slice any more (scenario rebalancing_limit).
    auto& added = batch.addedSlices[job.spec.id];
    written.nextIndex = static_cast<std::uint32_t>(job.slices.size()) + added;
    const auto pieces = storage::cutSlice(slice, written.cuts, written.nextIndex);
    if (writes.size() + pieces.size() > maxWrites_ && !writes.empty()) return false;
    added += static_cast<std::uint32_t>(pieces.size() - 1);
    // Comparing the job's version makes an allocation fail while a user cancels the job.
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

void SliceWriter::finishSlice(ClusterState& clusterState, const SliceBatch& batch,
                              const WrittenSlice& written, std::uint64_t revision,
                              std::set<std::string>& machines) const {
    Job& job = *clusterState.job(written.job);
    const Slice& slice = job.ensureSlice(written.index);
    if (batch.generation != clusterState.generation || slice.version != written.version ||
        slice.range() != written.range) {
        // Read again while the transaction was in flight, perhaps as it stood before, or in part.
        // Cut once more, a slice that was shorter by then had a piece without tasks recorded over
        // the tasks of the piece that had been divided off
        // (TwoDivisionsOfOneJobLeaveEveryTaskInOneSlice,
        // ADivisionBetweenTwoPagesLeavesEveryTaskInOneSlice).
        for (const auto& write : written.writes)
            storage::applyEvent(clusterState, {write.key, write.value, revision}, context_.now());
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
        // Only what this transaction carried; a later allocation waits for the next one.
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
    // What happened meanwhile to tasks that have migrated is for their new leader to observe.
    for (const auto& piece : pieces) {
        Slice& current = job.ensureSlice(piece.index);
        if (!written.migrating.contains(piece.range()) || !current.dirty) continue;
        auto recorded = current.recorded;
        clusterState.replaceSlice(job, current, std::move(recorded));
    }
}

void SliceWriter::undoAllocations(ClusterState& clusterState, const WrittenSlice& written) {
    // What did not become durable was never sent to a worker: it is undone and decided again.
    Job& job = *clusterState.job(written.job);
    Slice& slice = job.ensureSlice(written.index);
    std::vector<std::uint32_t> undone;
    for (const auto& allocation : slice.allocations)
        // Except what was found running: a second allocation would let the task run twice.
        if (!allocation.durable && !allocation.reported) undone.push_back(allocation.task);
    for (const auto task : undone) clusterState.removeAllocation(job, slice, task);
}

void SliceWriter::onRejected(PartitionId partition, std::size_t writes) {
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
            finishSlice(clusterState, batch, written, revision, machines);
        else if (batch.generation == clusterState.generation)
            undoAllocations(clusterState, written);
    }
    return machines;
}

}  // namespace fawnwheel::coordination
