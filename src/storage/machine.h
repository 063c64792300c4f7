/// @file
/// A machine: its durable record, and what its partition's leader has observed of it.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/messages.h"
#include "storage/job.h"
#include "storage/partition.h"

namespace fawnwheel::storage {

/// Names one attempt at a task.
struct TaskRef {
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    bool operator==(const TaskRef&) const = default;
};

/// A container image in a machine's cache.
struct CachedImage {
    std::string name;
    double size = 0;  ///< GB
};

/// The durable state of a machine: what its record in the state service holds.
struct MachineRecord {
    std::string id;
    std::string type;
    std::string zone;
    bool spot = false;
    PartitionId partition = 0;
    std::optional<std::uint32_t> lender;  ///< partition that has lent it to `partition`
    std::uint64_t minFencingToken = 0;    ///< its worker may have seen this token from a lender
    std::string transferredBy;    ///< node that last gave it to another partition with its tasks
    bool decommissioned = false;  ///< a release was or will be sent: never gets work again
    std::uint64_t version = 0;    ///< 0: no record yet, and so no work
};

/// What this process has learnt of a machine from heartbeats and lists, and has decided about it.
/// None of it is durable: another node that acquires the partition knows none of it.
struct MachineObservations {
    // The agent on the machine and its lease.
    std::string address;
    std::uint64_t agentEpoch = 0;
    std::uint64_t sequence = 0;               ///< of the last heartbeat in this epoch
    std::uint64_t expiredAgentEpoch = 0;      ///< its lease has surely run out
    SteadyTime heartbeatRequestedAt{};        ///< when its worker was last made to heartbeat
    std::optional<SteadyTime> lastHeartbeat;  ///< last newer one, by this process as its leader
    SteadyTime lastPossibleRenewal{};         ///< leases can't have been renewed after this
    SteadyTime ignoreHeartbeatsUntil{};       ///< not answered, so that its lease runs out

    // Fencing. An answer sent is no answer received: only a heartbeat that shows the expected token
    // proves that the worker has received this leader's answer. Until then the machine gets no
    // work.
    std::uint64_t firstFencingToken = 0;  ///< of this leader: a worker that has seen it ignores
                                          ///< earlier leaders
    std::uint64_t fencingToken = 0;       ///< what it is answered with; grows within a term
    std::uint64_t expectedToken = 0;
    std::uint64_t acknowledgedToken = 0;
    SteadyTime unacknowledgedSince{};
    int unacknowledgedResponses =
        0;  ///< answered heartbeats in a row that don't show the expected token

    // The machine's life in the cloud.
    SteadyTime knownSince{};  ///< when this process first knew of it
    SteadyTime idleSince{};
    std::optional<SteadyTime> interruptionAt;  ///< the cloud reclaims it then
    std::optional<SteadyTime> lastListed;      ///< when the last list that shows it was received
    bool listedAsFailed = false;

    // Moves to another partition.
    bool transferring = false;  ///< its record is being changed to another partition
    /// Its record already names this partition, although this process's own transaction on it has
    /// no outcome yet.
    std::optional<std::uint32_t> departedTo;

    // Scheduling.
    SteadyTime unschedulableUntil{};  ///< no new work before
    bool consolidating = false;       ///< its tasks move together with others, then it is released
    std::string reservedFor;  ///< job that capacity is reserved for: others were stopped, or it
                              ///< is a gang
    std::uint32_t reservedTasks = 0;
    Resources reservedCapacity;
    SteadyTime reservedUntil{};
    std::size_t exitedTasks = 0;       ///< tasks in its last heartbeat that have ended
    std::set<std::string> failedJobs;  ///< whose tasks have failed here since one was done
    std::deque<CachedImage> images;    ///< most recently used first
    std::vector<TaskRef> allocations;  ///< index of the slices' allocations on it
    Resources used;                    ///< by these allocations

    /// Whether its worker has received an answer of the present leader.
    [[nodiscard]] bool acknowledged() const { return acknowledgedToken >= expectedToken; }
};

/// A machine as this process knows it.
struct Machine : MachineRecord, MachineObservations {
    /// Replaces the durable state and keeps the observations.
    void setRecord(MachineRecord record) { static_cast<MachineRecord&>(*this) = std::move(record); }
};

}  // namespace fawnwheel::storage
