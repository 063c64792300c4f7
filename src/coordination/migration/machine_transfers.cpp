#include "coordination/migration/machine_transfers.h"

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

// Distance between the giving leader's fencing token and the first token of the recipient. An
// abandoned transfer may still be committed late, while the giver's token keeps growing. With a
// distance of 1, two leaders responded to a worker with the same token (scenario
// rebalancing_random_failures).
constexpr std::uint64_t fencingTokenReserve = 256;

}  // namespace

Machine MachineTransfers::beginTransfer(Machine& machine, std::uint32_t to) {
    machine.transferring = true;
    Machine next = machine;
    next.partition = to;
    // Above every token that the machine's worker may receive from this node.
    next.minFencingToken = machine.fencingToken + fencingTokenReserve;
    return next;
}

void MachineTransfers::addMachine(Transfer& transfer, const Machine& machine,
                                  const Machine& next) const {
    const auto key = storage::keys::machine(machine.id);
    transfer.machines.push_back(machine.id);
    transfer.records.push_back({key, storage::machineValue(next), 0});
    transfer.batch.transaction.compares.push_back({key, machine.version});
    transfer.batch.transaction.writes.push_back(transfer.records.back());
}

void MachineTransfers::addJob(Transfer& transfer, const Job& job, std::uint32_t to) const {
    const auto key = storage::keys::job(job.spec.id);
    Job next = job;
    next.partition = to;
    transfer.records.push_back({key, storage::jobValue(next), 0});
    if (transfer.batch.jobs.insert(job.spec.id).second)
        transfer.batch.transaction.compares.push_back({key, job.version});
    transfer.batch.transaction.writes.push_back(transfer.records.back());
}

bool MachineTransfers::addQuotas(Transfer& transfer, ClusterState& clusterState,
                                 const rebalancing::Handover& handover, std::uint32_t from,
                                 std::uint32_t to) {
    // The tasks count for the recipient from now on. Without their quota share the giver
    // would fill the capacity that they leave, and the team would use more than its limit.
    for (const auto& [name, used] : handover.used) {
        const auto* team = context_.findTeam(name);
        if (team == nullptr || (team->cpusMax <= 0 && team->gpusMax <= 0)) continue;
        storage::QuotaShare moved;
        if (team->cpusMax > 0) moved.cpus = used.cpus;
        if (team->gpusMax > 0) moved.gpus = used.gpus;
        auto quota = quotas_.beginTransfer(clusterState, *team, from, to, moved);
        if (!quota) return false;
        transfer.batch.transaction.compares.push_back(quota->compare);
        transfer.batch.transaction.writes.push_back(quota->change);
        transfer.quotas.push_back(std::move(*quota));
    }
    return transfer.batch.transaction.writes.size() <= writer_.maxWrites();
}

void MachineTransfers::lend(PartitionId from, PartitionId to,
                            const std::vector<std::string>& machines) {
    Transfer transfer;
    {
        auto clusterState = context_.clusterState.lock();
        // Compare the version of the borrowing partition's record, so that the loan fails if its
        // leader has changed; the new leader sends its own request.
        transfer.batch.transaction.compares.push_back(
            {storage::keys::partition(to), clusterState->partitions[to].version});
        for (const auto& id : machines) {
            Machine& machine = *clusterState->machine(id);
            Machine next = beginTransfer(machine, to);
            next.lender = machine.lender.value_or(from);
            if (*next.lender == to) next.lender.reset();
            next.transferredBy.clear();
            addMachine(transfer, machine, next);
        }
    }
    auto transaction = transfer.batch.transaction;
    pipeline_.commit(from, std::move(transaction),
                     [this, transfer](CommitResult result, std::uint64_t revision) {
                         finish(transfer, result, revision);
                     });
}

bool MachineTransfers::addHandover(Transfer& transfer, ClusterState& clusterState,
                                   const rebalancing::Handover& handover, std::uint32_t from,
                                   std::uint32_t to) {
    transfer.batch.generation = clusterState.generation;
    auto& compares = transfer.batch.transaction.compares;
    compares.push_back({storage::keys::partition(to), clusterState.partitions[to].version});
    bool fits = true;
    for (const auto& slice : handover.slices) {
        Job& job = *clusterState.job(slice.job);
        fits =
            fits && writer_.add(transfer.batch, job, job.slices[slice.slice], {slice.ranges, to});
    }
    for (const auto& id : handover.jobs) addJob(transfer, *clusterState.job(id), to);
    for (const auto& id : handover.machines) {
        Machine& machine = *clusterState.machine(id);
        Machine next = beginTransfer(machine, to);
        next.transferredBy = context_.settings.name;
        addMachine(transfer, machine, next);
    }
    return fits && addQuotas(transfer, clusterState, handover, from, to) &&
           compares.size() < context_.settings.maxTransactionCompares();
}

void MachineTransfers::revert(const Transfer& transfer, ClusterState& clusterState) {
    for (const auto& id : transfer.machines) clusterState.machine(id)->transferring = false;
    for (const auto& quota : transfer.quotas)
        quotas_.finishTransfer(clusterState, quota, CommitResult::conflict, 0);
}

std::optional<rebalancing::Refusal> MachineTransfers::transferWithWork(
    PartitionId from, PartitionId to, const rebalancing::Handover& handover,
    std::function<void(bool transferred)> onFinished) {
    Transfer transfer;
    {
        auto clusterState = context_.clusterState.lock();
        if (!addHandover(transfer, *clusterState, handover, from, to)) {
            revert(transfer, *clusterState);
            return rebalancing::Refusal::tooLarge;
        }
    }
    auto transaction = transfer.batch.transaction;
    pipeline_.commit(from, std::move(transaction),
                     [this, transfer, onFinished = std::move(onFinished)](CommitResult result,
                                                                          std::uint64_t revision) {
                         finish(transfer, result, revision);
                         onFinished(result == CommitResult::committed);
                     });
    return std::nullopt;
}

void MachineTransfers::finish(const Transfer& transfer, CommitResult result,
                              std::uint64_t revision) {
    std::set<std::string> durable;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& id : transfer.machines)
            if (Machine* machine = clusterState->machine(id)) machine->transferring = false;
        durable = writer_.applyOutcome(*clusterState, transfer.batch, result, revision);
        for (const auto& quota : transfer.quotas)
            quotas_.finishTransfer(*clusterState, quota, result, revision);
        if (result == CommitResult::committed)
            for (const auto& record : transfer.records)
                storage::applyAnswer(*clusterState, {record.key, record.value, revision},
                                     context_.now());
    }
    if (!durable.empty()) observer_.onAllocationsDurable(durable);
    if (result != CommitResult::committed) return;
    for (const auto& id : transfer.machines) heartbeats_.redirectWorker(id);
}

}  // namespace fawnwheel::coordination
