#include "coordination/provisioning/machine_inventory.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;
using Change = MachineRecords::Change;

constexpr auto minListInterval = 4s;
constexpr double listFractionOfCalls = 0.2;
constexpr double maxLagFactor = 2.2;  // a list may lag by up to twice the stated time
constexpr auto listLagMargin = 1s;
constexpr auto requesterHeadStart = 10s;  // who provisioned a machine records it itself
constexpr auto unassignedGrace = 1s;      // until a machine that sends heartbeats is taken in
constexpr auto notLeadingPause = 500ms;

}  // namespace

void MachineInventory::start() {
    listMachines();
}

void MachineInventory::listMachines() {
    if (membership_.ledPartitions().empty()) {
        context_.timers.after(context_.jittered(notLeadingPause), [this] { listMachines(); });
        return;
    }
    listPage({}, context_.now(), {}, 1);
}

void MachineInventory::listPage(const std::string& after, SteadyTime asked,
                                std::vector<protocol::CloudMachine> listed, int pages) {
    context_.cloudClient.list(after, [this, asked, pages, listed = std::move(listed)](
                                         std::optional<protocol::CloudPage> page) mutable {
        // An empty page that says more is no end: all behind it would seem to be gone.
        if (page && !(page->more && page->machines.empty())) {
            listed.insert(listed.end(), page->machines.begin(), page->machines.end());
            if (page->more) {
                // A copy: arguments are evaluated in any order, so that the name once was read
                // from a list that had been moved away (scenario large_fleet_all_nodes_crash).
                const auto last = listed.back().id;
                return listPage(last, asked, std::move(listed), pages + 1);
            }
            applyMachineList(asked, listed);
        }
        const auto fraction =
            context_.settings.cloudCallsPerSecond / static_cast<double>(context_.nodes.size());
        const auto pause = std::max<Duration>(
            minListInterval, toSteadyDuration(Seconds(pages / (fraction * listFractionOfCalls))));
        context_.timers.after(context_.jittered(pause), [this] { listMachines(); });
    });
}

Duration MachineInventory::maxListLag() const {
    return toSteadyDuration(context_.settings.listLag * maxLagFactor) + listLagMargin;
}

void MachineInventory::applyMachineList(SteadyTime asked,
                                        const std::vector<protocol::CloudMachine>& machines) {
    std::set<std::string> present;
    const auto partitions = membership_.ledPartitions();
    const std::set<std::uint32_t> own(partitions.begin(), partitions.end());
    auto clusterState = context_.clusterState.lock();
    for (const auto& listed : machines) {
        present.insert(listed.id);
        applyListedMachine(*clusterState, listed, own, asked);
    }
    std::erase_if(unassignedSince_, [&](const auto& e) { return !present.contains(e.first); });
    reconcileMissing(*clusterState, present, own, asked);
}

void MachineInventory::applyListedMachine(ClusterState& clusterState,
                                          const protocol::CloudMachine& listed,
                                          const std::set<std::uint32_t>& ownPartitions,
                                          SteadyTime asked) {
    const auto now = context_.now();
    if (Machine* machine = clusterState.machine(listed.id)) {
        machine->lastListed = now;
        if (machine->address.empty()) machine->address = listed.address;
        machine->listedAsFailed = listed.state == protocol::CloudState::failed;
        return;
    }
    // A lagging list still shows machines that are gone. One that was returned before this
    // process began is told from a new one by the lists of a later moment.
    const auto partition = partitionFor(clusterState, listed.id, listed.zone);
    if (!ownPartitions.contains(partition) || clusterState.deletedMachines.contains(listed.id))
        return;
    const auto since = unassignedSince_.try_emplace(listed.id, now).first->second;
    if (asked - since <= maxListLag() || now - since <= requesterHeadStart) return;
    unassignedSince_.erase(listed.id);
    addMachine({listed.type, listed.zone, listed.spot}, listed.id, partition);
}

