/// @file
/// A job, its slices and the allocations of its tasks.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/messages.h"
#include "storage/partition.h"
#include "transport/interfaces.h"

namespace fawnwheel::storage {

using protocol::JobSpec;
using protocol::Resources;
using protocol::Seconds;
using transport::Duration;
using transport::SteadyTime;
using transport::WallTime;

/// A task's machine: durable before its start is sent, until there is proof that the task is gone.
struct Allocation {
    // Durable.
    std::uint32_t task = 0;
    std::string machine;
    std::uint64_t attempt = 0;

    // Not durable.
    bool durable = false;              ///< whether the fields above are in the slice's record
    bool startCancelled = false;       ///< not to be started any more; waits for the proof
    bool reported = false;             ///< reported at least once
    int unconfirmedStarts = 0;         ///< in answers, without a heartbeat that shows the task
    std::optional<Seconds> stopGrace;  ///< to be stopped, with this much time for its checkpoint
    protocol::TaskState state = protocol::TaskState::fetching;
    SteadyTime createdAt{};                  ///< when the allocation was made
    std::optional<SteadyTime> runningSince;  ///< when it was first reported as running

    /// For a new leader: the task may have been started or not, and commands may not have arrived;
    /// only a heartbeat to the present leader tells.
    void resetReportedState() {
        reported = false;
        unconfirmedStarts = 0;
        stopGrace.reset();
    }
};

/// Consecutive tasks of a job.
struct TaskRange {
    std::uint32_t first = 0;
    std::uint32_t count = 0;

    [[nodiscard]] std::uint32_t end() const { return first + count; }
    [[nodiscard]] bool contains(std::uint32_t task) const { return task >= first && task < end(); }
    bool operator==(const TaskRange&) const = default;
};

/// What a slice's record holds.
struct SliceContent {
    PartitionId partition = 0;
    TaskRange range;
    bool divided = false;  ///< the range is not the one its index gives
    std::vector<bool> done;
    std::vector<Allocation> allocations;
    std::uint32_t failures = 0;  ///< as in `Slice`
};

/// Consecutive tasks of one job that have one leader and one record.
struct Slice {
    // Durable.
    std::uint32_t index = 0;
    std::uint32_t first = 0;  ///< task
    PartitionId partition = 0;
    std::vector<bool> done;  ///< by task, from `first` on
    std::uint32_t doneCount = 0;
    std::vector<Allocation> allocations;
    std::uint32_t failures = 0;  ///< machines on which its tasks have failed
    bool divided = false;        ///< its range is not the one its index gives: the record names it
    std::uint64_t version = 0;   ///< 0: no record; its content is as the job's record gives it

    // Not durable.
    bool dirty = false;                    ///< changed since `version`; set by `markDirty` alone
    SliceContent recorded;                 ///< while dirty: the content as of `version`
    std::optional<SteadyTime> dirtySince;  ///< as the state writer saw it
    std::optional<TaskRange> migrating;    ///< to another partition: not to be placed here

