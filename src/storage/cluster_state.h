/// @file
/// What this process knows of the cluster: the replica of the durable records, and beside it what
/// it has learnt from workers and the cloud about the machines of its partitions.
#pragma once

#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "storage/cancellation_log.h"
#include "storage/deleted_machines.h"
#include "storage/dependency_graph.h"
#include "storage/job.h"
#include "storage/machine.h"
#include "storage/partition.h"

namespace fawnwheel::storage {

/// An allocation with the job and slice it belongs to; empty if it has ended. Valid only while the
/// cluster state is locked and its jobs are not changed.
struct AllocationRef {
    Job* job = nullptr;
    Slice* slice = nullptr;
    Allocation* allocation = nullptr;
    explicit operator bool() const { return allocation != nullptr; }
};

/// A slice's record that has outlived its job's.
struct OrphanedRecord {
    std::string job;
    PartitionId partition = 0;
};

/// A machine's record that can't be read, or that names a partition that does not exist.
struct CorruptRecord {
    std::uint64_t version = 0;
    protocol::Json value;
};

/// The replica of the active records, with what this process has observed and decided beside them.
///
/// Records are applied by `applyEvent`; the members below are public, because every module of the
/// coordination layer reads them. What is indexed (allocations, machines by partition, the edges
/// between jobs) is changed through the functions alone.
class ClusterState {
  public:
    ClusterState() : dependencyGraph(jobs) {}
    ~ClusterState() = default;
    ClusterState(const ClusterState&) = delete;
    ClusterState& operator=(const ClusterState&) = delete;

    // Jobs.
    std::map<std::string, Job> jobs;
    DependencyGraph dependencyGraph;
    CancellationLog cancellations;
    /// Slice records of jobs that have no active record, by key: nothing refers to them any more.
    std::map<std::string, OrphanedRecord> orphanedRecords;

    // Machines.
    std::map<std::string, Machine> machines;
    /// By machine. The machines stay with the partition that had them until its leader has written
    /// the records again.
    std::map<std::string, CorruptRecord> corruptMachines;
    DeletedMachines
        deletedMachines;  ///< their records were deleted after proof; names never return
    std::vector<protocol::MachineType> catalog;  ///< as last recorded
    std::uint64_t catalogVersion = 0;

    // Partitions and nodes.
    std::map<PartitionId, Partition> partitions;
    std::uint32_t partitionCount = std::numeric_limits<std::uint32_t>::max();
    std::uint64_t lastTerm = 0;  ///< the latest term of any partition
    std::uint64_t termVersion = 0;
    std::map<std::string, std::uint64_t> nodes;  ///< alive, with the record's version
    /// Nodes that have run a version which knows divided slices and dependencies between jobs. A
    /// name never leaves this set: the version before must not come back.
    std::set<std::string> nodesWithJobDependencies;
    /// Nodes that have run a version which knows machines that are transferred with their tasks.
    std::set<std::string> nodesWithMachineTransfers;

    // Quotas, by team.
    std::map<std::string, std::map<PartitionId, QuotaShare>> quotas;  ///< then by partition
    std::map<std::string, std::uint64_t> quotaVersions;
    std::map<std::string, OutgoingQuota> outgoingQuotas;  ///< not durable

    // State of the replication.
    std::uint64_t appliedRevision = 0;  ///< every change up to this revision has been applied
    std::uint64_t generation = 0;       ///< how often the records have been read again

