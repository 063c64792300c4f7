#include "coordination/migration/misplaced_tasks.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

// Longer than a replica needs to apply the records of one transaction.
constexpr auto checkInterval = 10s;
// Each range divides its slice, and a transaction holds only few records.
constexpr std::size_t maxRangesPerTransaction = 2;

}  // namespace

std::optional<PartitionId> MisplacedTasks::otherPartitionOf(ClusterState& clusterState,
                                                            const Slice& slice,
                                                            const Allocation& allocation) {
    const Machine* machine = clusterState.machine(allocation.machine);
    if (!allocation.durable || machine == nullptr || !machine->recorded() ||
        machine->partition == slice.partition)
        return std::nullopt;
    return machine->partition;
}

std::optional<MisplacedTasks::Relocation> MisplacedTasks::planWholeJob(ClusterState& clusterState,
                                                                       const Job& job,
                                                                       PartitionId partition) {
    std::optional<Relocation> relocation;
    for (const auto& slice : job.slices) {
        if (slice.partition != partition) return std::nullopt;
        for (const auto& allocation : slice.allocations) {
            const auto other = otherPartitionOf(clusterState, slice, allocation);
            if (!other || (relocation && relocation->target != *other)) return std::nullopt;
            if (!relocation) relocation.emplace().target = *other;
            relocation->handover.used[job.spec.team] += job.spec.taskResources;
        }
    }
    if (!relocation) return std::nullopt;
    for (const auto& slice : job.slices)
        relocation->handover.slices.push_back({job.spec.id, slice.index, {slice.range()}});
    if (job.partition == partition) relocation->handover.jobs = {job.spec.id};
    return relocation;
}

void MisplacedTasks::addTasks(ClusterState& clusterState, const Job& job, const Slice& slice,
                              Relocation& relocation) {
    std::vector<std::uint32_t> tasks;
    for (const auto& allocation : slice.allocations)
        if (otherPartitionOf(clusterState, slice, allocation) == relocation.target)
            tasks.push_back(allocation.task);
    std::sort(tasks.begin(), tasks.end());
    std::vector<storage::TaskRange> ranges;
    for (const auto task : tasks) {
        if (!ranges.empty() && ranges.back().end() == task) {
            ++ranges.back().count;
        } else if (ranges.size() < maxRangesPerTransaction) {
            ranges.push_back({task, 1});
        } else {
            break;
        }
        relocation.handover.used[job.spec.team] += job.spec.taskResources;
    }
    relocation.handover.slices.push_back({job.spec.id, slice.index, std::move(ranges)});
}

std::optional<MisplacedTasks::Relocation> MisplacedTasks::planRelocation(ClusterState& clusterState,
                                                                         const Job& job,
                                                                         PartitionId partition) {
    for (const auto& slice : job.slices) {
        if (slice.partition != partition) continue;
        for (const auto& allocation : slice.allocations) {
            const auto target = otherPartitionOf(clusterState, slice, allocation);
            if (!target) continue;
            if (job.requiresSingleLeader()) return planWholeJob(clusterState, job, partition);
            Relocation relocation{*target, {}};
            addTasks(clusterState, job, slice, relocation);
            return relocation;
        }
    }
    return std::nullopt;
}

void MisplacedTasks::transferToMachines(PartitionId partition) {
    auto& checks = checks_[partition];
    if (!membership_.isLeaseValid() || context_.now() - checks.last < checkInterval) return;
    // Decisions that are not recorded yet may change the same slices.
    if (pipeline_.busy(partition)) return;
    checks.last = context_.now();
    std::set<std::string> misplacedJobs;
    std::optional<std::pair<std::string, Relocation>> first;
    {
        auto clusterState = context_.clusterState.lock();
        if (!context_.machineTransfersEnabled(*clusterState)) return;
        for (const auto& [id, job] : clusterState->jobs) {
            auto relocation = planRelocation(*clusterState, job, partition);
            if (!relocation) continue;
            misplacedJobs.insert(id);
            if (!first && !job.completing && checks.misplacedJobs.contains(id))
                first.emplace(id, std::move(*relocation));
        }
    }
    checks.misplacedJobs = std::move(misplacedJobs);
    if (first) transfer(partition, first->first, first->second);
}

void MisplacedTasks::transfer(PartitionId partition, const std::string& job,
                              const Relocation& relocation) {
    const auto refusal = transfers_.transferWithWork(
        partition, relocation.target, relocation.handover,
        [job, partition, target = relocation.target](bool transferred) {
            spdlog::info("misplaced_tasks: transferred job={} from={} to={} committed={}", job,
                         partition, target, transferred);
        });
    if (refusal)
        spdlog::info("misplaced_tasks: refused job={} reason=\"{}\"", job,
                     rebalancing::toString(*refusal));
}

}  // namespace fawnwheel::coordination
