// Gangs that can't start yet: the zone they gather in and the machines that are kept for them.
#include <algorithm>

#include "coordination/scheduling/placement.h"

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr auto assemblyRenewal = std::chrono::seconds(3);
constexpr auto assemblyPatience = std::chrono::seconds(90);  // in one zone

}  // namespace

void Placement::reserve(Machine& machine, const Job& job, std::uint32_t tasks,
                        Duration length) const {
    machine.reservedFor = job.spec.id;
    machine.reservedTasks = tasks;
    machine.reservedCapacity = {};
    for (std::uint32_t i = 0; i < tasks; ++i) machine.reservedCapacity += job.spec.each;
    machine.reservedUntil = context_.now() + length;
}

void Placement::dropReservations(ClusterState& clusterState, std::uint32_t partition) {
    const auto now = context_.now();
    for (auto* machine : clusterState.machinesOf(partition)) {
        if (now >= machine->reservedUntil) continue;
        const Job* job = clusterState.job(machine->reservedFor);
        // What gangs gather is dealt out anew each time, in the queue's order: a later one never
        // holds what completes an earlier one.
        const bool gang = job != nullptr && job->spec.kind == JobKind::gang;
        // A peer's gang asks again and again for what is kept for it.
        const bool peers = gang && job->partition != partition && !job->anyAllocation();
        if (job == nullptr || job->cancelled || (job->partition != partition && !peers) ||
            (gang && !peers &&
             (job->anyAllocation() || (machine->lastHeartbeat && now >= job->preemptedUntil))))
            machine->reservedUntil = now;
    }
}

void Placement::chooseZone(ClusterState& clusterState, std::uint32_t partition, Job& job) {
    const auto now = context_.now();
    if (!job.spec.oneZone ||
        (!job.assemblyZone.empty() && now - job.assemblySince < assemblyPatience))
        return;
    // Where most of it could start now; else where the partition has most machines for it. A zone
    // that did not get it together for long gives way to the next best.
    std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> zones;
    for (const auto* machine : clusterState.machinesOf(partition)) {
        const auto* type = context_.type(machine->type);
        if (machine->decommissioned || type == nullptr ||
            !typeAllowed(job.spec, *type, machine->zone, machine->spot))
            continue;
        auto& [free, all] = zones[machine->zone];
        ++all;
        if ((takesWork(*machine) && allowed(job, *machine)) ||
            (now < machine->reservedUntil && machine->reservedFor == job.spec.id))
            ++free;
    }
    for (const auto& type : context_.catalog)
        for (const auto& zone : type.zones)
            if (typeAllowed(job.spec, type, zone, false)) zones.try_emplace(zone);
    std::string best;
    std::tuple<std::uint32_t, bool, std::uint32_t> bestScore{};
    for (const auto& [zone, counts] : zones) {
        if (zone == job.assemblyZone && zones.size() > 1) continue;
        const std::tuple score{std::min(counts.first, job.spec.tasks),
                               zone == context_.settings.zone, counts.second};
        if (best.empty() || score > bestScore) {
            best = zone;
            bestScore = score;
        }
    }
    job.assemblyZone = best;
    job.assemblySince = now;
}

void Placement::keep(MachineCapacity& machineCapacity, const Job& job, std::uint32_t tasks) const {
    reserve(*machineCapacity.machine, job, tasks, assemblyRenewal);
    machineCapacity.open = machineCapacity.free;
    machineCapacity.open -= machineCapacity.machine->reservedCapacity;
}

std::uint32_t Placement::heldFor(const ClusterState& clusterState, std::uint32_t partition,
                                 const Job& job) const {
    // Rented for it and booting, or others are being stopped there.
    const auto now = context_.now();
    std::uint32_t held = 0;
    for (const auto* machine : clusterState.machinesOf(partition))
        if (now < machine->reservedUntil && machine->reservedFor == job.spec.id &&
            (job.assemblyZone.empty() || machine->zone == job.assemblyZone))
            held += machine->reservedTasks;
    return held;
}

std::uint32_t Placement::assembleGang(ClusterState& clusterState, std::uint32_t partition, Job& job,
                                      CapacityIndex& capacityIndex,
                                      std::set<std::string>& blockedZones, std::uint32_t& lacking) {
    // A gang would wait for ever behind small work that takes each machine as it comes free. In
    // the queue's order, each keeps what is free until it has enough; one that lacks machines
    // keeps later ones from assembling in its zone, so that no two hold half of what both need.
    const auto& zone = job.assemblyZone;
    const auto now = context_.now();
    auto held = heldFor(clusterState, partition, job);
    lacking = 0;
    for (auto& kind : capacityIndex) {
        if ((!zone.empty() && kind.zone != zone) || !kindAllowed(job, kind, {})) continue;
        for (auto& machineCapacity : kind.machines) {
            if (held >= job.spec.tasks) return 0;
            if (now < machineCapacity.machine->reservedUntil) continue;
            const auto fit =
                countThatFit(job, capacityOn(machineCapacity, job), job.spec.tasks - held);
            if (fit == 0) continue;
            keep(machineCapacity, job, fit);
            held += fit;
        }
    }
    if (held >= job.spec.tasks) return 0;
    auto missing = job.spec.tasks - held;
    lacking = missing;
    blockedZones.insert(zone);
    if (!canProvision(job, zone)) missing -= drainFor(capacityIndex, job, missing);
    return missing;
}

std::uint32_t Placement::drainFor(CapacityIndex& capacityIndex, const Job& job,
                                  std::uint32_t missing) {
    struct Busy {
        double used = 0;
        MachineCapacity* machineCapacity = nullptr;
        const MachineType* type = nullptr;
    };
    std::vector<Busy> busy;
    const auto now = context_.now();
    for (auto& kind : capacityIndex) {
        if ((!job.assemblyZone.empty() && kind.zone != job.assemblyZone) ||
            !kindAllowed(job, kind, {}))
            continue;
        for (auto& machineCapacity : kind.machines) {
            if (now < machineCapacity.machine->reservedUntil) continue;
            // Less used ones come free sooner.
            busy.push_back(
                {machineCapacity.machine->used.cpus / std::max(1.0, kind.type->capacity.cpus),
                 &machineCapacity, kind.type});
        }
    }
    std::sort(busy.begin(), busy.end(), [](const Busy& a, const Busy& b) {
        return std::tie(a.used, a.machineCapacity->machine->id) <
               std::tie(b.used, b.machineCapacity->machine->id);
    });
    std::uint32_t kept = 0;
    for (const auto& entry : busy) {
        if (kept >= missing) break;
        const auto fit = countThatFit(job, entry.type->capacity, missing - kept);
        keep(*entry.machineCapacity, job, fit);
        kept += fit;
    }
    return kept;
}

}  // namespace fawnwheel::coordination
