/// @file
/// The cluster state of this process: a replica of the durable records, and observations of the
/// machines of its partitions from workers and the cloud.
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

/// An allocation with its job and slice; empty if there is no such allocation. Valid only while the
/// cluster state is locked and its jobs are not changed.
struct AllocationRef {
    Job* job = nullptr;
    Slice* slice = nullptr;
    Allocation* allocation = nullptr;
    explicit operator bool() const { return allocation != nullptr; }
};

/// A slice's record whose job has no active record.
struct OrphanedRecord {
    std::string job;
    PartitionId partition = 0;
};

/// A machine's record that is malformed or names a partition that does not exist.
struct CorruptRecord {
    std::uint64_t version = 0;
    protocol::Json value;
};

/// The replica of the active records, with the observations and decisions of this process.
///
/// `applyEvent` applies records. The members below are public because every module of the
/// coordination layer reads them. Indexed data (allocations, machines by partition, dependencies
/// between jobs) must be changed only through the member functions.
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
    /// Slice records of jobs that have no active record, by key. Nothing refers to these records.
    std::map<std::string, OrphanedRecord> orphanedRecords;

    // Machines.
    std::map<std::string, Machine> machines;
    /// By machine. A machine with a corrupt record keeps its partition until the partition's leader
    /// has overwritten the record.
    std::map<std::string, CorruptRecord> corruptMachines;
    DeletedMachines deletedMachines;  ///< records deleted after proof; names are never reused
    std::vector<protocol::MachineType> catalog;  ///< as in its latest record
    std::uint64_t catalogVersion = 0;

    // Partitions and nodes.
    std::map<PartitionId, Partition> partitions;
    std::uint32_t partitionCount = std::numeric_limits<std::uint32_t>::max();
    std::uint64_t lastTerm = 0;  ///< the latest term of any partition
    std::uint64_t termVersion = 0;
    std::map<std::string, std::uint64_t> nodes;  ///< live nodes, with the versions of their records
    /// Nodes that have run a version that supports divided slices and dependencies between jobs.
    /// Names are never removed, because a node must not be downgraded to an earlier version.
    std::set<std::string> nodesWithJobDependencies;
    /// Nodes that have run a version that supports transferring machines together with their tasks.
    std::set<std::string> nodesWithMachineTransfers;

    // Quotas, by team.
    std::map<std::string, std::map<PartitionId, QuotaShare>> quotas;  ///< then by partition
    std::map<std::string, std::uint64_t> quotaVersions;
    std::map<std::string, OutgoingQuota> outgoingQuotas;  ///< not durable

    // State of the replication.
    std::uint64_t appliedRevision = 0;  ///< every change up to this revision has been applied
    std::uint64_t newestRevision = 0;   ///< newest revision of any record that has been applied
    std::uint64_t generation = 0;  ///< number of times the records were cleared to be read again

    /// Null if there is no active record of the job.
    [[nodiscard]] Job* job(const std::string& id);
    /// Null if there is no such machine.
    [[nodiscard]] Machine* machine(const std::string& id);
    /// Adds a job whose active record was read for the first time.
    void addJob(Job job);
    void removeJob(const std::string& id);
    /// Adds a confirmed cancellation to the log, with the revision at which the state service holds
    /// it (`CancellationLog::unknownRevision` if a peer reported it). Returns false if the log
    /// already contains it.
    bool recordCancellation(const std::string& id, std::uint64_t revision);
    /// Whether the job's tasks may be started: the job is not blocked on dependencies, not
    /// cancelled and not completing.
    [[nodiscard]] bool startable(const Job& job) const {
        return !job.blockedOnDependencies && !job.dependencyCancelled && !job.completing &&
               !knownCancelled(job);
    }
    /// Whether the job's tasks may get allocations, and capacity may be requested for them.
    [[nodiscard]] bool schedulable(const Job& job) const {
        return startable(job) && !job.crashLooping();
    }
    /// Whether the job is cancelled by its record or by a report of any node. Tasks of such a job
    /// are stopped and none is started. Decisions that are recorded use only `Job::cancelled`.
    [[nodiscard]] bool knownCancelled(const Job& job) const {
        return job.cancelled || job.knownCancelled || cancellations.contains(job.spec.id);
    }

    /// Whether the record of any partition names the node as its leader.
    [[nodiscard]] bool leadsAnyPartition(const std::string& node) const;

    /// The partition's machines, in the order in which they were added to it.
    [[nodiscard]] const std::vector<Machine*>& machinesOf(PartitionId partition) const;
    /// Adds the machine, or moves it to the partition if the machine exists.
    Machine& addMachine(const std::string& id, PartitionId partition);
    void removeMachine(const std::string& id);
    void assignPartition(Machine& machine, PartitionId partition);
    /// The partition of a slice that has an allocation on the machine; none if there is no
    /// allocation.
    [[nodiscard]] std::optional<std::uint32_t> partitionOfAllocationsOn(
        const std::string& machine) const;
    /// Indexes allocations on the machine whose records were read before the machine's record.
    void indexAllocations(Machine& machine) const;
    /// Resets the task states that former leaders of the machine received in heartbeats: only
    /// heartbeats to the present leader count.
    void resetTaskStates(const Machine& machine);
    /// Adds the job's image to the machine's cached images: the machine has it, or will fetch it
    /// for a task.
    void addCachedImage(Machine& machine, const JobSpec& spec);

    /// Empty unless the task has an allocation with this attempt.
    [[nodiscard]] AllocationRef findAllocation(const TaskRef& ref);
    void addAllocation(Job& job, Slice& slice, Allocation allocation);
    void removeAllocation(Job& job, Slice& slice, std::uint32_t task);
    /// Replaces a slice's content by that of a record. Allocations in both keep their states.
    void replaceSlice(Job& job, Slice& slice, SliceContent content);
    /// Replaces the slice with this index by its pieces, each stored at its own index.
    void divideSlice(Job& job, std::uint32_t index, const std::vector<Slice>& pieces);
    /// Whether a slice of the partition has changes that its record lacks.
    [[nodiscard]] bool hasUnrecordedChanges(PartitionId partition) const;
    /// Resets the partition's slices to the content of their records. Changes that this process
    /// made as the partition's leader without recording them are invalid as soon as another node
    /// may have led the partition.
    void discardUnrecordedChanges(PartitionId partition);
    /// The same for one slice.
    void discardUnrecordedChanges(Job& job, Slice& slice);

    /// Clears the replicated records before they are read again.
    void clearRecords();
    /// Must be called after the records were read again.
    void rebuildIndexes();

    /// Estimates the fraction (0 to 1) of the job's tasks for which the partition's machines have
    /// the image cached: the number of allocations with this image that were made there, divided
    /// by the number of tasks.
    [[nodiscard]] double cachedFraction(const JobSpec& spec, PartitionId partition) const;
    /// The resources of all allocations of a team in a partition.
    [[nodiscard]] Resources usedBy(const std::string& team, PartitionId partition) const;

  private:
    /// Adds the allocation to its machine's index, unless the machine is unknown.
    void indexAllocation(const Job& job, const Allocation& allocation);
    /// Copies the states of allocations that the new content shares with the slice.
    void keepAllocationStates(const Job& job, const Slice& slice, SliceContent& content);
    /// Truncates other slices that begin before the range and overlap it, so that they end before
    /// it.
    void truncateOverlappingSlices(Job& job, const Slice& slice, const TaskRange& range);
    /// The range without the tasks of pieces that were divided off the slice.
    [[nodiscard]] static TaskRange excludeDividedPieces(const Job& job, const Slice& slice,
                                                        TaskRange range);
    void unindexAllocation(const Job& job, const Allocation& allocation);

    std::map<PartitionId, std::vector<Machine*>> machinesByPartition_;
    /// Number of allocations made, by image and then by partition.
    std::map<std::string, std::map<std::uint32_t, std::uint32_t>> allocationsByImage_;
};

}  // namespace fawnwheel::storage
