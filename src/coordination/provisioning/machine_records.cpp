#include "coordination/provisioning/machine_records.h"

#include <algorithm>

#include "storage/records.h"

namespace fawnwheel::coordination {

bool MachineRecords::isPending(Change change, const std::string& machine) const {
    return batches_.contains(change) && batches_.at(change).pending.contains(machine);
}

void MachineRecords::write(Change change, PartitionId partition, const std::string& machine) {
    auto& batches = batches_[change];
    if (!batches.pending.insert(machine).second) return;
    batches.queues[partition].push_back(machine);
    writeBatch(change, partition);
}

MachineRecords::Batch MachineRecords::nextBatch(Change change, PartitionId partition) {
    // Write many records in one transaction: with one write after the other, recording a thousand
    // machines took minutes, and so did decommissioning idle ones. Fill only half of a transaction,
    // so that allocations don't wait long.
    const auto limit = std::max<std::size_t>(1, context_.settings.maxTransactionWrites / 2);
    auto& batches = batches_[change];
    auto& queue = batches.queues[partition];
    Batch batch;
    auto clusterState = context_.clusterState.lock();
    while (!queue.empty() && batch.machines.size() < limit) {
        const auto id = std::move(queue.front());
        queue.pop_front();
        const Machine* machine = clusterState->machine(id);
        if (machine == nullptr || machine->partition != partition) {
            batches.pending.erase(id);
            continue;
        }
        const auto key = storage::keys::machine(id);
        batch.transaction.compares.push_back({key, machine->version});
        batch.transaction.writes.push_back({key, valueOf(change, *machine), 0});
        batch.machines.push_back(id);
    }
    return batch;
}

void MachineRecords::writeBatch(Change change, PartitionId partition) {
    auto& batches = batches_[change];
    if (batches.queues[partition].empty() || !batches.inFlight.insert(partition).second) return;
    auto batch = nextBatch(change, partition);
    if (batch.machines.empty()) {
        batches.inFlight.erase(partition);
        return;
    }
    pipeline_.commit(partition, std::move(batch.transaction),
                     [this, change, partition, machines = std::move(batch.machines)](
                         CommitResult result, std::uint64_t revision) {
                         onCommitted(change, partition, machines, result, revision);
                     });
}

void MachineRecords::onCommitted(Change change, PartitionId partition,
                                 const std::vector<std::string>& machines, CommitResult result,
                                 std::uint64_t revision) {
    auto& batches = batches_[change];
    batches.inFlight.erase(partition);
    for (const auto& id : machines) {
        batches.pending.erase(id);
        auto clusterState = context_.clusterState.lock();
        Machine* machine = clusterState->machine(id);
        if (machine != nullptr) applyOutcome(change, partition, *machine, result, revision);
    }
    roundScheduler_.scheduleRound();
    writeBatch(change, partition);
}

std::optional<protocol::Json> MachineRecords::valueOf(Change change, const Machine& machine) {
    if (change == Change::drop) return std::nullopt;
    if (change == Change::record) return storage::machineValue(machine);
    Machine decommissioned = machine;
    decommissioned.decommissioned = true;
    return storage::machineValue(decommissioned);
}

void MachineRecords::applyOutcome(Change change, PartitionId partition, Machine& machine,
                                  CommitResult result, std::uint64_t revision) {
    const bool committed = result == CommitResult::committed;
    switch (change) {
        case Change::record:
            if (committed) {
                machine.version = std::max(machine.version, revision);
                context_.clusterState.lock()->corruptMachines.erase(machine.id);
            } else if (!machine.recorded() && result != CommitResult::partitionLost) {
                // Another machine of the batch caused the conflict; retry this one.
                write(Change::record, machine.partition, machine.id);
            }
            break;
        case Change::decommission:
            // After a conflict, the record of a machine in another partition has been read again.
            if (machine.partition != partition) break;
            // Set the mark even if the state was reloaded meanwhile from records older than this
            // transaction.
            machine.decommissioned = committed;
            if (committed) machine.version = std::max(machine.version, revision);
            break;
        case Change::drop:
            if (committed) context_.clusterState.lock()->removeMachine(std::string(machine.id));
            break;
    }
}

}  // namespace fawnwheel::coordination
