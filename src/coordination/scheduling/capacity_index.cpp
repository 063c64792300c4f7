#include "coordination/scheduling/capacity_index.h"

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

// A machine's heartbeat must fit into 64 KiB. It lists the machine's tasks, including those that
// have ended but whose end is not recorded yet.
constexpr std::size_t maxTasksPerMachine = 448;

}  // namespace

void MachineCapacity::consume(const Resources& each) {
    free -= each;
    unreserved -= each;
}

void MachineCapacity::restore(const Resources& each) {
    free += each;
    unreserved += each;
}

bool MachinePool::allows(const Job& job, const ZoneUse& zoneUse) const {
    if (!typeAllowed(job.spec, *type, zone, spot)) return false;
    if (job.spec.oneZone)
        for (const auto& [usedZone, count] : zoneUse)
            if (count > 0 && usedZone != zone) return false;
    if (job.spec.spread) {
        const auto inZone = zoneUse.find(zone);
        const auto onUnknownMachines = zoneUse.find(std::string());
        const auto count = (inZone == zoneUse.end() ? 0 : inZone->second) +
                           (onUnknownMachines == zoneUse.end() ? 0 : onUnknownMachines->second);
        if (count + 1 > (job.spec.tasks + 1) / 2) return false;
    }
    return true;
}

CapacityIndex::CapacityIndex(const Context& context, const ClusterState& clusterState,
                             PartitionId partition)
    : context_(context) {
    const auto now = context_.now();
    for (auto* machine : clusterState.machinesOf(partition)) {
        if (!acceptsTasks(context_, *machine, now) ||
            machine->allocations.size() + machine->exitedTasks >= maxTasksPerMachine)
            continue;
        MachinePool* pool = poolOf(*machine);
        if (pool == nullptr) continue;
        MachineCapacity machineCapacity{machine, pool->type->capacity, {}};
        machineCapacity.free -= machine->used;
        machineCapacity.unreserved = machineCapacity.free;
        if (now < machine->reservedUntil) machineCapacity.unreserved -= machine->reservedCapacity;
        pool->machines.push_back(machineCapacity);
    }
}

MachinePool* CapacityIndex::poolOf(const Machine& machine) {
    const auto found = std::find_if(pools_.begin(), pools_.end(), [&](const MachinePool& pool) {
        return pool.type->name == machine.type && pool.zone == machine.zone &&
               pool.spot == machine.spot;
    });
    if (found != pools_.end()) return &*found;
    const auto* type = context_.findMachineType(machine.type);
    if (type == nullptr) return nullptr;
    return &pools_.emplace_back(MachinePool{type, machine.zone, machine.spot, {}});
}

Resources CapacityIndex::capacityFor(const Job& job, const MachineCapacity& machineCapacity) const {
    const Machine& machine = *machineCapacity.machine;
    if (!mayUseLoan(context_, job, machine)) return {};
    if (!job.failures.machines.empty() && job.avoids(machine.id, context_.now())) return {};
    return machine.reservedFor == job.spec.id ? machineCapacity.free : machineCapacity.unreserved;
}

std::uint32_t CapacityIndex::countSlots(const Job& job, const ZoneUse& zoneUse) const {
    std::uint32_t slots = 0;
    for (const auto& pool : pools_) {
        if (!pool.allows(job, zoneUse)) continue;
        for (const auto& machineCapacity : pool.machines) {
            if (!job.spec.taskResources.fits(machineCapacity.free)) continue;
            slots +=
                countFittingTasks(job, capacityFor(job, machineCapacity), job.spec.tasks - slots);
            if (slots >= job.spec.tasks) return slots;
        }
    }
    return slots;
}

}  // namespace fawnwheel::coordination