    /// Null if there is no active record of the job.
    [[nodiscard]] Job* job(const std::string& id);
    /// Null if the machine is not known.
    [[nodiscard]] Machine* machine(const std::string& id);
    /// Adds a job whose record was seen for the first time.
    void addJob(Job job);
    void removeJob(const std::string& id);
    /// Records a cancellation that is certain, and in the records at this revision
    /// (`CancellationLog::unknownRevision`: by a peer's word). False if it was known already.
    bool recordCancellation(const std::string& id, std::uint64_t revision);
    /// Whether its tasks may be started: the job waits for no other job, is not cancelled and has
    /// not ended.
    [[nodiscard]] bool startable(const Job& job) const {
        return !job.blockedOnDependencies && !job.dependencyCancelled && !job.completing &&
               !knownCancelled(job);
    }
    /// Whether its tasks may get allocations, and capacity may be requested for them.
    [[nodiscard]] bool schedulable(const Job& job) const {
        return startable(job) && !job.crashLooping();
    }
    /// Whether the job is cancelled as far as any node has told, be it recorded here or not: its
    /// tasks are stopped and none is started. What gets recorded rests on `Job::cancelled` alone.
    [[nodiscard]] bool knownCancelled(const Job& job) const {
        return job.cancelled || job.knownCancelled || cancellations.contains(job.spec.id);
    }

    /// In the order in which they came to the partition.
    [[nodiscard]] const std::vector<Machine*>& machinesOf(PartitionId partition) const;
    /// Adds the machine, or moves it to the partition if it is known.
    Machine& addMachine(const std::string& id, PartitionId partition);
    void removeMachine(const std::string& id);
    void assignPartition(Machine& machine, PartitionId partition);
    /// The partition whose slices have allocations on the machine, or none.
    [[nodiscard]] std::optional<std::uint32_t> partitionOfAllocationsOn(
        const std::string& machine) const;
    /// Indexes the allocations whose records came before the machine's.
    void indexAllocations(Machine& machine) const;
    /// Discards what this process knew of the tasks on the machine as a former leader: only
    /// heartbeats to the present leader tell.
    void resetTaskStates(const Machine& machine);
    /// Records that the machine has the image, or will have it soon.
    void addCachedImage(Machine& machine, const JobSpec& spec);

    /// Empty unless the task has an allocation with this attempt.
    [[nodiscard]] AllocationRef findAllocation(const TaskRef& ref);
    void addAllocation(Job& job, Slice& slice, Allocation allocation);
    void removeAllocation(Job& job, Slice& slice, std::uint32_t task);
    /// Replaces a slice's content by that of a record, keeping what is known of allocations that
    /// stay.
    void replaceSlice(Job& job, Slice& slice, SliceContent content);
    /// Replaces a slice by its pieces; each gets the place of its index.
    void divideSlice(Job& job, std::uint32_t index, const std::vector<Slice>& pieces);
    /// Whether a slice of the partition has changes that are not recorded.
    [[nodiscard]] bool hasUnrecordedChanges(PartitionId partition) const;
    /// Returns the partition's slices to what their records hold. What this process has concluded
    /// as the partition's leader without recording it is void once another node may have led it.
    void discardUnrecordedChanges(PartitionId partition);

    /// Drops all that replicates records, before they are read again.
    void clearRecords();
    /// To be called after the records were read again.
    void rebuildIndexes();

    /// How much of an image's demand a partition can serve from its machines' caches, 0 to 1: by
    /// the tasks with this image that had an allocation there.
    [[nodiscard]] double cachedFraction(const JobSpec& spec, PartitionId partition) const;
    /// Resources of all allocations of a team in a partition.
    [[nodiscard]] Resources usedBy(const std::string& team, PartitionId partition) const;

  private:
    /// Adds the allocation to its machine's index.
    void attach(const Job& job, const Allocation& allocation);
    /// Keeps what is known of allocations that the new content has too.
    void carryOverStates(const Job& job, const Slice& slice, SliceContent& content);
    /// Shortens other slices that still cover these tasks, so that they end before them.
    void shortenOthers(Job& job, const Slice& slice, const TaskRange& range);
    /// The range without the tasks that a piece divided off it holds.
    [[nodiscard]] static TaskRange withoutPieces(const Job& job, const Slice& slice,
                                                 TaskRange range);
    void detach(const Job& job, const Allocation& allocation);

    std::map<PartitionId, std::vector<Machine*>> byPartition_;
    std::map<std::string, std::map<std::uint32_t, std::uint32_t>> imageUse_;  // by partition
};

}  // namespace fawnwheel::storage
