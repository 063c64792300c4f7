#include "coordination/membership/partition_leadership.h"

#include <spdlog/spdlog.h>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

// While the lease is valid, the state service is there, and the watch catches up within this.
constexpr auto maxWatchLag = 8s;

}  // namespace

bool PartitionLeadership::knowsCancellations() const {
    // A worker that is answered now is gone a lease later. A cancellation confirmed after the
    // moment up to which all of them are known here leaves its tasks `cancel_s`. Refused alone
    // before an outage for all, a leader once renewed leases for as long as that lasted, and tasks
    // ran on whose cancellation a peer had confirmed (cancellation_gap).
    // The slack is never exceeded, also not by a leader whose lease is valid while its watch lags.
    // Only where `cancel_s` leaves no slack beside a lease no leader could keep it by waiting.
    auto maxAge = context_.cancellationSlack();
    if (maxAge <= Duration::zero() && lease_.isValid()) maxAge = maxWatchLag;
    return context_.now() <= replica_.currentAsOf() + maxAge || peers_.cancellationsKnown(maxAge);
}

bool PartitionLeadership::canAnswerWorkers(PartitionId partition) const {
    if (!knowsCancellations()) return false;
    if (lease_.isValid()) return true;
    if (!lease_.joined() || context_.stateClient.reachable()) return false;
    // Every peer must have said so within `outageConfirmationValidity`: one that reaches the state
    // service again stops saying it before it can acquire anything, so a new leader has to wait
    // this much longer for the leases of this node's workers and no more. A peer may also have
    // acquired the partition before the outage, while this node was cut off: back among its peers
    // in the outage, a node once renewed leases that the new leader had counted down
    // (back_in_outage).
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
    // Only once `onPartitionAcquired` has put aside what was known of the partition's machines. A
    // failover right before an outage once acted on it earlier: leases seemed to have run out long
    // ago.
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
