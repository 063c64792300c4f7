#include "coordination/scheduling/gang_assembler.h"

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr auto reservationLength = std::chrono::seconds(3);  // renewed by each run
constexpr auto assemblyPatience = std::chrono::seconds(90);  // in one zone

bool isInAssemblyZone(const MachinePool& pool, const Job& job) {
    return job.assemblyZone.empty() || pool.zone == job.assemblyZone;
}

}  // namespace

void GangAssembler::expireReservations(ClusterState& clusterState, PartitionId partition) const {
    const auto now = context_.now();
    for (auto* machine : clusterState.machinesOf(partition)) {
        if (now >= machine->reservedUntil) continue;
        const Job* job = clusterState.job(machine->reservedFor);
        // What is reserved for gangs is distributed anew in each run, in the queue's order: a later
        // one never holds what completes an earlier one.
        const bool gang = job != nullptr && job->spec.kind == JobKind::gang;
        // A peer's gang asks again and again for what is reserved for it.
        const bool ofPeer = gang && job->partition != partition && !job->hasAllocations();
        if (job == nullptr || job->cancelled || (job->partition != partition && !ofPeer) ||
            (gang && !ofPeer &&
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
        ++machines.all;
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
        (!job.assemblyZone.empty() && now - job.assemblySince < assemblyPatience))
        return;
    // Where most of it could start now; else where the partition has most machines for it. A zone
    // that did not get it together for long gives way to the next best.
    const auto zones = countMachinesByZone(clusterState, partition, job);
    std::string best;
    std::tuple<std::uint32_t, bool, std::uint32_t> bestScore{};
    for (const auto& [zone, machines] : zones) {
        if (zone == job.assemblyZone && zones.size() > 1) continue;
        const std::tuple score{std::min(machines.free, job.spec.tasks),
                               zone == context_.settings.zone, machines.all};
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
    reserve(context_, *machineCapacity.machine, job, tasks, reservationLength);
    machineCapacity.unreserved = machineCapacity.free;
    machineCapacity.unreserved -= machineCapacity.machine->reservedCapacity;
}

std::uint32_t GangAssembler::reservedTasks(const ClusterState& clusterState, PartitionId partition,
                                           const Job& job) const {
    // On machines that were provisioned for it and boot, or where others are being stopped.
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
    // A gang would wait for ever behind small work that takes each machine as it comes free. In
    // the queue's order, each reserves what is free until it has enough; one that lacks machines
    // keeps later ones from assembling in its zone, so that no two hold half of what both need.
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
            // Less used ones come free sooner.
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
