// What this process knows of the cluster: the replica of the durable records, and beside it what
// it has learnt from workers and the cloud about machines it owns.
#pragma once

#include <deque>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "storage/cancellation_log.h"
#include "storage/dependency_graph.h"
#include "storage/job.h"

namespace fawnwheel::storage {

struct TaskRef {
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    bool operator==(const TaskRef&) const = default;
};

struct CachedImage {
    std::string name;
    double size = 0;  // GB
};

struct Machine {
    std::string id;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint32_t partition = 0;
    std::optional<std::uint32_t> lender;  // partition that has lent it to `partition`
    std::uint64_t minFencingToken = 0;    // its worker may have seen this token from a lender
    std::string transferredBy;    // node that last gave it to another partition with its tasks
    bool decommissioned = false;  // a release was or will be sent: never gets work again
    std::uint64_t version = 0;    // 0: no record yet, and so no work

    // Not durable: learnt from heartbeats and lists.
    std::string address;
    std::uint64_t agentEpoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t expiredAgentEpoch = 0;  // its lease has surely run out
    std::uint64_t firstFencingToken =
        0;                           // of ours as its leader: who has seen it heeds no older leader
    std::uint64_t fencingToken = 0;  // what it is answered with; grows within a term
    SteadyTime heartbeatRequested{};  // when its worker was last made to heartbeat
    // An answer sent is no answer received: a heartbeat that shows the expected token proves that
    // the worker heard us. Until then the machine gets no work.
    std::uint64_t expectedToken = 0;
    std::uint64_t acknowledgedToken = 0;
    SteadyTime unacknowledgedSince{};
    int unacknowledged = 0;        // answered heartbeats in a row that don't show it
    SteadyTime unansweredUntil{};  // not answered, so that its lease runs out

    std::optional<SteadyTime> lastHeartbeat;  // last newer heartbeat, by this process as its leader
    SteadyTime silentSince{};                 // leases can't have been renewed after this
    SteadyTime known{};                       // when this process first knew of it
    SteadyTime idleSince{};
    SteadyTime notBefore{};                    // no new work before
    std::optional<SteadyTime> interruptionAt;  // the cloud takes it then
    std::optional<SteadyTime> listed;          // seen in a list, at its receipt
    bool failedInList = false;
    bool transferring = false;  // its record is being changed to another partition
    // Its record already names another partition, although our own transaction has no outcome yet.
    std::optional<std::uint32_t> departedTo;
    bool consolidating = false;  // its tasks move together with others, then it is given back
    std::string reservedFor;     // job that room is kept for: others were stopped, or it is a gang
    std::uint32_t reservedTasks = 0;
    Resources reservedCapacity;
    SteadyTime reservedUntil{};
    std::size_t exited = 0;            // tasks in its last heartbeat that have ended
    std::set<std::string> failedJobs;  // whose tasks have failed here since one was done
    std::deque<CachedImage> images;    // most recently used first
    std::vector<TaskRef> allocations;
    Resources used;

    [[nodiscard]] bool acknowledged() const { return acknowledgedToken >= expectedToken; }
};

struct Partition {
    std::string leader;
    std::uint64_t term = 0;
    std::uint64_t version = 0;
};

// Limits over all: a partition's share of each team's limit.
struct QuotaShare {
    double cpus = 0;
    double gpus = 0;
};

// An allocation with what it belongs to; empty if it has ended.
struct AllocationRef {
    Job* job = nullptr;
    Slice* slice = nullptr;
    Allocation* allocation = nullptr;
    explicit operator bool() const { return allocation != nullptr; }
};

// A slice's record that has outlived its job's.
struct OrphanedRecord {
    std::string job;
    std::uint32_t partition = 0;
};

// A machine's record that can't be read, or that names a partition that does not exist.
struct CorruptRecord {
    std::uint64_t version = 0;
    protocol::Json value;
};

// Names of machines that are gone, as many as a lagging list may still show: at least as many as
// there were at the same time.
class GoneMachines {
  public:
    void insert(const std::string& id);
    // So many machines are known.
    void recordCount(std::size_t machines) { mostMachines_ = std::max(mostMachines_, machines); }
    [[nodiscard]] bool contains(const std::string& id) const { return known_.contains(id); }

  private:
    static constexpr std::size_t leastKept = 4000;

    std::size_t mostMachines_ = 0;
    std::deque<std::string> order_;
    std::unordered_set<std::string> known_;
};

class ClusterState {
  public:
    ClusterState() : dependencyGraph(jobs) {}
    ClusterState(const ClusterState&) = delete;
    ClusterState& operator=(const ClusterState&) = delete;

