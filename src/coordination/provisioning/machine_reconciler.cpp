#include "coordination/provisioning/machine_reconciler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;
using Change = MachineRecords::Change;

// A machine without a heartbeat for longer than this factor times its stated boot time plus
// `bootGrace` counts as never booted.
constexpr double bootTimeoutFactor = 4.0;
constexpr auto bootGrace = 20s;
constexpr auto minSilenceLimit = 15s;  // lower bound of `silenceLimit`
constexpr double silenceLimitIntervals = 3.5;
constexpr double overdueIntervals = 1.5;  // heartbeat intervals after which a heartbeat is overdue
constexpr auto maxFaultBackoff = 1min;    // a machine with a longer one is faulty
constexpr auto utilizationLogInterval = 20s;

// Totals for a partition's machines of one type in one zone.
struct Utilization {
    int up = 0;
    int booting = 0;
    int idle = 0;
    int reserved = 0;
    Resources used;
    Resources capacity;
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
    // A machine that never acknowledged anything either receives nothing, or no longer exists and
    // is known only from late copies of heartbeats. Neither can be used.
    const bool neverAcknowledged =
        !machine.acknowledged() &&
        now - machine.knownSince > toSteadyDuration(context_.settings.lease);
    if (machine.acknowledged() && isUsableByAnyJob(*context_.clusterState.lock(), machine, type)) {
        records_.write(Change::record, partition, machine.id);
    } else if (neverAcknowledged || now - machine.idleSince > warmPool_.idleLimit(machine, type)) {
        // Another leader may have recorded the machine and may run tasks on it. Its record makes
        // the write of the decommissioned mark fail, without which no release is sent (scenario
        // unrecorded_machine_used_by_another_leader).
        decommissioner_.decommission(machine, DecommissionReason::unused);
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
        if (machine->lastHeartbeat) entry.capacity += type->capacity;
    }
    for (const auto& [type, zones] : byType)
        for (const auto& [zone, entry] : zones)
            spdlog::debug(
                "inventory: pool_utilization partition={} type={} zone={} up={} booting={} idle={} "
                "reserved={} cpus_used={:.0f} cpus={:.0f} gpus_used={:.0f} gpus={:.0f}",
                partition, type, zone, entry.up, entry.booting, entry.idle, entry.reserved,
                entry.used.cpus, entry.capacity.cpus, entry.used.gpus, entry.capacity.gpus);
}

std::set<std::string> MachineReconciler::unresponsiveZones(const ClusterState& clusterState,
                                                           PartitionId partition) const {
    // Many machines silent at once are cut off by a network partition rather than dead. Network
    // partitions follow zones, so machines are counted by zone: counted together, a partition with
    // machines in two zones decommissioned all of one zone. A machine counts as soon as its
    // heartbeat is overdue: when it counted only after `silenceLimit`, each machine in turn was the
    // only silent one, and a partition decommissioned all its machines with every task on them
    // (incident inc-59fe).
    struct Count {
        std::size_t live = 0;
        std::size_t unresponsive = 0;
    };
    std::map<std::string, Count> zones;
    const auto overdue = toSteadyDuration(context_.settings.heartbeatInterval * overdueIntervals);
    for (const auto* machine : clusterState.machinesOf(partition)) {
        if (!machine->lastHeartbeat) continue;
        auto& count = zones[machine->zone];
        ++count.live;
        if (context_.now() - *machine->lastHeartbeat > overdue) ++count.unresponsive;
    }
    std::set<std::string> unresponsive;
    for (const auto& [zone, count] : zones)
        if (membership_.workersUnreachable() ||
            (count.unresponsive > 1 && count.unresponsive * 2 > count.live))
            unresponsive.insert(zone);
    return unresponsive;
}

Duration MachineReconciler::silenceLimit() const {
    return std::max<Duration>(
        minSilenceLimit,
        toSteadyDuration(context_.settings.heartbeatInterval * silenceLimitIntervals));
}

bool MachineReconciler::isIdleTooLong(const Machine& machine, const MachineType& type) const {
    const auto now = context_.now();
    return machine.allocations.empty() && !machine.interruptionAt && !machine.lender &&
           !machine.transferring && now >= machine.reservedUntil &&
           now - machine.idleSince > warmPool_.idleLimit(machine, type);
}

std::optional<DecommissionReason> MachineReconciler::decommissionReason(
    const Machine& machine, const MachineType& type,
    const std::set<std::string>& unresponsive) const {
    const auto now = context_.now();
    const bool empty = machine.allocations.empty();
    if (!machine.lastHeartbeat) {
        if (empty && now - machine.knownSince >
                         toSteadyDuration(type.bootTime * bootTimeoutFactor) + bootGrace)
            return DecommissionReason::neverBooted;
        return std::nullopt;
    }
    if (machine.unschedulableUntil - now > maxFaultBackoff) return DecommissionReason::faulty;
    if (now - *machine.lastHeartbeat > silenceLimit()) {
        if (unresponsive.contains(machine.zone)) return std::nullopt;
        return DecommissionReason::silent;
    }
    if (!machine.acknowledged() && empty &&
        now - machine.unacknowledgedSince >
            silenceLimit() + toSteadyDuration(context_.settings.lease))
        return DecommissionReason::unreachable;
    if (machine.consolidating && empty) return DecommissionReason::consolidated;
    if (isIdleTooLong(machine, type)) return DecommissionReason::idle;
    return std::nullopt;
}

void MachineReconciler::reconcileMachines(PartitionId partition) {
    if (!membership_.isLeaseValid()) return;
    auto clusterState = context_.clusterState.lock();
    warmPool_.updateGuarantees(*clusterState);
    logUtilization(*clusterState, partition);
    if (partition == 0) catalog_.recordIfMissing(*clusterState);
    warmPool_.updateClassDemand(*clusterState);
    inventory_.repairRecords(*clusterState, partition);
    const auto unresponsive = unresponsiveZones(*clusterState, partition);
    for (auto* machine : clusterState->machinesOf(partition)) {
        const auto* type = context_.findMachineType(machine->type);
        if (machine->decommissioned || type == nullptr) continue;
        if (!machine->recorded())
            reconcileUnrecorded(partition, *machine, *type);
        else if (const auto reason = decommissionReason(*machine, *type, unresponsive))
            decommissioner_.decommission(*machine, *reason);
    }
    decommissioner_.releaseDecommissioned();
}

}  // namespace fawnwheel::coordination
