#include "coordination/provisioning/decommissioner.h"

#include <spdlog/spdlog.h>

namespace fawnwheel::coordination {

namespace {

using Change = MachineRecords::Change;

constexpr std::size_t maxMachinesPerRelease = 100;

const char* nameOf(DecommissionReason reason) {
    switch (reason) {
        case DecommissionReason::failed:
            return "failed";
        case DecommissionReason::neverBooted:
            return "never_booted";
        case DecommissionReason::faulty:
            return "faulty";
        case DecommissionReason::silent:
            return "silent";
        case DecommissionReason::unreachable:
            return "unreachable";
        case DecommissionReason::consolidated:
            return "consolidated";
        case DecommissionReason::idle:
            return "idle";
        case DecommissionReason::unused:
            break;
    }
    return "unused";
}

}  // namespace

void Decommissioner::decommission(Machine& machine, DecommissionReason reason) {
    // The machine's next leader decides whether to decommission it.
    if (machine.transferring) return;
    if (machine.decommissioned || records_.isPending(Change::decommission, machine.id)) return;
    spdlog::info("inventory: machine_decommissioned machine={} reason={}", machine.id,
                 nameOf(reason));
    machine.decommissioned = true;  // no new allocations from now on
    records_.write(Change::decommission, machine.partition, machine.id);
}

void Decommissioner::releaseDecommissioned() {
    // One call at a time releases all machines decommissioned since the last one: calls are
    // rate-limited, and with one call per machine, releasing hundreds of idle machines took
    // minutes.
    if (!releasing_.empty()) return;
    std::vector<std::string> names;
    auto clusterState = context_.clusterState.lock();
    for (const auto partition : membership_.ledPartitions())
        for (const auto* machine : clusterState->machinesOf(partition)) {
            // Release only after the decommissioned mark is durable: a late copy of the request
            // must not release a machine that has been given tasks again.
            if (machine->decommissioned && !records_.isPending(Change::decommission, machine->id) &&
                names.size() < maxMachinesPerRelease && releasing_.insert(machine->id).second)
                names.push_back(machine->id);
        }
    if (names.empty()) return;
    context_.cloudClient.release(names, [this, names](bool released) {
        for (const auto& id : names) {
            releasing_.erase(id);
            if (!released) continue;
            auto state = context_.clusterState.lock();
            Machine* machine = state->machine(id);
            if (machine == nullptr || !membership_.isLeader(machine->partition)) continue;
            heartbeats_.releaseAllocations(*machine, "given back");
            deleteMachine(machine->partition, id);
        }
    });
}

void Decommissioner::deleteMachine(PartitionId partition, const std::string& id) {
    auto clusterState = context_.clusterState.lock();
    const Machine* machine = clusterState->machine(id);
    // The end of an allocation can't be recorded while the allocation is still being written, so
    // the machine stays until it has none.
    if (machine == nullptr || !machine->allocations.empty()) return;
    if (!machine->recorded() && !records_.isPending(Change::record, id))
        return clusterState->removeMachine(id);
    records_.write(Change::drop, partition, id);
}

}  // namespace fawnwheel::coordination
