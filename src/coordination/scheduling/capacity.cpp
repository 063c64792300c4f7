// How much of a job a partition's machines have room for.
#include <algorithm>

#include "coordination/scheduling/placement.h"

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr Seconds loanClosedToOthers{45};  // to work that has waited for less

}  // namespace

bool Placement::mayUseLoan(const Job& job, const Machine& machine) const {
    // A loan is for a gang's start only. But beside the gang's tasks there may be the only room
    // that is left, and work that waits on and on beside it is not served (slice_left_behind).
    if (!machine.lender || job.spec.kind == JobKind::gang) return true;
    return !machine.allocations.empty() &&
           context_.timers.wallNow() > plus(job.readySince, loanClosedToOthers);
}

bool Placement::allowed(const Job& job, const Machine& machine) const {
    const auto* type = context_.type(machine.type);
    if (type == nullptr || !typeAllowed(job.spec, *type, machine.zone, machine.spot)) return false;
    if (job.avoids(machine.id, context_.now())) return false;
    if (!mayUseLoan(job, machine)) return false;
    Resources capacity = type->capacity;
    capacity -= machine.used;
    if (context_.now() < machine.reservedUntil && machine.reservedFor != job.spec.id)
        capacity -= machine.reservedCapacity;
    return job.spec.each.fits(capacity);
}

std::uint32_t Placement::countThatFit(const Job& job, Resources capacity, std::uint32_t most) {
    std::uint32_t count = 0;
    for (; count < most && job.spec.each.fits(capacity); ++count) capacity -= job.spec.each;
    return count;
}

std::uint32_t Placement::capacityFor(const Job& job, std::uint32_t partition, std::uint32_t most) {
    auto clusterState = context_.clusterState.lock();
    if (job.spec.kind == JobKind::gang) return gangCapacity(*clusterState, partition, job);
    std::uint32_t capacity = 0;
    // Of a peer's machines only the records are known, not whether they heartbeat.
    const bool own = membership_.isLeader(partition);
    const auto fragmentationGuard =
        context_.isBestEffort(job) ? largestOfClasses(*clusterState) : FragmentationGuard();
    for (const auto* machine : clusterState->machinesOf(partition)) {
        if (machine->decommissioned || (own && !takesWork(*machine)) || !mayUseLoan(job, *machine))
            continue;
        const auto* type = context_.type(machine->type);
        if (type == nullptr || !typeAllowed(job.spec, *type, machine->zone, machine->spot))
            continue;
        Resources free = type->capacity;
        free -= machine->used;
        const auto fits = countThatFit(job, free, most - capacity);
        for (std::uint32_t i = 0; i < fits; ++i, free -= job.spec.each, ++capacity)
            if (!fragmentationGuard.empty() &&
                slotsLost(fragmentationGuard, *type, machine->zone, machine->spot, free, job)
                        .ofEntitled > 0)
                break;
        if (capacity >= most) break;
    }
    return capacity;
}

std::uint32_t Placement::gangCapacity(ClusterState& clusterState, std::uint32_t partition,
                                      const Job& job) {
    // All of it or nothing: a partition with room for some of its tasks is of no use to it.
    const bool own = membership_.isLeader(partition);
    std::map<std::string, std::uint32_t> zones;
    for (const auto* machine : clusterState.machinesOf(partition)) {
        const auto* type = context_.type(machine->type);
        if (machine->decommissioned || (own && !takesWork(*machine)) || type == nullptr ||
            !typeAllowed(job.spec, *type, machine->zone, machine->spot))
            continue;
        Resources free = type->capacity;
        free -= machine->used;
        if (context_.now() < machine->reservedUntil && machine->reservedFor != job.spec.id)
            free -= machine->reservedCapacity;
        zones[job.spec.oneZone ? machine->zone : std::string()] +=
            countThatFit(job, free, job.spec.tasks);
    }
    const bool fits = std::any_of(zones.begin(), zones.end(), [&](const auto& entry) {
        return entry.second >= job.spec.tasks;
    });
    return fits ? job.spec.tasks : 0;
}

bool Placement::isFeasible(const Job& job, std::uint32_t partition) {
    auto clusterState = context_.clusterState.lock();
    const auto& machines = clusterState->machinesOf(partition);
    return std::any_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        const auto* type = context_.type(machine->type);
        return !machine->decommissioned && type != nullptr &&
               typeAllowed(job.spec, *type, machine->zone, machine->spot);
    });
}

bool Placement::withinGuarantee(const ClusterState& clusterState, const Job& job) const {
    const auto* team = context_.team(job.spec.team);
    if (team == nullptr || (team->cpus <= 0 && team->gpus <= 0)) return false;
    Resources used = job.spec.each;
    for (std::uint32_t partition = 0; partition < context_.partitionCount(); ++partition)
        used += clusterState.usedBy(job.spec.team, partition);
    return (team->cpus <= 0 || used.cpus <= team->cpus) &&
           (team->gpus <= 0 || used.gpus <= team->gpus);
}

}  // namespace fawnwheel::coordination
