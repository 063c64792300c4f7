#include "storage/cluster_state.h"

#include <algorithm>

#include "storage/record_keys.h"

namespace fawnwheel::storage {

Job* ClusterState::job(const std::string& id) {
    const auto found = jobs.find(id);
    return found == jobs.end() ? nullptr : &found->second;
}

void ClusterState::addJob(Job job) {
    const auto id = job.spec.id;
    Job& added = jobs.insert_or_assign(id, std::move(job)).first->second;
    added.knownCancelled = knownCancelled(added);
    dependencyGraph.add(added);
}

bool ClusterState::recordCancellation(const std::string& id, std::uint64_t revision) {
    const bool isNew = cancellations.append(id, revision);
    if (Job* activeJob = job(id); activeJob != nullptr && !activeJob->knownCancelled)
        dependencyGraph.onCancelled(*activeJob);
    return isNew;
}

void ClusterState::clearRecords() {
    ++generation;
    orphanedRecords.clear();
    corruptMachines.clear();
    jobs.clear();
    dependencyGraph.clear();
    machines.clear();
    partitions.clear();
    nodes.clear();
    quotas.clear();
    quotaVersions.clear();
    lastTerm = termVersion = catalogVersion = 0;
}

Machine* ClusterState::machine(const std::string& id) {
    const auto found = machines.find(id);
    return found == machines.end() ? nullptr : &found->second;
}

bool ClusterState::leadsAnyPartition(const std::string& node) const {
    return std::any_of(partitions.begin(), partitions.end(),
                       [&node](const auto& entry) { return entry.second.leader == node; });
}

const std::vector<Machine*>& ClusterState::machinesOf(PartitionId partition) const {
    static const std::vector<Machine*> none;
    const auto found = machinesByPartition_.find(partition);
    return found == machinesByPartition_.end() ? none : found->second;
}

Machine& ClusterState::addMachine(const std::string& id, PartitionId partition) {
    const auto [entry, isNew] = machines.try_emplace(id);
    Machine& added = entry->second;
    if (!isNew) {
        assignPartition(added, partition);
        return added;
    }
    added.id = id;
    added.partition = partition;
    deletedMachines.observeMachineCount(machines.size());
    machinesByPartition_[partition].push_back(&added);
    return added;
}

void ClusterState::assignPartition(Machine& machine, PartitionId partition) {
    if (machine.partition == partition) return;
    std::erase(machinesByPartition_[machine.partition], &machine);
    machine.partition = partition;
    machinesByPartition_[partition].push_back(&machine);
}

std::optional<std::uint32_t> ClusterState::partitionOfAllocationsOn(
    const std::string& machine) const {
    for (const auto& [id, job] : jobs)
        for (const auto& slice : job.slices)
            for (const auto& allocation : slice.allocations)
                if (allocation.machine == machine) return slice.partition;
    return std::nullopt;
}

void ClusterState::indexAllocations(Machine& machine) const {
    for (const auto& [name, job] : jobs)
        for (const auto& slice : job.slices)
            for (const auto& allocation : slice.allocations)
                if (allocation.machine == machine.id) {
                    machine.allocations.push_back({name, allocation.task, allocation.attempt});
                    machine.used += job.spec.taskResources;
                }
}

void ClusterState::resetTaskStates(const Machine& machine) {
    for (const auto& ref : machine.allocations)
        if (const auto [job, slice, allocation] = findAllocation(ref); allocation != nullptr)
            allocation->resetReportedState();
}

AllocationRef ClusterState::findAllocation(const TaskRef& ref) {
    Job* found = job(ref.job);
    Slice* slice = found == nullptr ? nullptr : found->sliceOf(ref.task);
    Allocation* allocation = slice == nullptr ? nullptr : slice->allocationOf(ref.task);
    if (allocation == nullptr || allocation->attempt != ref.attempt) return {};
    return {found, slice, allocation};
}

void ClusterState::indexAllocation(const Job& job, const Allocation& allocation) {
    Machine* known = machine(allocation.machine);
    if (known == nullptr) return;
    const TaskRef ref{job.spec.id, allocation.task, allocation.attempt};
    auto& refs = known->allocations;
    if (std::find(refs.begin(), refs.end(), ref) != refs.end()) return;
    refs.push_back(ref);
    known->used += job.spec.taskResources;
    ++allocationsByImage_[job.spec.image][known->partition];
}

void ClusterState::unindexAllocation(const Job& job, const Allocation& allocation) {
    Machine* known = machine(allocation.machine);
    if (known == nullptr) return;
    const TaskRef ref{job.spec.id, allocation.task, allocation.attempt};
    if (std::erase(known->allocations, ref) == 0) return;
    known->used -= job.spec.taskResources;
    // Resets rounding errors of the sum.
    if (known->allocations.empty()) known->used = {};
}

void ClusterState::addCachedImage(Machine& machine, const JobSpec& spec) {
    auto& images = machine.images;
    std::erase_if(images, [&](const auto& i) { return i.name == spec.image; });
    images.push_front({spec.image, spec.imageSize});
    const auto type = std::find_if(catalog.begin(), catalog.end(),
                                   [&](const auto& t) { return t.name == machine.type; });
    if (type == catalog.end()) return;
    double total = 0;
    for (const auto& image : images) total += image.size;
    while (images.size() > 1 && total > type->cacheSize) {
        total -= images.back().size;
        images.pop_back();
    }
}

void ClusterState::addAllocation(Job& job, Slice& slice, Allocation allocation) {
    slice.markDirty();
    indexAllocation(job, allocation);
    slice.allocations.push_back(std::move(allocation));
}

void ClusterState::removeAllocation(Job& job, Slice& slice, std::uint32_t task) {
    const Allocation* allocation = slice.allocationOf(task);
    if (allocation == nullptr) return;
    slice.markDirty();
    unindexAllocation(job, *allocation);
    std::erase_if(slice.allocations, [task](const Allocation& c) { return c.task == task; });
}

void ClusterState::removeJob(const std::string& id) {
    Job* found = job(id);
    if (found == nullptr) return;
    for (const auto& slice : found->slices) {
        for (const auto& allocation : slice.allocations) unindexAllocation(*found, allocation);
        // Slice records that fitted into the job's last transaction were deleted with the job's
        // record. The watch delivers these deletions and removes the keys from this map.
        if (slice.version > 0)
            orphanedRecords[keys::slice(id, slice.index)] = {id, slice.partition};
    }
    dependencyGraph.remove(*found);
    jobs.erase(id);
}

void ClusterState::removeMachine(const std::string& id) {
    if (const auto found = machines.find(id); found != machines.end()) {
        std::erase(machinesByPartition_[found->second.partition], &found->second);
        machines.erase(found);
    }
    deletedMachines.insert(id);
}

void ClusterState::truncateOverlappingSlices(Job& job, const Slice& slice, const TaskRange& range) {
    // The records of a division have the same revision. Whichever is applied first, no task may be
    // in two slices.
    for (auto& other : job.slices) {
        if (&other == &slice || other.first >= range.first || other.range().end() <= range.first)
            continue;
        for (const auto& allocation : other.allocations)
            if (allocation.task >= range.first) unindexAllocation(job, allocation);
        other = cutSlice(other, {range.first}, 0).front();
    }
}

TaskRange ClusterState::excludeDividedPieces(const Job& job, const Slice& slice, TaskRange range) {
    // Ranges only shrink. A record that still covers tasks of a piece divided off it is older than
    // the division, even if it is read after the piece's record.
    for (const auto& other : job.slices)
        if (&other != &slice && other.size() > 0 && other.divided && other.first > range.first &&
            range.contains(other.first))
            range.count = other.first - range.first;
    return range;
}

void ClusterState::keepAllocationStates(const Job& job, const Slice& slice, SliceContent& content) {
    const bool sameLeader = content.partition == slice.partition;
    for (auto& allocation : content.allocations) {
        allocation.durable = true;
        if (const Allocation* old = slice.allocationOf(allocation.task);
            old != nullptr && old->attempt == allocation.attempt &&
            old->machine == allocation.machine) {
            allocation = *old;
            allocation.durable = true;
            if (!sameLeader) allocation.resetReportedState();
        } else if (Machine* known = machine(allocation.machine)) {
            // Another leader placed this task. Noting its image here lets a node that acquires the
            // partition know where images are cached; otherwise all images would be fetched again
            // after a failover.
            addCachedImage(*known, job.spec);
        }
    }
}

void ClusterState::replaceSlice(Job& job, Slice& slice, SliceContent content) {
    const auto range = excludeDividedPieces(job, slice, content.range);
    content.divided = content.divided || range != content.range;
    content.range = range;
    content.done.resize(range.count);
    std::erase_if(content.allocations, [&content](const Allocation& allocation) {
        return !content.range.contains(allocation.task);
    });
    keepAllocationStates(job, slice, content);
    truncateOverlappingSlices(job, slice, content.range);
    for (const auto& allocation : slice.allocations) unindexAllocation(job, allocation);
    slice.partition = content.partition;
    slice.failures = content.failures;
    job.failures.anyFailure = job.failures.anyFailure || slice.failures > 0;
    slice.first = content.range.first;
    slice.divided = content.divided;
    slice.done = std::move(content.done);
    slice.doneCount =
        static_cast<std::uint32_t>(std::count(slice.done.begin(), slice.done.end(), true));
    slice.allocations = std::move(content.allocations);
    for (const auto& allocation : slice.allocations) indexAllocation(job, allocation);
    slice.dirty = false;
    slice.recorded = {};
}

bool ClusterState::hasUnrecordedChanges(PartitionId partition) const {
    return std::any_of(jobs.begin(), jobs.end(), [partition](const auto& entry) {
        const auto& slices = entry.second.slices;
        return std::any_of(slices.begin(), slices.end(), [partition](const Slice& slice) {
            return slice.partition == partition && slice.dirty;
        });
    });
}

void ClusterState::discardUnrecordedChanges(PartitionId partition) {
    for (auto& [id, found] : jobs)
        for (auto& slice : found.slices)
            if (slice.partition == partition) discardUnrecordedChanges(found, slice);
}

void ClusterState::discardUnrecordedChanges(Job& job, Slice& slice) {
    if (!slice.dirty) return;
    auto recorded = std::move(slice.recorded);
    replaceSlice(job, slice, std::move(recorded));
}

void ClusterState::divideSlice(Job& job, std::uint32_t index, const std::vector<Slice>& pieces) {
    // The machines' indexes don't change: they refer to tasks, whichever slice contains them.
    job.ensureSlice(index) = pieces.front();
    for (std::size_t i = 1; i < pieces.size(); ++i) job.ensureSlice(pieces[i].index) = pieces[i];
}

void ClusterState::rebuildIndexes() {
    machinesByPartition_.clear();
    allocationsByImage_.clear();
    for (auto& [id, known] : machines) {
        known.allocations.clear();
        known.used = {};
        machinesByPartition_[known.partition].push_back(&known);
    }
    for (const auto& [id, activeJob] : jobs)
        for (const auto& slice : activeJob.slices)
            for (const auto& allocation : slice.allocations) indexAllocation(activeJob, allocation);
    dependencyGraph.prune();
}

double ClusterState::cachedFraction(const JobSpec& spec, PartitionId partition) const {
    const auto image = allocationsByImage_.find(spec.image);
    if (image == allocationsByImage_.end()) return 0;
    const auto uses = image->second.find(partition);
    if (uses == image->second.end()) return 0;
    return std::min(1.0, static_cast<double>(uses->second) / std::max(1U, spec.tasks));
}

Resources ClusterState::usedBy(const std::string& team, PartitionId partition) const {
    Resources total;
    for (const auto& [id, activeJob] : jobs) {
        if (activeJob.spec.team != team) continue;
        for (const auto& slice : activeJob.slices) {
            if (slice.partition != partition) continue;
            // Adds one by one, because a product would round differently.
            for (std::size_t i = 0; i < slice.allocations.size(); ++i)
                total += activeJob.spec.taskResources;
        }
    }
    return total;
}

}  // namespace fawnwheel::storage
