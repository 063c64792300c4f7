#include "coordination/membership/node_lease.h"

#include <spdlog/spdlog.h>

#include "coordination/membership/timing.h"
#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto retryDelay = 300ms;
constexpr double clockDriftFactor = 0.998;
constexpr int renewalsPerLease = 4;

}  // namespace

void NodeLease::scheduleLeaseRequest() {
    context_.timers.after(context_.jittered(retryDelay), [this] { requestLease(); });
}

SteadyTime NodeLease::earliestExpiry(SteadyTime sentAt) const {
    return sentAt + toSteadyDuration(context_.operatorSettings.nodeLease * clockDriftFactor) -
           timerResolution;
}

void NodeLease::requestLease() {
    if (!replica_.synced()) return scheduleLeaseRequest();
    const auto sentAt = context_.now();
    context_.stateClient.grantLease(toSteadyDuration(context_.operatorSettings.nodeLease),
                                    [this, sentAt](std::uint64_t leaseId) {
                                        if (leaseId == 0) return scheduleLeaseRequest();
                                        writeNodeRecord(leaseId, sentAt);
                                    });
}

protocol::CompareAndSwap NodeLease::nodeRecordTransaction(std::uint64_t leaseId) {
    protocol::CompareAndSwap transaction;
    auto clusterState = context_.clusterState.lock();
    const auto& name = context_.settings.name;
    const auto existing = clusterState->nodes.find(name);
    // Comparing the version makes a delayed write by an earlier process of this node fail. Such a
    // write would attach the record to a lease that nobody renews.
    transaction.compares.push_back(
        {storage::keys::node(name), existing == clusterState->nodes.end() ? 0 : existing->second});
    // These compares fail if a peer has acquired one of the partitions while this node had no
    // lease. Answering that partition's workers once more would extend leases that the new leader
    // expects to expire.
    for (const auto& [partition, term] : acquiredTerms_.all())
        transaction.compares.push_back(
            {storage::keys::partition(partition), clusterState->partitions[partition].version});
    transaction.writes.push_back(
        {storage::keys::node(name), protocol::Json{{"term", clusterState->lastTerm}}, leaseId});
    // Feature gates are attached to no lease and never withdrawn, so this write is correct however
    // late it is applied.
    if (!clusterState->nodesWithJobDependencies.contains(name))
        transaction.writes.push_back(
            {storage::keys::jobDependenciesGate(name), storage::featureGateValue(), 0});
    if (!clusterState->nodesWithMachineTransfers.contains(name))
        transaction.writes.push_back(
            {storage::keys::machineTransfersGate(name), storage::featureGateValue(), 0});
    return transaction;
}

void NodeLease::writeNodeRecord(std::uint64_t leaseId, SteadyTime sentAt) {
    // With more partitions than the transaction has compares for, this process erases the excess
    // ones and acquires them anew.
    const auto maxCompares = std::max<std::size_t>(1, context_.settings.maxTransactionCompares());
    acquiredTerms_.truncate(maxCompares - 1);
    const auto onResponse = [this, leaseId,
                             sentAt](const protocol::CompareAndSwapResponse& response) {
        if (response.result == protocol::StateResult::conflict) {
            onNodeRecordRefused(response.failed);
            return refreshNodeVersion(leaseId, sentAt);
        }
        if (response.result != protocol::StateResult::ok) return scheduleLeaseRequest();
        onNodeRecordWritten(leaseId, sentAt, response.revision);
    };
    context_.stateClient.transact(nodeRecordTransaction(leaseId), protocol::RequestPriority::lease,
                                  onResponse);
}

void NodeLease::onNodeRecordRefused(const std::vector<std::string>& failedKeys) {
    for (const auto& key : failedKeys)
        for (PartitionId partition = 0; partition < context_.partitionCount(); ++partition)
            if (key == storage::keys::partition(partition)) acquiredTerms_.erase(partition);
}

void NodeLease::onNodeRecordWritten(std::uint64_t leaseId, SteadyTime sentAt,
                                    std::uint64_t revision) {
    storage::applyAnswer(
        *context_.clusterState.lock(),
        {storage::keys::node(context_.settings.name), protocol::Json::object(), revision},
        context_.now());
    leaseId_ = leaseId;
    joined_ = true;
    validUntil_ = earliestExpiry(sentAt);
    spdlog::info("node_lease: joined lease={}", leaseId_);
    context_.timers.after(toSteadyDuration(context_.operatorSettings.nodeLease / renewalsPerLease),
                          [this] { renew(); });
    observer_.onJoined();
}

void NodeLease::refreshNodeVersion(std::uint64_t leaseId, SteadyTime sentAt) {
    const auto key = storage::keys::node(context_.settings.name);
    context_.stateClient.read(key, [this, leaseId, sentAt](const protocol::ReadResponse& response) {
        if (response.result != protocol::StateResult::ok) return scheduleLeaseRequest();
        protocol::Event record{storage::keys::node(context_.settings.name), std::nullopt,
                               response.revision};
        if (!response.items.empty()) {
            record.value = response.items.front().value;
            record.version = response.items.front().version;
        }
        storage::applyAnswer(*context_.clusterState.lock(), record, context_.now());
        // Once half of the lease has passed, too little would be left of it: request a new one.
        if (context_.now() - sentAt < toSteadyDuration(context_.operatorSettings.nodeLease / 2))
            writeNodeRecord(leaseId, sentAt);
        else
            scheduleLeaseRequest();
    });
}

void NodeLease::renew() {
    const auto sentAt = context_.now();
    context_.stateClient.renewLease(leaseId_, [this, sentAt](protocol::StateResult result) {
        if (result == protocol::StateResult::conflict) {
            spdlog::info("node_lease: lease_lost lease={}", leaseId_);
            joined_ = false;
            // Peers may have acquired this node's partitions. The compares of the next transaction
            // that writes the node's record detect this.
            return requestLease();
        }
        if (result == protocol::StateResult::ok)
            validUntil_ = std::max(validUntil_, earliestExpiry(sentAt));
        const auto delay =
            result == protocol::StateResult::ok
                ? toSteadyDuration(context_.operatorSettings.nodeLease / renewalsPerLease)
                : context_.jittered(retryDelay);
        context_.timers.after(delay, [this] { renew(); });
    });
}

}  // namespace fawnwheel::coordination
