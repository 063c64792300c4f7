#include "storage/job.h"

#include <algorithm>

namespace fawnwheel::storage {

namespace {

// A faulty machine fails many tasks, and a job may be placed on two faulty machines in a row.
constexpr std::uint32_t minFailedMachinesOfCrashLoop = 3;
// For this long a job avoids a machine on which one of its tasks failed. The time is limited
// because no other machine may fit the job.
constexpr std::chrono::seconds avoidanceDuration{60};

// Returns the task's allocation, const if the list is const, or null if there is none.
template <typename Allocations>
auto* findAllocation(Allocations& allocations, std::uint32_t task) {
    const auto found = std::find_if(allocations.begin(), allocations.end(),
                                    [task](const Allocation& a) { return a.task == task; });
    return found == allocations.end() ? nullptr : &*found;
}

}  // namespace

const Allocation* Slice::allocationOf(std::uint32_t task) const {
    return findAllocation(allocations, task);
}

Allocation* Slice::allocationOf(std::uint32_t task) {
    return findAllocation(allocations, task);
}

bool Slice::unstarted(std::uint32_t task) const {
    return range().contains(task) && !done[task - first] && allocationOf(task) == nullptr;
}

std::uint32_t Slice::waitingTasks() const {
    const auto started = doneCount + allocations.size();
    const auto migratingTasks = migrating ? migrating->count : 0;
    return size() -
           static_cast<std::uint32_t>(std::min<std::size_t>(size(), started + migratingTasks));
}

TaskRange Slice::trailingUnstarted() const {
    auto end = first + size();
    while (end > first && !unstarted(end - 1)) --end;
    auto begin = end;
    while (begin > first && unstarted(begin - 1)) --begin;
    return {begin, end - begin};
}

SliceContent Slice::content() const {
    SliceContent content{partition, range(), divided, done, {}, failures};
    for (const auto& allocation : allocations)
        if (allocation.durable) content.allocations.push_back(allocation);
    return content;
}

void Slice::markDirty() {
    if (dirty) return;
    recorded = content();
    dirty = true;
}

void Slice::markDone(std::uint32_t task) {
    const auto at = task - first;
    if (at >= done.size() || done[at]) return;
    done[at] = true;
    ++doneCount;
}

bool Job::complete() const {
    if (spec.kind == protocol::JobKind::service || doneTasks() < spec.tasks) return false;
    // A job is complete only if each single task is done. The known slices can all be done while
    // the record of a slice that was divided off has not been read yet. And where two slices
    // overlap temporarily, the sum of their done tasks counts a task twice.
    std::vector<bool> done(spec.tasks, false);
    for (const auto& slice : slices)
        for (std::uint32_t i = 0; i < slice.size(); ++i)
            if (slice.done[i] && slice.first + i < spec.tasks) done[slice.first + i] = true;
    return std::find(done.begin(), done.end(), false) == done.end();
}

bool Job::hasAllocations() const {
    return std::any_of(slices.begin(), slices.end(),
                       [](const Slice& s) { return !s.allocations.empty(); });
}

std::uint32_t Job::doneTasks() const {
    std::uint32_t total = 0;
    for (const auto& slice : slices) total += slice.doneCount;
    return total;
}

std::uint32_t Job::allocatedTasks() const {
    std::size_t total = 0;
    for (const auto& slice : slices) total += slice.allocations.size();
    return static_cast<std::uint32_t>(total);
}

bool Job::crashLooping() const {
    if (!failures.anyFailure || failures.crashLoopDisproved || doneTasks() > 0) return false;
    std::uint32_t machines = 0;
    for (const auto& slice : slices) machines += slice.failures;
    return machines >= minFailedMachinesOfCrashLoop;
}

bool Job::avoids(const std::string& machine, SteadyTime now) const {
    const auto found = failures.machines.find(machine);
    return found != failures.machines.end() && now - found->second < avoidanceDuration;
}

Slice* Job::sliceOf(std::uint32_t task) {
    const auto covers = [task](const Slice& slice) { return slice.range().contains(task); };
    const auto at = task / sliceSize;
    if (at < slices.size() && covers(slices[at])) return &slices[at];
    const auto found = std::find_if(slices.begin(), slices.end(), covers);
    return found == slices.end() ? nullptr : &*found;
}

std::optional<TaskRange> Job::initialRange(std::uint32_t index) const {
    const std::uint64_t first = std::uint64_t{index} * sliceSize;
    if (first >= spec.tasks) return std::nullopt;
    const auto begin = static_cast<std::uint32_t>(first);
    return TaskRange{begin, std::min(sliceSize, spec.tasks - begin)};
}

Slice& Job::ensureSlice(std::uint32_t index) {
    while (slices.size() <= index) {
        Slice empty;
        empty.index = static_cast<std::uint32_t>(slices.size());
        empty.partition = partition;
        empty.divided = true;
        slices.push_back(std::move(empty));
    }
    return slices[index];
}

bool Job::requiresSingleLeader() const {
    return spec.kind == protocol::JobKind::gang || spec.oneZone || spec.spread;
}

std::deque<Slice> makeSlices(const JobSpec& spec, std::uint32_t sliceSize, PartitionId partition) {
    std::deque<Slice> slices;
    for (std::uint32_t first = 0; first < spec.tasks; first += sliceSize) {
        Slice slice;
        slice.index = static_cast<std::uint32_t>(slices.size());
        slice.first = first;
        slice.partition = partition;
        slice.done.assign(std::min(sliceSize, spec.tasks - first), false);
        slices.push_back(std::move(slice));
    }
    return slices;
}

std::vector<Slice> cutSlice(const Slice& slice, const std::vector<std::uint32_t>& cuts,
                            std::uint32_t nextIndex) {
    std::vector<Slice> pieces;
    for (std::size_t i = 0; i <= cuts.size(); ++i) {
        const auto first = i == 0 ? slice.first : cuts[i - 1];
        const auto end = i == cuts.size() ? slice.range().end() : cuts[i];
        Slice piece;
        piece.index = i == 0 ? slice.index : nextIndex++;
        piece.first = first;
        piece.partition = slice.partition;
        piece.done.assign(slice.done.begin() + (first - slice.first),
                          slice.done.begin() + (end - slice.first));
        piece.doneCount =
            static_cast<std::uint32_t>(std::count(piece.done.begin(), piece.done.end(), true));
        for (const auto& allocation : slice.allocations)
            if (piece.range().contains(allocation.task)) piece.allocations.push_back(allocation);
        piece.divided = slice.divided || !cuts.empty();
        piece.failures = i == 0 ? slice.failures : 0;
        piece.version = i == 0 ? slice.version : 0;
        piece.dirty = slice.dirty;
        if (piece.dirty) piece.recorded = slice.recorded;
        piece.dirtySince = slice.dirtySince;
        pieces.push_back(std::move(piece));
    }
    return pieces;
}

}  // namespace fawnwheel::storage