    std::map<std::string, Job> jobs;
    DependencyGraph dependencyGraph;
    std::map<std::string, Machine> machines;
    std::map<std::uint32_t, Partition> partitions;
    std::map<std::string, std::uint64_t> nodes;  // alive, with the record's version
    // Nodes that have run a version which knows divided slices and dependencies between jobs. A
    // name never leaves this set: the version before must not come back.
    std::set<std::string> nodesWithJobDependencies;
    // Nodes that have run a version which knows machines that change hands with their tasks.
    std::set<std::string> nodesWithMachineTransfers;
    std::uint32_t partitionCount = std::numeric_limits<std::uint32_t>::max();
    // Their machines stay with the partition that had them until its leader has written them anew.
    std::map<std::string, CorruptRecord> corruptMachines;
    std::uint64_t lastTerm = 0;
    std::uint64_t termVersion = 0;
    // team -> partition -> share
    std::map<std::string, std::map<std::uint32_t, QuotaShare>> quotas;
    std::map<std::string, std::uint64_t> quotaVersions;
    // Not durable: team -> what is being given away by a partition of ours.
    std::map<std::string, std::pair<std::uint32_t, QuotaShare>> outgoingQuotas;
    std::vector<protocol::MachineType> catalog;  // as last recorded
    std::uint64_t catalogVersion = 0;
    CancellationLog cancellations;
    GoneMachines goneMachines;     // their records went after proof; names never return
    std::uint64_t applied = 0;     // every change up to this revision is in here
    std::uint64_t generation = 0;  // how often the records have been read anew
    // Slice records of jobs that have no active record: nobody needs them any more.
    std::map<std::string, OrphanedRecord> orphanedRecords;  // by key

    [[nodiscard]] Job* job(const std::string& id);
    [[nodiscard]] Machine* machine(const std::string& id);
    // A job's record was seen for the first time.
    void addJob(Job job);
    // Cancelled for certain; in the records at this revision.
    bool recordCancellation(const std::string& id, std::uint64_t revision);
    // Its tasks may be started: it waits for no other job, is not cancelled and has not ended.
    [[nodiscard]] bool startable(const Job& job) const {
        return !job.waiting && !job.dependencyCancelled && !job.completing && !knownCancelled(job);
    }
    // Its tasks may have places, and what it lacks may be asked for.
    [[nodiscard]] bool schedulable(const Job& job) const {
        return startable(job) && !job.crashLooping();
    }
    // Cancelled as far as anybody has told us, be it recorded here or not: its tasks are stopped
    // and none is started. What is recorded rests on `Job::cancelled` alone.
    [[nodiscard]] bool knownCancelled(const Job& job) const {
        return job.cancelled || job.knownCancelled || cancellations.contains(job.spec.id);
    }
    [[nodiscard]] const std::vector<Machine*>& machinesOf(std::uint32_t partition) const;
    Machine& addMachine(const std::string& id, std::uint32_t partition);
    void assignPartition(Machine& machine, std::uint32_t partition);
    // The partition whose slices have allocations on the machine; none: no allocation names it.
    [[nodiscard]] std::optional<std::uint32_t> partitionOfAllocationsOn(
        const std::string& machine) const;
    // A allocation's record may have come before its machine's.
    void attachAllocations(Machine& machine) const;
    // What this process knew of the tasks on the machine as a leader is void: only heartbeats to
    // its present leader tell.
    void forgetTaskStates(const Machine& machine);
    [[nodiscard]] AllocationRef findAllocation(const TaskRef& ref);

    // The machine has the image, or will have it soon.
    void recordImage(Machine& machine, const JobSpec& spec);
    void addAllocation(Job& job, Slice& slice, Allocation allocation);
    void removeAllocation(Job& job, Slice& slice, std::uint32_t task);
    void dropJob(const std::string& id);
    void dropMachine(const std::string& id);
    // Replaces a slice's content by that of a record, keeping what is known of allocations that
    // stay.
    void replaceSlice(Job& job, Slice& slice, SliceContent content);
    // Whether a slice of the partition has changes that are not recorded.
    [[nodiscard]] bool hasUnrecorded(std::uint32_t partition) const;
    // The partition's slices become what their records hold. What this process has concluded as the
    // partition's leader without recording it is void once another may have owned the partition.
    void discardUnrecorded(std::uint32_t partition);
    // The slice becomes these pieces; the first takes its place, the others those of their index.
    void divideSlice(Job& job, std::uint32_t index, const std::vector<Slice>& pieces);
    // All that replicates records is dropped, before they are read anew.
    void clearRecords();
    // After the records were read anew.
    void rebuildIndexes();

    // How much of an image's demand a partition can serve from its machines' caches, 0 to 1: by the
    // tasks with this image that had a place there.
    [[nodiscard]] double cachedFraction(const JobSpec& spec, std::uint32_t partition) const;

    [[nodiscard]] Resources usedBy(const std::string& team, std::uint32_t partition) const;

  private:
    void attach(const Job& job, const Allocation& allocation);
    // Other slices that still cover these tasks end before them.
    void shortenOthers(Job& job, const Slice& slice, const TaskRange& range);
    // The range without the tasks that a piece divided off it holds.
    [[nodiscard]] static TaskRange withoutPieces(const Job& job, const Slice& slice,
                                                 TaskRange range);
    void detach(const Job& job, const Allocation& allocation);

    std::map<std::uint32_t, std::vector<Machine*>> byPartition_;
    std::map<std::string, std::map<std::uint32_t, std::uint32_t>> imageUse_;  // by partition
};

}  // namespace fawnwheel::storage
