#include "rebalancing/handover.h"

#include <algorithm>
#include <roaring/roaring.hh>
#include <set>

namespace fawnwheel::rebalancing {

namespace {

using protocol::TaskState;
using storage::Allocation;
using storage::ClusterState;
using storage::Job;
using storage::Machine;
using storage::Slice;
using storage::TaskRange;

std::optional<Refusal> refusalOf(const ClusterState& clusterState, const Machine& machine,
                                 const HandoverRules& rules) {
    if (machine.partition != rules.partition) return Refusal::notOurs;
    if (!machine.recorded()) return Refusal::notRecorded;
    if (machine.decommissioned || machine.consolidating || machine.interruptionAt ||
        machine.unschedulableUntil > rules.now)
        return Refusal::draining;
    if (machine.transferring || machine.departedTo) return Refusal::transferring;
    if (machine.lender) return Refusal::onLoan;
    if (isReservedForOtherWork(clusterState, machine, rules.recipient, rules.now))
        return Refusal::reserved;
    if (!machine.acknowledged() || !machine.lastHeartbeat ||
        rules.now - *machine.lastHeartbeat > rules.maxHeartbeatAge)
        return Refusal::silent;
    if (rules.now - machine.knownSince < rules.minTenure) return Refusal::belowMinTenure;
    return std::nullopt;
}

std::optional<Refusal> refusalOf(const ClusterState& clusterState, const Job& job) {
    if (job.completing || clusterState.knownCancelled(job)) return Refusal::jobEnding;
    if (std::any_of(job.slices.begin(), job.slices.end(),
                    [](const Slice& slice) { return slice.migrating.has_value(); }))
        return Refusal::jobMigrating;
    return std::nullopt;
}

std::optional<Refusal> refusalOf(const Job& job, const Allocation& allocation) {
    if (!allocation.durable) return Refusal::recordPending;
    if (allocation.stopGrace || allocation.startCancelled || allocation.state == TaskState::saving)
        return Refusal::taskStopping;
    // Only some of the gang's start commands may have been sent: its machines stay until the gang
    // runs or its start is abandoned.
    if (job.spec.kind == protocol::JobKind::gang &&
        (!allocation.reported || allocation.state != TaskState::running))
        return Refusal::gangStarting;
    return std::nullopt;
}

// Ranges of tasks on the transferred machines; done tasks between two of them don't split a range.
std::vector<TaskRange> rangesOf(const Roaring& transferredTasks, const Roaring& done) {
    std::vector<TaskRange> ranges;
    for (const std::uint32_t task : transferredTasks) {
        if (!ranges.empty()) {
            const auto end = ranges.back().end();
            const auto doneBetween = done.rank(task) - done.rank(end - 1);
            if (doneBetween == task - end) {
                ranges.back().count = task + 1 - ranges.back().first;
                continue;
            }
        }
        ranges.push_back({task, 1});
    }
    return ranges;
}

std::size_t countPieces(const Slice& slice, const std::vector<TaskRange>& ranges) {
    std::set<std::uint32_t> cuts;
    for (const auto& range : ranges) {
        cuts.insert(range.first);
        cuts.insert(range.end());
    }
    cuts.erase(slice.first);
    cuts.erase(slice.range().end());
    return cuts.size() + 1;
}

// Transitive closure of the machines and jobs that have to be transferred together.
class Closure {
  public:
    Closure(ClusterState& clusterState, const HandoverRules& rules)
        : clusterState_(clusterState), rules_(rules) {}

    HandoverPlan planFrom(const std::string& machine) {
        addMachine(machine);
        while (!refusal_ && !unvisited_.empty()) {
            const auto next = unvisited_.back();
            unvisited_.pop_back();
            visit(next);
        }
        if (!refusal_) collect();
        if (refusal_) return *refusal_;
        return std::move(plan_);
    }

  private:
    void addMachine(const std::string& id) {
        if (!machines_.insert(id).second) return;
        unvisited_.push_back(id);
        // Each machine needs a write of its own, so no transaction can hold more machines.
        if (machines_.size() > rules_.maxWrites) refusal_ = Refusal::tooLarge;
    }

    void visit(const std::string& id) {
        const Machine* machine = clusterState_.machine(id);
        refusal_ =
            machine == nullptr ? Refusal::notOurs : refusalOf(clusterState_, *machine, rules_);
        if (refusal_) return;
        if (!machine->allocations.empty() && !rules_.busyMachines) {
            refusal_ = Refusal::reserved;
            return;
        }
        for (const auto& ref : machine->allocations) {
            const auto [job, slice, allocation] = clusterState_.findAllocation(ref);
            if (allocation == nullptr || slice->partition != rules_.partition) {
                refusal_ = Refusal::notOurs;
                return;
            }
            if ((refusal_ = refusalOf(*job, *allocation))) return;
            addJob(*job);
            if (refusal_) return;
        }
    }

