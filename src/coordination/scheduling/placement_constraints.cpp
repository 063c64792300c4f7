#include "coordination/scheduling/placement_constraints.h"

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr double maxMissedHeartbeats = 2.5;  // after this many, no new tasks
constexpr Seconds minWaitToUseLoan{45};      // for jobs that are not gangs

}  // namespace

ZoneUse zoneUseOf(const ClusterState& clusterState, const Job& job) {
    ZoneUse use;
    for (const auto& slice : job.slices) {
        for (const auto& allocation : slice.allocations) {
            // An allocation on a machine that is no longer known counts under the empty zone name.
            const auto found = clusterState.machines.find(allocation.machine);
            ++use[found == clusterState.machines.end() ? std::string() : found->second.zone];
        }
    }
    return use;
}

bool typeAllowed(const protocol::JobSpec& spec, const MachineType& type, const std::string& zone,
                 bool spot) {
    if (spot && !spec.spot) return false;
    if (spec.zone && *spec.zone != zone) return false;
    if (spec.types &&
        std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end())
        return false;
    return spec.taskResources.fits(type.capacity);
}

std::uint32_t countFittingTasks(const Job& job, Resources capacity, std::uint32_t limit) {
    std::uint32_t count = 0;
    for (; count < limit && job.spec.taskResources.fits(capacity); ++count)
        capacity -= job.spec.taskResources;
    return count;
}

bool acceptsTasks(const Context& context, const Machine& machine) {
    return acceptsTasks(context, machine, context.now());
}

bool acceptsTasks(const Context& context, const Machine& machine, SteadyTime now) {
    return machine.recorded() && machine.acknowledged() && !machine.transferring &&
           !machine.decommissioned && !machine.consolidating && !machine.interruptionAt &&
           machine.lastHeartbeat &&
           now - *machine.lastHeartbeat <
               toSteadyDuration(context.settings.heartbeatInterval * maxMissedHeartbeats) &&
           now >= machine.unschedulableUntil;
}

bool mayUseLoan(const Context& context, const Job& job, const Machine& machine) {
    // A machine is lent so that a gang can start. A job of another kind may use the capacity beside
    // the gang's tasks after it has waited for 45 s: that may be the only free capacity, and
    // without it such a job would wait forever (scenario partly_started_slice_migrates).
    if (!machine.lender || job.spec.kind == JobKind::gang) return true;
    return !machine.allocations.empty() &&
           context.timers.wallNow() > addSeconds(job.readySince, minWaitToUseLoan);
}

bool canHost(const Context& context, const Job& job, const Machine& machine) {
    const auto* type = context.findMachineType(machine.type);
    if (type == nullptr || !typeAllowed(job.spec, *type, machine.zone, machine.spot)) return false;
    if (job.avoids(machine.id, context.now())) return false;
    if (!mayUseLoan(context, job, machine)) return false;
    Resources capacity = type->capacity;
    capacity -= machine.used;
    if (context.now() < machine.reservedUntil && machine.reservedFor != job.spec.id)
        capacity -= machine.reservedCapacity;
    return job.spec.taskResources.fits(capacity);
}

void reserve(const Context& context, Machine& machine, const Job& job, std::uint32_t tasks,
             Duration length) {
    machine.reservedFor = job.spec.id;
    machine.reservedTasks = tasks;
    machine.reservedCapacity = {};
    for (std::uint32_t i = 0; i < tasks; ++i) machine.reservedCapacity += job.spec.taskResources;
    machine.reservedUntil = context.now() + length;
}

}  // namespace fawnwheel::coordination
