#include "coordination/workers/start_policy.h"

#include "coordination/workers/fencing.h"

namespace fawnwheel::coordination {

namespace {

using protocol::CommandKind;

// A gang's task may wait again until its allocation reaches this age, as a multiple of the time for
// which a task waits for the rest of its gang.
constexpr double maxGangWaitFactor = 4;

}  // namespace

bool StartPolicy::mayStartOn(const Machine& machine) const {
    // Without a valid lease with the state service, the records that a start depends on may have
    // changed.
    return membership_.isLeaseValid() && !machine.decommissioned && !machine.interruptionAt &&
           isFenced(machine);
}

bool StartPolicy::isStartable(const ClusterState& clusterState, const Job& job,
                              const Allocation& allocation) {
    if (!allocation.durable || allocation.startCancelled || allocation.stopGrace ||
        !clusterState.startable(job))
        return false;
    if (job.spec.kind != protocol::JobKind::gang) return true;
    // A gang starts only when each of its tasks has a durable allocation.
    std::size_t allocated = 0;
    for (const auto& slice : job.slices)
        for (const auto& other : slice.allocations)
            if (other.attempt == allocation.attempt && other.durable) ++allocated;
    return allocated == job.spec.tasks;
}

void StartPolicy::addStarts(ClusterState& clusterState, const Machine& machine,
                            const protocol::Heartbeat& heartbeat,
                            std::vector<protocol::Command>& commands) const {
    if (!mayStartOn(machine) || !isFenced(machine, heartbeat)) return;
    for (const auto& ref : machine.allocations) {
        if (findStatus(heartbeat, ref) != nullptr) continue;
        const auto [job, slice, allocation] = clusterState.findAllocation(ref);
        if (allocation == nullptr || slice->partition != machine.partition) continue;
        if (!isStartable(clusterState, *job, *allocation)) continue;
        ++allocation->unconfirmedStarts;
        commands.push_back({CommandKind::start, ref.job, ref.task, ref.attempt, {}});
    }
}

bool StartPolicy::mayExtendGangWait(const ClusterState& clusterState, const Machine& machine,
                                    const Job& job, const Allocation& allocation) const {
    if (!mayStartOn(machine) || !isStartable(clusterState, job, allocation) ||
        context_.now() - allocation.createdAt >
            toSteadyDuration(context_.settings.gangWaitTimeout * maxGangWaitFactor))
        return false;
    return std::all_of(job.slices.begin(), job.slices.end(), [](const Slice& slice) {
        return std::none_of(slice.allocations.begin(), slice.allocations.end(),
                            [](const Allocation& other) { return other.runningSince.has_value(); });
    });
}

}  // namespace fawnwheel::coordination
