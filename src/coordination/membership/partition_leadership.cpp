#include "coordination/membership/partition_leadership.h"

#include <spdlog/spdlog.h>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

// While the lease is valid the state service is reachable, and the watch catches up within this
// time.
constexpr auto maxWatchLag = 8s;

}  // namespace

bool PartitionLeadership::areCancellationsCurrent() const {
    // A worker that is answered now may run its tasks for one more lease. The tasks of a cancelled
    // job must end within `cancel_s` of the confirmation, and a cancellation that a peer has
    // confirmed recently may be unknown here. Without this check, a leader that the state service
    // refuses just before an outage for all nodes renews leases for the whole outage, and tasks
    // keep running although a peer has confirmed their cancellation (scenario
    // cancel_while_leader_refused). The slack also limits a leader whose lease is valid while its
    // watch lags. If `cancel_s` leaves no slack beyond a lease, no leader could meet the limit by
    // waiting; `maxWatchLag` then applies instead while the node's lease is valid.
    auto maxAge = context_.cancellationSlack();
    if (maxAge <= Duration::zero() && lease_.isValid()) maxAge = maxWatchLag;
    return context_.now() <= replica_.currentAsOf() + maxAge || peers_.cancellationsKnown(maxAge);
}

bool PartitionLeadership::canAnswerWorkers(PartitionId partition) const {
    if (!areCancellationsCurrent()) return false;
    if (lease_.isValid()) return true;
    if (!lease_.joined() || context_.stateClient.reachable()) return false;
    // Every peer must have confirmed the outage within `outageConfirmationValidity`. A peer that
    // reaches the state service again stops confirming the outage before it can acquire a
    // partition, so a new leader has to wait only this much longer for the leases of this node's
    // workers to expire. A peer may also have acquired the partition before the outage, while this
    // node was cut off. Without the comparison of terms, this node would return to its peers during
    // the outage and renew leases that the new leader considers expired (scenario
    // isolated_leader_returns_in_outage).
    return peers_.outageConfirmedByAll(partition, acquiredTerms_.termOf(partition).value_or(0));
}

bool PartitionLeadership::isCaughtUp(PartitionId partition) const {
    if (!acquiredTerms_.isRecordedLeader(partition) || !lease_.joined() || !replica_.synced())
        return false;
    auto clusterState = context_.clusterState.lock();
    return clusterState->appliedRevision >= clusterState->partitions[partition].version;
}

bool PartitionLeadership::isAnnounced(PartitionId partition) const {
    const auto announced = announcedTerms_.find(partition);
    return announced != announcedTerms_.end() &&
           announced->second == acquiredTerms_.termOf(partition);
}

bool PartitionLeadership::isLeader(PartitionId partition) const {
    // `onPartitionAcquired` must first have reset what this process knew about the partition's
    // machines. Otherwise, after a failover right before an outage, this process would act on
    // outdated contact times, by which workers' leases seem to have expired long ago.
    return isCaughtUp(partition) && isAnnounced(partition);
}

std::vector<std::uint32_t> PartitionLeadership::ledPartitions() const {
    std::vector<std::uint32_t> partitions;
    for (PartitionId partition = 0; partition < context_.partitionCount(); ++partition)
        if (isLeader(partition)) partitions.push_back(partition);
    return partitions;
}

std::uint64_t PartitionLeadership::term(PartitionId partition) const {
    return context_.clusterState.lock()->partitions[partition].term;
}

void PartitionLeadership::announceLosses() {
    std::vector<std::uint32_t> lost;
    for (const auto& [partition, term] : announcedTerms_)
        if (!acquiredTerms_.isRecordedLeader(partition)) lost.push_back(partition);
    for (const auto partition : lost) {
        announcedTerms_.erase(partition);
        observer_.onPartitionLost(partition);
    }
}

void PartitionLeadership::announceAcquisitions() {
    for (PartitionId partition = 0; partition < context_.partitionCount(); ++partition) {
        if (!isCaughtUp(partition) || replica_.hasDeferredEvents() || isAnnounced(partition))
            continue;
        const auto term = *acquiredTerms_.termOf(partition);
        announcedTerms_[partition] = term;
        spdlog::info("membership: partition_active partition={} term={}", partition, term);
        observer_.onPartitionAcquired(partition);
    }
}

}  // namespace fawnwheel::coordination
