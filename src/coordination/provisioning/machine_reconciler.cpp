#include "coordination/provisioning/machine_reconciler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;
using Change = MachineRecords::Change;

constexpr double bootFailure = 4.0;  // times the stated boot time
constexpr auto bootGrace = 20s;      // beyond that
constexpr auto minSilence = 15s;     // before a machine is given back
constexpr double maxMissedHeartbeats = 3.5;
constexpr double overdueHeartbeats = 1.5;  // a heartbeat that is so late is overdue
constexpr auto maxFaultBackoff = 1min;     // a longer one: the machine is faulty
constexpr auto utilizationLogInterval = 20s;

// Of machines of a type in a zone.
struct Utilization {
    int up = 0;
    int booting = 0;
    int idle = 0;
    int reserved = 0;
    Resources used;
    Resources all;
};

}  // namespace

bool MachineReconciler::isUsableByAnyJob(const ClusterState& clusterState, const Machine& machine,
                                         const MachineType& type) const {
    return std::any_of(clusterState.jobs.begin(), clusterState.jobs.end(), [&](const auto& entry) {
        return typeAllowed(entry.second.spec, type, machine.zone, machine.spot);
    });
}

void MachineReconciler::reconcileUnrecorded(PartitionId partition, Machine& machine,
                                            const MachineType& type) {
    const auto now = context_.now();
    if (records_.isPending(Change::record, machine.id)) return;
    // What only late copies of heartbeats speak of, or can't receive, is of no use.
    const bool neverAcknowledged =
        !machine.acknowledged() &&
        now - machine.knownSince > toSteadyDuration(context_.settings.lease);
    if (machine.acknowledged() && isUsableByAnyJob(*context_.clusterState.lock(), machine, type)) {
        records_.write(Change::record, partition, machine.id);
    } else if (neverAcknowledged || now - machine.idleSince > warmPool_.idleLimit(machine, type)) {
        // It never had work, and no allocation can name it: it needs no record to be given back.
        spdlog::debug("inventory: unrecorded_machine_decommissioned machine={} reason=unused",
                      machine.id);
        machine.decommissioned = true;
    }
}

void MachineReconciler::logUtilization(const ClusterState& clusterState, PartitionId partition) {
    const auto now = context_.now();
    if (!spdlog::should_log(spdlog::level::debug) ||
        now - utilizationLogged_[partition] < utilizationLogInterval)
        return;
    utilizationLogged_[partition] = now;
    std::map<std::string, std::map<std::string, Utilization>> byType;  // then by zone
    for (const auto* machine : clusterState.machinesOf(partition)) {
        const auto* type = context_.findMachineType(machine->type);
        if (type == nullptr) continue;
        auto& entry = byType[machine->type][machine->zone];
        ++(machine->lastHeartbeat ? entry.up : entry.booting);
        if (machine->lastHeartbeat && machine->allocations.empty()) ++entry.idle;
        if (now < machine->reservedUntil) ++entry.reserved;
        entry.used += machine->used;
        if (machine->lastHeartbeat) entry.all += type->capacity;
    }
    for (const auto& [type, zones] : byType)
        for (const auto& [zone, entry] : zones)
            spdlog::debug(
                "inventory: pool_utilization partition={} type={} zone={} up={} booting={} idle={} "
                "reserved={} cpus_used={:.0f} cpus={:.0f} gpus_used={:.0f} gpus={:.0f}",
                partition, type, zone, entry.up, entry.booting, entry.idle, entry.reserved,
                entry.used.cpus, entry.all.cpus, entry.used.gpus, entry.all.gpus);
}

std::set<std::string> MachineReconciler::quietZones(const ClusterState& clusterState,
                                                    PartitionId partition) const {
    // Many at once are behind a cut rather than dead, and cuts go by zones: a partition with
    // machines in two zones once gave back all of one. They are counted as soon as a heartbeat is
    // overdue: counted only when it was time to give them back, each in turn was the only silent
    // one, and a partition gave back all its machines with all that ran there (incident inc-59fe).
    struct Count {
        std::size_t live = 0;
        std::size_t quiet = 0;
    };
    std::map<std::string, Count> zones;
    const auto overdue = toSteadyDuration(context_.settings.heartbeatInterval * overdueHeartbeats);
    for (const auto* machine : clusterState.machinesOf(partition)) {
        if (!machine->lastHeartbeat) continue;
        auto& count = zones[machine->zone];
        ++count.live;
        if (context_.now() - *machine->lastHeartbeat > overdue) ++count.quiet;
    }
    std::set<std::string> quiet;
    for (const auto& [zone, count] : zones)
        if (membership_.workersUnreachable() || (count.quiet > 1 && count.quiet * 2 > count.live))
            quiet.insert(zone);
    return quiet;
}

Duration MachineReconciler::silenceLimit() const {
    return std::max<Duration>(
        minSilence, toSteadyDuration(context_.settings.heartbeatInterval * maxMissedHeartbeats));
}

bool MachineReconciler::isIdleForLong(const Machine& machine, const MachineType& type) const {
    const auto now = context_.now();
    return machine.allocations.empty() && !machine.interruptionAt && !machine.lender &&
           !machine.transferring && now >= machine.reservedUntil &&
           now - machine.idleSince > warmPool_.idleLimit(machine, type);
}

std::optional<DecommissionReason> MachineReconciler::decommissionReason(
    const Machine& machine, const MachineType& type, const std::set<std::string>& quiet) const {
    const auto now = context_.now();
    const bool empty = machine.allocations.empty();
    if (!machine.lastHeartbeat) {
        if (empty &&
            now - machine.knownSince > toSteadyDuration(type.bootTime * bootFailure) + bootGrace)
            return DecommissionReason::neverBooted;
        return std::nullopt;
    }
    if (machine.unschedulableUntil - now > maxFaultBackoff) return DecommissionReason::faulty;
    if (now - *machine.lastHeartbeat > silenceLimit()) {
        if (quiet.contains(machine.zone)) return std::nullopt;
        return DecommissionReason::silent;
    }
    if (!machine.acknowledged() && empty &&
        now - machine.unacknowledgedSince >
            silenceLimit() + toSteadyDuration(context_.settings.lease))
        return DecommissionReason::unreachable;
    if (machine.consolidating && empty) return DecommissionReason::consolidated;
    if (isIdleForLong(machine, type)) return DecommissionReason::idle;
    return std::nullopt;
}

void MachineReconciler::reconcileMachines(PartitionId partition) {
    if (!membership_.isLeaseValid()) return;
    auto clusterState = context_.clusterState.lock();
    warmPool_.recordGuaranteed(*clusterState);
    logUtilization(*clusterState, partition);
    if (partition == 0) catalog_.recordIfMissing(*clusterState);
    warmPool_.recordClasses(*clusterState);
    inventory_.repairRecords(*clusterState, partition);
    const auto quiet = quietZones(*clusterState, partition);
    for (auto* machine : clusterState->machinesOf(partition)) {
        const auto* type = context_.findMachineType(machine->type);
        if (machine->decommissioned || type == nullptr) continue;
        if (machine->version == 0)
            reconcileUnrecorded(partition, *machine, *type);
        else if (const auto reason = decommissionReason(*machine, *type, quiet))
            decommissioner_.decommission(*machine, *reason);
    }
    decommissioner_.releaseDecommissioned();
}

}  // namespace fawnwheel::coordination
