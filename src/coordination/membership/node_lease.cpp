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

void NodeLease::retryGrantLater() {
    context_.timers.after(context_.jittered(retryDelay), [this] { grant(); });
}

SteadyTime NodeLease::earliestExpiry(SteadyTime sent) const {
    return sent + toSteadyDuration(context_.operatorSettings.nodeLease * clockDriftFactor) -
           timerResolution;
}

void NodeLease::grant() {
    if (!replica_.synced()) return retryGrantLater();
    const auto sent = context_.now();
    context_.stateClient.grantLease(toSteadyDuration(context_.operatorSettings.nodeLease),
                                    [this, sent](std::uint64_t lease) {
                                        if (lease == 0) return retryGrantLater();
                                        writeNode(lease, sent);
                                    });
}

protocol::CompareAndSwap NodeLease::nodeTransaction(std::uint64_t lease) {
    protocol::CompareAndSwap transaction;
    auto clusterState = context_.clusterState.lock();
    const auto& name = context_.settings.name;
    const auto known = clusterState->nodes.find(name);
    // The version guards against a late write by an earlier process of this node, which would hang
    // the record on a lease that nobody renews.
    transaction.compares.push_back(
        {storage::keys::node(name), known == clusterState->nodes.end() ? 0 : known->second});
    // These guard against partitions that a peer has acquired while this node had no lease:
    // answering their workers once more would prolong leases that the new leader counts down.
    for (const auto& [partition, term] : acquiredTerms_.all())
        transaction.compares.push_back(
            {storage::keys::partition(partition), clusterState->partitions[partition].version});
    transaction.writes.push_back(
        {storage::keys::node(name), protocol::Json{{"term", clusterState->lastTerm}}, lease});
    // Feature gates hang on no lease and are never lowered: however late this write is carried out,
    // it says the truth.
    if (!clusterState->nodesWithJobDependencies.contains(name))
        transaction.writes.push_back(
            {storage::keys::jobDependenciesGate(name), storage::featureGateValue(), 0});
    if (!clusterState->nodesWithMachineTransfers.contains(name))
        transaction.writes.push_back(
            {storage::keys::machineTransfersGate(name), storage::featureGateValue(), 0});
    return transaction;
}

void NodeLease::writeNode(std::uint64_t lease, SteadyTime sent) {
    // Of very many partitions those that don't fit into the transaction are acquired anew.
    const auto maxCompares = std::max<std::size_t>(1, context_.settings.transactionConditions());
    acquiredTerms_.truncate(maxCompares - 1);
    const auto onAnswer = [this, lease, sent](const protocol::CompareAndSwapResponse& answer) {
        if (answer.result == protocol::StateResult::conflict) {
            onNodeRefused(answer.failed);
            return refreshNodeVersion(lease, sent);
        }
        if (answer.result != protocol::StateResult::ok) return retryGrantLater();
        onNodeWritten(lease, sent, answer.revision);
    };
    context_.stateClient.transact(nodeTransaction(lease), protocol::RequestPriority::lease,
                                  onAnswer);
}

void NodeLease::onNodeRefused(const std::vector<std::string>& failedKeys) {
    for (const auto& key : failedKeys)
        for (PartitionId partition = 0; partition < context_.partitionCount(); ++partition)
            if (key == storage::keys::partition(partition)) acquiredTerms_.forget(partition);
}

void NodeLease::onNodeWritten(std::uint64_t lease, SteadyTime sent, std::uint64_t revision) {
    context_.clusterState.lock()->nodes[context_.settings.name] = revision;
    id_ = lease;
    joined_ = true;
    validUntil_ = earliestExpiry(sent);
    spdlog::info("node_lease: joined lease={}", id_);
    context_.timers.after(toSteadyDuration(context_.operatorSettings.nodeLease / renewalsPerLease),
                          [this] { renew(); });
    observer_.onJoined();
}

void NodeLease::refreshNodeVersion(std::uint64_t lease, SteadyTime sent) {
    const auto key = storage::keys::node(context_.settings.name);
    context_.stateClient.read(key, [this, lease, sent](const protocol::ReadResponse& answer) {
        if (answer.result != protocol::StateResult::ok) return retryGrantLater();
        {
            auto clusterState = context_.clusterState.lock();
            if (answer.items.empty())
                clusterState->nodes.erase(context_.settings.name);
            else
                clusterState->nodes[context_.settings.name] = answer.items.front().version;
        }
        // Unless too little of the lease would be left.
        if (context_.now() - sent < toSteadyDuration(context_.operatorSettings.nodeLease / 2))
            writeNode(lease, sent);
        else
            retryGrantLater();
    });
}

void NodeLease::renew() {
    const auto sent = context_.now();
    context_.stateClient.renewLease(id_, [this, sent](protocol::StateResult result) {
        if (result == protocol::StateResult::conflict) {
            spdlog::info("node_lease: lease_lost lease={}", id_);
            joined_ = false;
            // Peers may have acquired this node's partitions; the transaction that writes the
            // node's record again finds out.
            return grant();
        }
        if (result == protocol::StateResult::ok)
            validUntil_ = std::max(validUntil_, earliestExpiry(sent));
        const auto pause =
            result == protocol::StateResult::ok
                ? toSteadyDuration(context_.operatorSettings.nodeLease / renewalsPerLease)
                : context_.jittered(retryDelay);
        context_.timers.after(pause, [this] { renew(); });
    });
}

}  // namespace fawnwheel::coordination