    void addJob(Job& job) {
        if (!jobs_.emplace(job.spec.id, &job).second) return;
        refusal_ = refusalOf(clusterState_, job);
        if (refusal_ || !job.requiresSingleLeader()) return;
        // The job needs a single leader, so every machine that runs its tasks is transferred too.
        if (job.partition != rules_.partition ||
            (job.spec.kind == protocol::JobKind::gang && job.allocatedTasks() < job.spec.tasks)) {
            refusal_ = Refusal::gangStarting;
            return;
        }
        for (const auto& slice : job.slices)
            for (const auto& allocation : slice.allocations) addMachine(allocation.machine);
    }

    void collect() {
        plan_.machines.assign(machines_.begin(), machines_.end());
        plan_.writes = plan_.machines.size();
        for (const auto& [id, job] : jobs_) {
            if (job->requiresSingleLeader()) {
                plan_.jobs.push_back(id);
                ++plan_.writes;
            }
            for (const auto& slice : job->slices) collectSlice(*job, slice);
        }
        if (plan_.writes > rules_.maxWrites) refusal_ = Refusal::tooLarge;
    }

    void collectSlice(const Job& job, const Slice& slice) {
        if (slice.size() == 0 || slice.partition != rules_.partition) return;
        Roaring transferredTasks;
        Roaring done;
        for (const auto& allocation : slice.allocations)
            if (machines_.contains(allocation.machine)) transferredTasks.add(allocation.task);
        for (std::uint32_t i = 0; i < slice.size(); ++i)
            if (slice.done[i]) done.add(slice.first + i);
        plan_.used[job.spec.team] += times(job.spec.taskResources, transferredTasks.cardinality());
        SliceHandover sliceHandover{job.spec.id, slice.index, rangesOf(transferredTasks, done), 1};
        if (job.requiresSingleLeader()) {
            // A slice without a record of its own follows the job's record.
            if (slice.version == 0 && !slice.dirty) return;
            sliceHandover.ranges = {slice.range()};
        }
        if (sliceHandover.ranges.empty()) return;
        sliceHandover.pieces = countPieces(slice, sliceHandover.ranges);
        plan_.writes += sliceHandover.pieces;
        plan_.slices.push_back(std::move(sliceHandover));
    }

    static storage::Resources times(const storage::Resources& each, std::uint64_t count) {
        const auto factor = static_cast<double>(count);
        return {each.cpus * factor, each.gpus * factor, each.memory * factor};
    }

    ClusterState& clusterState_;
    const HandoverRules& rules_;
    std::set<std::string> machines_;
    std::map<std::string, Job*> jobs_;
    std::vector<std::string> unvisited_;
    std::optional<Refusal> refusal_;
    Handover plan_;
};

}  // namespace

std::string_view toString(Refusal refusal) {
    switch (refusal) {
        case Refusal::notOurs:
            return "not this partition's";
        case Refusal::notRecorded:
            return "not recorded yet";
        case Refusal::draining:
            return "drained or decommissioned";
        case Refusal::transferring:
            return "already transferring";
        case Refusal::onLoan:
            return "on loan";
        case Refusal::reserved:
            return "reserved for other work";
        case Refusal::silent:
            return "heartbeats missed";
        case Refusal::belowMinTenure:
            return "below minimum tenure";
        case Refusal::recordPending:
            return "an allocation is not durable yet";
        case Refusal::taskStopping:
            return "a task is being stopped";
        case Refusal::gangStarting:
            return "a gang is starting";
        case Refusal::jobEnding:
            return "a job is ending";
        case Refusal::jobMigrating:
            return "a job is migrating";
        case Refusal::quotaTransferring:
            return "quota is being transferred";
        case Refusal::tooLarge:
            return "too large for one transaction";
    }
    return "";
}

std::size_t Handover::tasks() const {
    std::size_t total = 0;
    for (const auto& slice : slices)
        for (const auto& range : slice.ranges) total += range.count;
    return total;
}

bool isReservedForOtherWork(const ClusterState& clusterState, const Machine& machine,
                            const Recipient& recipient, storage::SteadyTime now) {
    if (machine.reservedUntil <= now) return false;
    const auto found = clusterState.jobs.find(machine.reservedFor);
    if (found == clusterState.jobs.end()) return true;
    const Job& job = found->second;
    if (job.partition == recipient.partition) return false;
    if (job.spec.kind != protocol::JobKind::gang || job.hasAllocations()) return true;
    Demand reserving;
    reserving.urgency = urgencyOf(job.priority, false);
    reserving.since = millisOf(job.submitted);
    Demand receiving;
    receiving.urgency = recipient.urgency;
    receiving.since = recipient.since;
    return !receiving.precedes(reserving);
}

HandoverPlan planHandover(ClusterState& clusterState, const std::string& machine,
                          const HandoverRules& rules) {
    return Closure(clusterState, rules).planFrom(machine);
}

}  // namespace fawnwheel::rebalancing
