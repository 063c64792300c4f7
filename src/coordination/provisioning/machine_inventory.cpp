#include "coordination/provisioning/machine_inventory.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;
using Change = MachineRecords::Change;

constexpr auto minListInterval = 4s;
constexpr double listFractionOfCalls = 0.2;
constexpr double listLagFactor = 2.2;  // a list may lag by up to twice the stated time
constexpr auto listLagMargin = 1s;
constexpr auto requesterGracePeriod = 10s;  // for the node that provisioned a machine to record it
constexpr auto unassignedGracePeriod = 1s;  // before an unrecorded machine is added
constexpr auto notLeadingRetryInterval = 500ms;

}  // namespace

void MachineInventory::start() {
    listMachines();
}

void MachineInventory::listMachines() {
    if (membership_.ledPartitions().empty()) {
        context_.timers.after(context_.jittered(notLeadingRetryInterval),
                              [this] { listMachines(); });
        return;
    }
    listPage({}, context_.now(), {}, 1);
}

void MachineInventory::listPage(const std::string& after, SteadyTime requestedAt,
                                std::vector<protocol::CloudMachine> listed, int pages) {
    context_.cloudClient.list(after, [this, requestedAt, pages, listed = std::move(listed)](
                                         std::optional<protocol::CloudPage> page) mutable {
        // Discard the list on an empty page that announces more: the machines on the pages after
        // it would count as no longer listed.
        if (page && !(page->more && page->machines.empty())) {
            listed.insert(listed.end(), page->machines.begin(), page->machines.end());
            if (page->more) {
                // Copy the id first: arguments are evaluated in any order, so `listed` could be
                // moved from before its last id is read (scenario large_fleet_all_nodes_crash).
                const auto last = listed.back().id;
                return listPage(last, requestedAt, std::move(listed), pages + 1);
            }
            applyMachineList(requestedAt, listed);
        }
        const auto fraction =
            context_.settings.cloudCallsPerSecond / static_cast<double>(context_.nodes.size());
        const auto pause = std::max<Duration>(
            minListInterval, toSteadyDuration(Seconds(pages / (fraction * listFractionOfCalls))));
        context_.timers.after(context_.jittered(pause), [this] { listMachines(); });
    });
}

Duration MachineInventory::maxListLag() const {
    return toSteadyDuration(context_.settings.listLag * listLagFactor) + listLagMargin;
}

void MachineInventory::applyMachineList(SteadyTime requestedAt,
                                        const std::vector<protocol::CloudMachine>& machines) {
    std::set<std::string> listedIds;
    const auto partitions = membership_.ledPartitions();
    const std::set<std::uint32_t> own(partitions.begin(), partitions.end());
    auto clusterState = context_.clusterState.lock();
    for (const auto& listed : machines) {
        listedIds.insert(listed.id);
        applyListedMachine(*clusterState, listed, own, requestedAt);
    }
    std::erase_if(unassignedSince_, [&](const auto& e) { return !listedIds.contains(e.first); });
    reconcileMissing(*clusterState, listedIds, own, requestedAt);
}

void MachineInventory::applyListedMachine(ClusterState& clusterState,
                                          const protocol::CloudMachine& listed,
                                          const std::set<std::uint32_t>& ownPartitions,
                                          SteadyTime requestedAt) {
    const auto now = context_.now();
    if (Machine* machine = clusterState.machine(listed.id)) {
        machine->lastListed = now;
        if (machine->address.empty()) machine->address = listed.address;
        machine->listedAsFailed = listed.state == protocol::CloudState::failed;
        return;
    }
    // A lagging list still shows released machines. A machine released before this process started
    // is told from a new one only by a list requested later than the list lag.
    const auto partition = partitionFor(clusterState, listed.id, listed.zone);
    if (!ownPartitions.contains(partition) || clusterState.deletedMachines.contains(listed.id))
        return;
    const auto since = unassignedSince_.try_emplace(listed.id, now).first->second;
    if (requestedAt - since <= maxListLag() || now - since <= requesterGracePeriod) return;
    unassignedSince_.erase(listed.id);
    addMachine({listed.type, listed.zone, listed.spot}, listed.id, partition);
}

void MachineInventory::reconcileMissing(ClusterState& clusterState,
                                        const std::set<std::string>& listedIds,
                                        const std::set<std::uint32_t>& ownPartitions,
                                        SteadyTime requestedAt) {
    const auto lag = maxListLag();
    struct MissingMachine {
        PartitionId partition = 0;
        std::string id;
    };
    std::vector<MissingMachine> missing;
    for (auto& [id, machine] : clusterState.machines) {
        if (!ownPartitions.contains(machine.partition)) continue;
        if (machine.listedAsFailed && !machine.decommissioned) {
            // The machine has failed, and every task on it with it.
            heartbeats_.releaseAllocations(machine, "failed");
            decommissioner_.decommission(machine, DecommissionReason::failed);
            continue;
        }
        // Once listed, a machine stays listed until it no longer exists. But this list may describe
        // an earlier state than a previous list or the machine's latest heartbeat.
        if (listedIds.contains(id) || !machine.lastListed ||
            requestedAt - *machine.lastListed <= lag ||
            (machine.lastHeartbeat && requestedAt - *machine.lastHeartbeat <= lag))
            continue;
        heartbeats_.releaseAllocations(machine, "no longer listed");
        missing.push_back({machine.partition, id});
    }
    for (const auto& entry : missing) decommissioner_.deleteMachine(entry.partition, entry.id);
}

void MachineInventory::onUnassignedHeartbeat(const protocol::Heartbeat& heartbeat) {
    const auto now = context_.now();
    // Ignore a delayed heartbeat of a deleted machine.
    if (context_.clusterState.lock()->deletedMachines.contains(heartbeat.machine)) return;
    const auto [entry, fresh] = unassignedSince_.try_emplace(heartbeat.machine, now);
    // Wait, since the node that provisioned the machine may be writing its record. Machines that
    // existed before the controllers have no record, so they are added after the wait.
    if (fresh || now - entry->second <= unassignedGracePeriod) return;
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
        // The record was already corrupt when this node first read it. If its type and zone are
        // readable, add the machine; otherwise the cloud's list supplies them.
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
