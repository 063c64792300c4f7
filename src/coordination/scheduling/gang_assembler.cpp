#include "coordination/scheduling/gang_assembler.h"

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr auto reservationDuration = std::chrono::seconds(3);   // renewed by each placement run
constexpr auto zoneAssemblyTimeout = std::chrono::seconds(90);  // then another zone is tried

bool isInAssemblyZone(const MachinePool& pool, const Job& job) {
    return job.assemblyZone.empty() || pool.zone == job.assemblyZone;
}

}  // namespace

void GangAssembler::expireReservations(ClusterState& clusterState, PartitionId partition) const {
    const auto now = context_.now();
    for (auto* machine : clusterState.machinesOf(partition)) {
        if (now >= machine->reservedUntil) continue;
        const Job* job = clusterState.job(machine->reservedFor);
        // Each run ends the reservations for gangs and makes them again in queue order, so that a
        // later gang never holds machines that would complete an earlier one.
        const bool isGang = job != nullptr && job->spec.kind == JobKind::gang;
        // A gang of another partition renews its reservations with repeated loan requests, so these
        // are left to expire.
        const bool isPeerGang = isGang && job->partition != partition && !job->hasAllocations();
        if (job == nullptr || job->cancelled || (job->partition != partition && !isPeerGang) ||
            (isGang && !isPeerGang &&
             (job->hasAllocations() ||
              (machine->lastHeartbeat && now >= job->preemptionReservedUntil))))
            machine->reservedUntil = now;
    }
}

std::map<std::string, GangAssembler::ZoneMachines> GangAssembler::countMachinesByZone(
    const ClusterState& clusterState, PartitionId partition, const Job& job) const {
    const auto now = context_.now();
    std::map<std::string, ZoneMachines> zones;
    for (const auto* machine : clusterState.machinesOf(partition)) {
        const auto* type = context_.findMachineType(machine->type);
        if (machine->decommissioned || type == nullptr ||
            !typeAllowed(job.spec, *type, machine->zone, machine->spot))
            continue;
        auto& machines = zones[machine->zone];
        ++machines.total;
        if ((acceptsTasks(context_, *machine) && canHost(context_, job, *machine)) ||
            (now < machine->reservedUntil && machine->reservedFor == job.spec.id))
            ++machines.free;
    }
    for (const auto& type : context_.catalog)
        for (const auto& zone : type.zones)
            if (typeAllowed(job.spec, type, zone, false)) zones.try_emplace(zone);
    return zones;
}

void GangAssembler::chooseZone(const ClusterState& clusterState, PartitionId partition,
                               Job& job) const {
    const auto now = context_.now();
    if (!job.spec.oneZone ||
        (!job.assemblyZone.empty() && now - job.assemblySince < zoneAssemblyTimeout))
        return;
    // Prefers the zone where most of the gang's tasks could start now, then this node's zone, then
    // the zone with the most suitable machines. A zone whose assembly timed out is skipped if there
    // is another one.
    const auto zones = countMachinesByZone(clusterState, partition, job);
    std::string best;
    std::tuple<std::uint32_t, bool, std::uint32_t> bestScore{};
    for (const auto& [zone, machines] : zones) {
        if (zone == job.assemblyZone && zones.size() > 1) continue;
        const std::tuple score{std::min(machines.free, job.spec.tasks),
                               zone == context_.settings.zone, machines.total};
        if (best.empty() || score > bestScore) {
            best = zone;
            bestScore = score;
        }
    }
    job.assemblyZone = best;
    job.assemblySince = now;
}

void GangAssembler::reserveOn(MachineCapacity& machineCapacity, const Job& job,
                              std::uint32_t tasks) const {
    reserve(context_, *machineCapacity.machine, job, tasks, reservationDuration);
    machineCapacity.unreserved = machineCapacity.free;
    machineCapacity.unreserved -= machineCapacity.machine->reservedCapacity;
}