    [[nodiscard]] std::uint32_t size() const { return static_cast<std::uint32_t>(done.size()); }
    [[nodiscard]] TaskRange range() const { return {first, size()}; }
    [[nodiscard]] bool complete() const { return doneCount == done.size(); }
    [[nodiscard]] bool hasNotStarted() const { return allocations.empty() && doneCount == 0; }
    [[nodiscard]] bool isMigrating(std::uint32_t task) const {
        return migrating && migrating->contains(task);
    }
    /// Neither done nor allocated.
    [[nodiscard]] bool unstarted(std::uint32_t task) const;
    /// How many of its tasks wait to be placed here.
    [[nodiscard]] std::uint32_t waitingTasks() const;
    /// The last consecutive tasks that are unstarted; none: an empty range.
    [[nodiscard]] TaskRange trailingUnstarted() const;
    [[nodiscard]] const Allocation* allocationOf(std::uint32_t task) const;
    [[nodiscard]] Allocation* allocationOf(std::uint32_t task);
    void markDone(std::uint32_t task);
    /// To be called before any change of the content, so that the change can be discarded.
    void markDirty();
    /// What a record of the present content would hold.
    [[nodiscard]] SliceContent content() const;
};

/// What this process has seen of a job's failed tasks. The durable part is `Slice::failures`.
struct FailureHistory {
    std::map<std::string, SteadyTime> machines;  ///< where tasks failed, and when last
    Duration longestFailedRun{};                 ///< of a task that failed
    int failedProbes = 0;     ///< that have failed since the job was found to be crash-looping
    bool anyFailure = false;  ///< some slice has failures
    bool crashLoopDisproved = false;  ///< a task has since run for longer than those that failed
};

/// A job with an active record.
struct Job {
    // Durable.
    JobSpec spec;
    PartitionId partition = 0;  ///< whose leader sees the job through to its end
    bool cancelled = false;
    WallTime submitted;
    std::uint32_t sliceSize = 1;
    std::uint64_t version = 0;
    /// By index. Those that division has added follow the ones that the size of slices gives; one
    /// without tasks stands for a record that has not been read yet.
    std::deque<Slice> slices;

    // Not durable.
    bool completing = false;    ///< the transaction that ends it has no outcome yet
    SteadyTime backoffUntil{};  ///< backing off
    FailureHistory failures;
    bool countedInClass = false;           ///< counted among its class
    SteadyTime preemptionReservedUntil{};  ///< others have been stopped for it
    std::string assemblyZone;  ///< where a gang that must stay in one zone assembles machines
    SteadyTime assemblySince{};

    // Kept by `DependencyGraph`, and computed from the records alone, so that nodes agree on it.
    bool knownCancelled = false;         ///< cancelled by its record or by a peer's word
    bool blockedOnDependencies = false;  ///< some dependency is not known to be done
    bool dependencyCancelled = false;    ///< a dependency, direct or through others, is cancelled
    WallTime readySince;                 ///< when the last dependency was done, or its submission
    protocol::Priority priority = protocol::Priority::normal;  ///< of its most urgent dependent
    std::optional<WallTime> latestEnd;  ///< leaves time for all dependents before their deadlines

    /// Whether each of its tasks is done. Tasks that two slices cover count once.
    [[nodiscard]] bool complete() const;
    [[nodiscard]] bool hasAllocations() const;
    [[nodiscard]] std::uint32_t doneTasks() const;
    [[nodiscard]] std::uint32_t allocatedTasks() const;
    [[nodiscard]] Slice* sliceOf(std::uint32_t task);
    /// Whether the job itself seems to be at fault: its tasks have failed on several machines and
    /// none was ever done. It is probed from time to time with one task, and otherwise has and
    /// requests no capacity.
    [[nodiscard]] bool crashLooping() const;
    /// Whether its tasks have lately failed on the machine.
    [[nodiscard]] bool avoids(const std::string& machine, SteadyTime now) const;
    /// The tasks of the slice with this index before any division; none: division has added it.
    [[nodiscard]] std::optional<TaskRange> initialRange(std::uint32_t index) const;
    /// The slice with this index, added as an empty one if it is missing.
    Slice& ensureSlice(std::uint32_t index);
    /// Whether all its tasks must have one leader: gangs and jobs whose tasks' zones depend on one
    /// another.
    [[nodiscard]] bool requiresSingleLeader() const;
};

/// The slices of a job before any division, without records.
[[nodiscard]] std::deque<Slice> makeSlices(const JobSpec& spec, std::uint32_t sliceSize,
                                           PartitionId partition);

/// The slice cut before each of these tasks (ascending, within it). The first piece keeps the
/// index, the others get indexes from `nextIndex` on and no version.
[[nodiscard]] std::vector<Slice> cutSlice(const Slice& slice,
                                          const std::vector<std::uint32_t>& cuts,
                                          std::uint32_t nextIndex);

}  // namespace fawnwheel::storage
