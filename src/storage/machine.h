/// @file
/// A machine: its durable record, and the observations of its partition's leader.
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

/// Identifies one attempt at a task.
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

/// The durable state of a machine: the content of its record in the state service.
struct MachineRecord {
    std::string id;
    std::string type;
    std::string zone;
    bool spot = false;
    PartitionId partition = 0;
    std::optional<std::uint32_t> lender;  ///< partition that has lent the machine to `partition`
    std::uint64_t minFencingToken = 0;    ///< its worker may have accepted this token from a lender
    std::string transferredBy;            ///< node that last transferred it together with its tasks
    bool decommissioned = false;  ///< a release was or will be sent: no work is placed on it again
    std::uint64_t version = 0;    ///< 0: no record yet, so that no work is placed

    /// Whether the state service holds a record of the machine. Without one, two nodes may hold the
    /// machine in partitions that they lead.
    [[nodiscard]] bool recorded() const { return version != 0; }
};

/// Observations of a machine from heartbeats and the cloud's lists, and decisions of this process
/// about it. None of them is durable: another node that acquires the partition starts without them.
struct MachineObservations {
    // The agent on the machine and its lease.
    std::string address;
    std::uint64_t agentEpoch = 0;
    std::uint64_t sequence = 0;           ///< sequence number of the last heartbeat in this epoch
    std::uint64_t expiredAgentEpoch = 0;  ///< the lease of this epoch has certainly expired
    SteadyTime heartbeatRequestedAt{};    ///< when a heartbeat was last requested
    std::optional<SteadyTime> lastHeartbeat;  ///< last fresh one received by this process as leader
    SteadyTime lastPossibleRenewal{};         ///< the lease can't have been renewed later
    SteadyTime ignoreHeartbeatsUntil{};  ///< not answered until then, so that the lease expires

    // Fencing. A response that was sent may be lost: only a heartbeat with the expected token
    // proves that the worker has received a response of this leader. No work is placed on the
    // machine before that.
    std::uint64_t firstFencingToken = 0;  ///< first token of this leader: a worker that has
                                          ///< accepted it ignores earlier leaders
    std::uint64_t fencingToken = 0;       ///< token of the responses; grows within a term
    std::uint64_t expectedToken = 0;
    std::uint64_t acknowledgedToken = 0;
    SteadyTime unacknowledgedSince{};
    /// Consecutive answered heartbeats that did not show the expected token; those that followed
    /// one another sooner than a worker's own do count as one.
    int unacknowledgedResponses = 0;
    SteadyTime lastUnacknowledgedResponse{};  ///< the last one that was counted

    // The machine's life cycle in the cloud.
    SteadyTime knownSince{};  ///< when this process first knew of it in this partition
    SteadyTime idleSince{};
    std::optional<SteadyTime> interruptionAt;  ///< when the cloud reclaims the machine
    std::optional<SteadyTime> lastListed;      ///< when a list with the machine was last received
    bool listedAsFailed = false;

    // Transfers to another partition.
    bool transferring = false;  ///< a transaction that changes the record's partition is in flight
    /// The partition that the machine's record already names while this process's own transaction
    /// on the record has no outcome yet.
    std::optional<std::uint32_t> departedTo;
    /// Whether the node that transferred the machine here is known not to renew its lease any more.
    bool transferConfirmed = false;

    // Scheduling.
    SteadyTime unschedulableUntil{};  ///< no placement before this time
    bool consolidating = false;       ///< being drained to consolidate work; released when empty
    std::string reservedFor;  ///< job with reserved capacity: tasks were preempted for it, or it
                              ///< is a gang
    std::uint32_t reservedTasks = 0;
    Resources reservedCapacity;
    SteadyTime reservedUntil{};
    std::size_t exitedTasks = 0;       ///< number of exited tasks in its last heartbeat
    std::set<std::string> failedJobs;  ///< jobs with failures here since a task last completed
    std::deque<CachedImage> images;    ///< most recently used first
    std::vector<TaskRef> allocations;  ///< index of the allocations on this machine
    Resources used;                    ///< sum over these allocations

    /// Whether the worker has confirmed the expected token by a heartbeat.
    [[nodiscard]] bool acknowledged() const { return acknowledgedToken >= expectedToken; }
};

/// A machine's durable state together with this process's observations.
struct Machine : MachineRecord, MachineObservations {
    /// Replaces the durable state and keeps the observations.
    void setRecord(MachineRecord record) { static_cast<MachineRecord&>(*this) = std::move(record); }
};

}  // namespace fawnwheel::storage