void MachineInventory::reconcileMissing(ClusterState& clusterState,
                                        const std::set<std::string>& present,
                                        const std::set<std::uint32_t>& ownPartitions,
                                        SteadyTime asked) {
    const auto lag = maxListLag();
    struct GoneMachine {
        PartitionId partition = 0;
        std::string id;
    };
    std::vector<GoneMachine> gone;
    for (auto& [id, machine] : clusterState.machines) {
        if (!ownPartitions.contains(machine.partition)) continue;
        if (machine.listedAsFailed && !machine.decommissioned) {
            // It has stopped on its own, with all that ran on it.
            heartbeats_.releaseAllocations(machine, "failed");
            decommissioner_.decommission(machine, DecommissionReason::failed);
            continue;
        }
        // Once listed, a machine stays listed until it is gone; but this list may describe a
        // moment before an earlier one did, and before the machine's latest heartbeat.
        if (present.contains(id) || !machine.lastListed || asked - *machine.lastListed <= lag ||
            (machine.lastHeartbeat && asked - *machine.lastHeartbeat <= lag))
            continue;
        heartbeats_.releaseAllocations(machine, "no longer listed");
        gone.push_back({machine.partition, id});
    }
    for (const auto& entry : gone) decommissioner_.forget(entry.partition, entry.id);
}

void MachineInventory::onUnassignedHeartbeat(const protocol::Heartbeat& heartbeat) {
    const auto now = context_.now();
    // A heartbeat that was delayed on its way.
    if (context_.clusterState.lock()->deletedMachines.contains(heartbeat.machine)) return;
    const auto [entry, fresh] = unassignedSince_.try_emplace(heartbeat.machine, now);
    // The record of whoever provisioned it may be on its way; but machines that were there before
    // us have none.
    if (fresh || now - entry->second <= unassignedGrace) return;
    unassignedSince_.erase(entry);
    addMachine({heartbeat.type, heartbeat.zone, heartbeat.spot}, heartbeat.machine,
               partitionFor(*context_.clusterState.lock(), heartbeat.machine, heartbeat.zone));
}

std::uint32_t MachineInventory::partitionFor(const ClusterState& clusterState,
                                             const std::string& id, const std::string& zone) const {
    if (clusterState.corruptMachines.contains(id))
        if (const auto partition = clusterState.partitionOfAllocationsOn(id)) return *partition;
    return context_.defaultPartition(zone, id);
}

void MachineInventory::repairRecords(ClusterState& clusterState, PartitionId partition) {
    for (const auto& [id, corrupt] : clusterState.corruptMachines) {
        const Machine* machine = clusterState.machine(id);
        const auto type = protocol::textOf(corrupt.value, "type");
        const auto zone = protocol::textOf(corrupt.value, "zone");
        // Read corrupt at the start: with a type and a zone it can be made out, and else the
        // cloud's list tells them.
        if (machine == nullptr && context_.findMachineType(type) != nullptr &&
            partitionFor(clusterState, id, zone) == partition)
            machine =
                addMachine({type, zone, protocol::flagOf(corrupt.value, "spot")}, id, partition);
        if (machine == nullptr || machine->partition != partition || machine->transferring)
            continue;
        if (records_.isPending(Change::record, id)) continue;
        spdlog::warn("machine_records: corrupt_record_rewritten machine={} partition={}", id,
                     partition);
        records_.write(Change::record, partition, id);
    }
}

Machine* MachineInventory::addMachine(const MachinePoolId& pool, const std::string& id,
                                      PartitionId partition) {
    auto clusterState = context_.clusterState.lock();
    if (clusterState->machine(id) != nullptr || clusterState->deletedMachines.contains(id))
        return nullptr;
    Machine& machine = clusterState->addMachine(id, partition);
    machine.type = pool.type;
    machine.zone = pool.zone;
    machine.spot = pool.spot;
    machine.knownSince = machine.lastPossibleRenewal = machine.idleSince = context_.now();
    if (const auto corrupt = clusterState->corruptMachines.find(id);
        corrupt != clusterState->corruptMachines.end()) {
        machine.version = corrupt->second.version;
        clusterState->indexAllocations(machine);
    }
    return &machine;
}

}  // namespace fawnwheel::coordination
