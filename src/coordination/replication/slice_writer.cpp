#include "coordination/replication/slice_writer.h"

#include <spdlog/spdlog.h>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

constexpr std::size_t maxBytes = std::size_t{40} * 1024;  // of the 64 KiB a transaction may have
constexpr std::size_t bytesPerAllocation = 56;
constexpr std::size_t leastChanges = 2;  // the end of a job drops one record and writes another
constexpr std::size_t leastValueBytes = 512;

// Where the slice has to be cut so that each range becomes a piece of its own.
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
    return batch.transaction.writes.size() >= mostChanges_ || batch.bytes >= maxBytes;
}

std::vector<std::uint32_t> SliceWriter::cutsToFit(const Slice& slice) const {
    std::vector<std::uint32_t> cuts;
    // Halved as often as need be. Most are so small that they need not be written out to see it.
    std::vector<storage::TaskRange> open{slice.range()};
    while (!open.empty()) {
        const auto range = open.back();
        open.pop_back();
        if (range.count * bytesPerAllocation + bytesPerChange < mostValueBytes_ || range.count < 2)
            continue;
        const auto pieces = storage::cutSlice(slice, cutsAround(slice, {range}), 0);
        const auto& piece = range.first == slice.first ? pieces.front() : pieces[1];
        if (storage::sliceValue(piece).dump().size() <= mostValueBytes_) continue;
        const auto half = range.count / 2;
        cuts.push_back(range.first + half);
        open.push_back({range.first, half});
        open.push_back({range.first + half, range.count - half});
    }
    std::sort(cuts.begin(), cuts.end());
    return cuts;
}

bool SliceWriter::add(SliceBatch& batch, Job& job, const Slice& slice, LeavingTasks leaving) {
    auto& [compares, writes] = batch.transaction;
    WrittenSlice written{job.spec.id, slice.index, slice.version,      slice.range(),
                         {},          0,           std::move(leaving), {}};
    if (!written.leaving.ranges.empty())
        written.cuts = cutsAround(slice, written.leaving.ranges);
    else if (context_.jobDependenciesEnabled(*context_.clusterState.lock()))
        // Recorded while values could be larger, by the version before (limits_lowered).
        written.cuts = cutsToFit(slice);
    // Two slices of one job that were divided in one transaction once added pieces under the same
    // index, and the tasks of one of them were in no slice any more (rebalancing_limit).
    auto& added = batch.addedSlices[job.spec.id];
    written.nextIndex = static_cast<std::uint32_t>(job.slices.size()) + added;
    const auto pieces = storage::cutSlice(slice, written.cuts, written.nextIndex);
    if (writes.size() + pieces.size() > mostChanges_ && !writes.empty()) return false;
    added += static_cast<std::uint32_t>(pieces.size() - 1);
    // The job's version fails an allocation made while a user cancels the job.
    if (batch.jobs.insert(job.spec.id).second)
        compares.push_back({storage::keys::job(job.spec.id), job.version});
    for (auto piece : pieces) {
        if (written.leaving.contains(piece.range())) piece.partition = written.leaving.target;
        const auto key = storage::keys::slice(job.spec.id, piece.index);
        compares.push_back({key, piece.version});
        written.writes.push_back({key, storage::sliceValue(piece), 0});
        writes.push_back(written.writes.back());
    }
    batch.bytes += bytesPerChange * pieces.size() + bytesPerAllocation * slice.allocations.size();
    batch.slices.push_back(std::move(written));
    return true;
}

void SliceWriter::finishSlice(ClusterState& clusterState, const SliceBatch& batch,
                              const WrittenSlice& written, std::uint64_t revision,
                              std::set<std::string>& machines) const {
    Job& job = *clusterState.job(written.job);
    const Slice& slice = job.sliceAt(written.index);
    if (batch.generation != clusterState.generation || slice.version != written.version ||
        slice.range() != written.range) {
        // Read anew while this was under way, perhaps as it stood before, or in partition. Cut once
        // more, a slice that was shorter by then had a piece without tasks recorded over the tasks
        // of the piece that had been divided off (TwoDivisionsOfOneJobLeaveEveryTaskInOneSlice,
        // ADivisionBetweenTwoPagesLeavesEveryTaskInOneSlice).
        for (const auto& write : written.writes)
            storage::applyEvent(clusterState, {write.key, write.value, revision}, context_.now());
        return;
    }
    auto pieces = storage::cutSlice(slice, written.cuts, written.nextIndex);
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        Slice& piece = pieces[i];
        const auto& value = *written.writes[i].value;
        if (written.leaving.contains(piece.range()))
            piece.partition = written.leaving.target;
        else if (i == 0 && slice.leaving)
            piece.leaving = slice.leaving;
        piece.version = revision;
        piece.dirty = value != storage::sliceValue(piece);
        piece.dirtySince.reset();
        auto recorded = storage::readSlice(job, piece.index, value);
        for (auto& allocation : piece.allocations)
            // Only what this transaction carried; a later allocation waits for the next.
            if (!allocation.durable && recorded && contains(*recorded, allocation)) {
                allocation.durable = true;
                machines.insert(allocation.machine);
            }
        piece.recorded = {};
        if (piece.dirty && recorded) piece.recorded = std::move(*recorded);
    }
    clusterState.divideSlice(job, written.index, pieces);
    // What was seen meanwhile of tasks that have left is for their new leader to see.
    for (const auto& piece : pieces) {
        Slice& held = job.sliceAt(piece.index);
        if (!written.leaving.contains(piece.range()) || !held.dirty) continue;
        auto recorded = held.recorded;
        clusterState.replaceSlice(job, held, std::move(recorded));
    }
}

void SliceWriter::undoAllocations(ClusterState& clusterState, const WrittenSlice& written) {
    // What did not become durable was never sent: forget it and decide anew.
    Job& job = *clusterState.job(written.job);
    Slice& slice = job.sliceAt(written.index);
    std::vector<std::uint32_t> undone;
    for (const auto& allocation : slice.allocations)
        // But one that was found running: a second place for its task would let it run twice.
        if (!allocation.durable && !allocation.seen) undone.push_back(allocation.task);
    for (const auto task : undone) clusterState.removeAllocation(job, slice, task);
}

void SliceWriter::onRejected(std::uint32_t partition, std::size_t writes) {
    if (writes > leastChanges)
        mostChanges_ = std::max(leastChanges, writes / 2);
    else
        mostValueBytes_ = std::max(leastValueBytes, mostValueBytes_ / 2);
    spdlog::warn("records: the state service rejects part {}'s changes, now at most {} of {} bytes",
                 partition, mostChanges_, mostValueBytes_);
}

std::set<std::string> SliceWriter::finish(ClusterState& clusterState, const SliceBatch& batch,
                                          CommitResult result, std::uint64_t revision) const {
    std::set<std::string> machines;
    for (const auto& written : batch.slices) {
        if (clusterState.job(written.job) == nullptr) continue;
        if (result == CommitResult::done)
            finishSlice(clusterState, batch, written, revision, machines);
        else if (batch.generation == clusterState.generation)
            undoAllocations(clusterState, written);
    }
    return machines;
}

}  // namespace fawnwheel::coordination
