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

/// Assigns a task to a machine. Becomes durable before the start command is sent, and is removed
/// only after proof that the task is not running on the machine.
struct Allocation {
    // Durable.
    std::uint32_t task = 0;
    std::string machine;
    std::uint64_t attempt = 0;

    // Not durable.
    bool durable = false;              ///< whether the fields above are in the slice's record
    bool startCancelled = false;       ///< not to be started; removed on proof that it does not run
    bool reported = false;             ///< a heartbeat has shown the task at least once
    int unconfirmedStarts = 0;         ///< start commands sent without a heartbeat showing the task
    std::optional<Seconds> stopGrace;  ///< set: stop the task, with this time for its checkpoint
    protocol::TaskState state = protocol::TaskState::fetching;
    SteadyTime createdAt{};                  ///< when this process created it
    std::optional<SteadyTime> runningSince;  ///< when the task was first reported as running

    /// Resets what was reported to or sent by a former leader. Its commands may not have reached
    /// the worker, so only a heartbeat to the present leader shows whether the task was started.
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

/// The content of a slice's record.
struct SliceContent {
    PartitionId partition = 0;
    TaskRange range;
    bool divided = false;  ///< the range differs from the initial range of the index
    std::vector<bool> done;
    std::vector<Allocation> allocations;
    std::uint32_t failures = 0;  ///< see `Slice::failures`
};

/// Consecutive tasks of one job that have one leader and one record.
struct Slice {
    // Durable.
    std::uint32_t index = 0;
    std::uint32_t first = 0;  ///< index of the first task
    PartitionId partition = 0;
    std::vector<bool> done;  ///< one flag per task, from `first` on
    std::uint32_t doneCount = 0;
    std::vector<Allocation> allocations;
    std::uint32_t failures = 0;  ///< number of machines on which its tasks have failed
    bool divided = false;        ///< differs from its initial range: the record contains the range
    std::uint64_t version = 0;   ///< 0: no record; the job's record implies the content

    // Not durable.
    bool dirty = false;                    ///< changed since `version`; set only by `markDirty`
    SliceContent recorded;                 ///< content at `version`; set only while dirty
    std::optional<SteadyTime> dirtySince;  ///< when the state writer first saw the changes
    std::optional<TaskRange> migrating;    ///< migrating to another partition: not placed here

    [[nodiscard]] std::uint32_t size() const { return static_cast<std::uint32_t>(done.size()); }
    [[nodiscard]] TaskRange range() const { return {first, size()}; }
    [[nodiscard]] bool complete() const { return doneCount == done.size(); }
    [[nodiscard]] bool hasNotStarted() const { return allocations.empty() && doneCount == 0; }
    [[nodiscard]] bool isMigrating(std::uint32_t task) const {
        return migrating && migrating->contains(task);
    }
    /// Whether the slice contains the task, and it is neither done nor allocated.
    [[nodiscard]] bool unstarted(std::uint32_t task) const;
    /// The number of tasks that wait for placement in this slice's partition.
    [[nodiscard]] std::uint32_t waitingTasks() const;
    /// The last run of consecutive unstarted tasks; an empty range if there is none.
    [[nodiscard]] TaskRange trailingUnstarted() const;
    [[nodiscard]] const Allocation* allocationOf(std::uint32_t task) const;
    [[nodiscard]] Allocation* allocationOf(std::uint32_t task);
    void markDone(std::uint32_t task);
    /// Must be called before each change of the content: keeps the recorded content, so that the
    /// changes can be discarded.
    void markDirty();
    /// The present content without allocations that are not durable.
    [[nodiscard]] SliceContent content() const;
};

/// Failures of a job's tasks that this process has observed. The durable part is `Slice::failures`.
struct FailureHistory {
    std::map<std::string, SteadyTime> machines;  ///< last failure by machine
    Duration longestFailedRun{};                 ///< longest run time of a failed task
    int failedProbes = 0;             ///< probes failed since the job was found to be crash-looping
    bool anyFailure = false;          ///< a task of the job has failed
    bool crashLoopDisproved = false;  ///< a task has since outlasted the failed ones
};

/// A job with an active record.
struct Job {
    // Durable.
    JobSpec spec;
    PartitionId partition = 0;  ///< its leader is responsible for the job until it ends
    bool cancelled = false;
    WallTime submitted;
    std::uint32_t sliceSize = 1;
    std::uint64_t version = 0;
    /// By index. The initial slices, which follow from `sliceSize`, come before those added by
    /// division. A slice without tasks is a placeholder for a record that has not been read yet.
    std::deque<Slice> slices;

    // Not durable.
    bool completing = false;    ///< the transaction that ends the job has no outcome yet
    SteadyTime backoffUntil{};  ///< no placement before this time
    FailureHistory failures;
    bool countedInClass = false;           ///< already counted in the demand of its class
    SteadyTime preemptionReservedUntil{};  ///< preempted capacity is reserved for it until then
    std::string assemblyZone;  ///< where a gang that needs a single zone assembles machines
    SteadyTime assemblySince{};

    // Computed by `DependencyGraph` from the records alone, so that all nodes get the same values
    // (except that a cancellation may be known only from a peer).
    bool knownCancelled = false;         ///< cancelled by its record or as reported by a peer
    bool blockedOnDependencies = false;  ///< a dependency is not known to be done
    bool dependencyCancelled = false;    ///< a direct or transitive dependency is cancelled
    WallTime readySince;                 ///< end of its last dependency, or its submission if later
    /// The highest priority of the job itself and of its dependents.
    protocol::Priority priority = protocol::Priority::normal;
    std::optional<WallTime> latestEnd;  ///< leaves time for all dependents before their deadlines

    /// Whether each task is done. A task covered by two slices counts once.
    [[nodiscard]] bool complete() const;
    [[nodiscard]] bool hasAllocations() const;
    [[nodiscard]] std::uint32_t doneTasks() const;
    [[nodiscard]] std::uint32_t allocatedTasks() const;
    [[nodiscard]] Slice* sliceOf(std::uint32_t task);
    /// Whether the job itself seems to be at fault: its tasks have failed on several machines and
    /// none has ever completed. Such a job is probed from time to time with one task; apart from
    /// that it gets and requests no capacity.
    [[nodiscard]] bool crashLooping() const;
    /// Whether a task of the job has failed on the machine so recently that the job avoids it.
    [[nodiscard]] bool avoids(const std::string& machine, SteadyTime now) const;
    /// The tasks of the slice with this index before any division; none for a slice that was added
    /// by division.
    [[nodiscard]] std::optional<TaskRange> initialRange(std::uint32_t index) const;
    /// Returns the slice with this index. Missing slices up to the index are added without tasks.
    Slice& ensureSlice(std::uint32_t index);
    /// Whether all tasks must have the same leader, as in gangs and in jobs that constrain how
    /// tasks are distributed over zones.
    [[nodiscard]] bool requiresSingleLeader() const;
};

/// Creates the slices of a job before any division, without records.
[[nodiscard]] std::deque<Slice> makeSlices(const JobSpec& spec, std::uint32_t sliceSize,
                                           PartitionId partition);

/// Divides a slice before each task of `cuts` (ascending and within the slice). The first piece
/// keeps the slice's index and version; the others get indexes from `nextIndex` on and version 0.
[[nodiscard]] std::vector<Slice> cutSlice(const Slice& slice,
                                          const std::vector<std::uint32_t>& cuts,
                                          std::uint32_t nextIndex);

}  // namespace fawnwheel::storage