std::uint32_t GangAssembler::reservedTasks(const ClusterState& clusterState, PartitionId partition,
                                           const Job& job) const {
    // Includes machines that were provisioned for the gang and are still booting, and machines on
    // which other jobs' tasks are being stopped for it.
    const auto now = context_.now();
    std::uint32_t reserved = 0;
    for (const auto* machine : clusterState.machinesOf(partition))
        if (now < machine->reservedUntil && machine->reservedFor == job.spec.id &&
            (job.assemblyZone.empty() || machine->zone == job.assemblyZone))
            reserved += machine->reservedTasks;
    return reserved;
}

AssemblyProgress GangAssembler::assemble(const ClusterState& clusterState, PartitionId partition,
                                         const Job& job, CapacityIndex& capacityIndex,
                                         std::set<std::string>& blockedZones) const {
    // Without reservations, small jobs would take every machine that becomes free and a gang would
    // never start. In queue order, each gang reserves free machines until it has enough. A gang
    // that lacks machines blocks its zone for later gangs, so that two gangs never deadlock with
    // half of the machines each.
    auto reserved = reservedTasks(clusterState, partition, job);
    if (reserved < job.spec.tasks)
        reserved += reserveFreeMachines(capacityIndex, job, job.spec.tasks - reserved);
    if (reserved >= job.spec.tasks) return {};
    const auto withoutFreeMachine = job.spec.tasks - reserved;
    auto missing = withoutFreeMachine;
    blockedZones.insert(job.assemblyZone);
    if (!cloud_.canProvision(job, job.assemblyZone))
        missing -= reserveBusyMachines(capacityIndex, job, missing);
    return {missing, withoutFreeMachine};
}

std::uint32_t GangAssembler::reserveFreeMachines(CapacityIndex& capacityIndex, const Job& job,
                                                 std::uint32_t tasks) const {
    const auto now = context_.now();
    std::uint32_t reserved = 0;
    for (auto& pool : capacityIndex.pools()) {
        if (!isInAssemblyZone(pool, job) || !pool.allows(job, {})) continue;
        for (auto& machineCapacity : pool.machines) {
            if (reserved >= tasks) return reserved;
            if (now < machineCapacity.machine->reservedUntil) continue;
            const auto fit = countFittingTasks(job, capacityIndex.capacityFor(job, machineCapacity),
                                               tasks - reserved);
            if (fit == 0) continue;
            reserveOn(machineCapacity, job, fit);
            reserved += fit;
        }
    }
    return reserved;
}

std::uint32_t GangAssembler::reserveBusyMachines(CapacityIndex& capacityIndex, const Job& job,
                                                 std::uint32_t tasks) const {
    struct Busy {
        double used = 0;
        MachineCapacity* machineCapacity = nullptr;
        const MachineType* type = nullptr;
    };
    std::vector<Busy> busy;
    const auto now = context_.now();
    for (auto& pool : capacityIndex.pools()) {
        if (!isInAssemblyZone(pool, job) || !pool.allows(job, {})) continue;
        for (auto& machineCapacity : pool.machines) {
            if (now < machineCapacity.machine->reservedUntil) continue;
            // Machines with less load are expected to become free sooner.
            busy.push_back(
                {machineCapacity.machine->used.cpus / std::max(1.0, pool.type->capacity.cpus),
                 &machineCapacity, pool.type});
        }
    }
    std::sort(busy.begin(), busy.end(), [](const Busy& a, const Busy& b) {
        return std::tie(a.used, a.machineCapacity->machine->id) <
               std::tie(b.used, b.machineCapacity->machine->id);
    });
    std::uint32_t reserved = 0;
    for (const auto& entry : busy) {
        if (reserved >= tasks) break;
        const auto fit = countFittingTasks(job, entry.type->capacity, tasks - reserved);
        reserveOn(*entry.machineCapacity, job, fit);
        reserved += fit;
    }
    return reserved;
}

}  // namespace fawnwheel::coordination
