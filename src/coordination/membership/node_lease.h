/// @file
/// The node's own lease with the state service: how it is requested, renewed and, after a loss,
/// requested again.
#pragma once

#include "coordination/membership/acquired_terms.h"
#include "coordination/replication/replica_status.h"

namespace fawnwheel::coordination {

/// Notified by `NodeLease` when the node has joined the cluster.
class NodeLeaseObserver {
  public:
    virtual ~NodeLeaseObserver() = default;

    /// The node's record has been written and is attached to a new lease.
    virtual void onJoined() = 0;
};

/// Keeps the node's record alive at the state service. The record is attached to a lease; while the
/// lease is valid no peer can have acquired the node's partitions.
class NodeLease {
  public:
    NodeLease(Context& context, AcquiredTerms& acquiredTerms, const ReplicaStatus& replica,
              NodeLeaseObserver& observer)
        : context_(context),
          acquiredTerms_(acquiredTerms),
          replica_(replica),
          observer_(observer) {}

    /// Requests a lease, retries until one is granted, and renews it from then on.
    void start() { requestLease(); }

    /// Whether the node's record was written with a lease that the state service has not refused to
    /// renew since. The lease may have expired unnoticed: see `isValid`.
    [[nodiscard]] bool joined() const { return joined_; }
    /// Whether the lease has certainly not expired, by this node's clock and with a margin for
    /// clock drift.
    [[nodiscard]] bool isValid() const { return joined_ && context_.now() < validUntil_; }

  private:
    void requestLease();
    void scheduleLeaseRequest();
    void writeNodeRecord(std::uint64_t leaseId, SteadyTime sentAt);
    [[nodiscard]] protocol::CompareAndSwap nodeRecordTransaction(std::uint64_t leaseId);
    void onNodeRecordRefused(const std::vector<std::string>& failedKeys);
    void onNodeRecordWritten(std::uint64_t leaseId, SteadyTime sentAt, std::uint64_t revision);
    void refreshNodeVersion(std::uint64_t leaseId, SteadyTime sentAt);
    void renew();
    /// The earliest time at which a lease can expire that was granted or renewed by a request sent
    /// at `sentAt`.
    [[nodiscard]] SteadyTime earliestExpiry(SteadyTime sentAt) const;

    Context& context_;
    AcquiredTerms& acquiredTerms_;
    const ReplicaStatus& replica_;
    NodeLeaseObserver& observer_;
    std::uint64_t leaseId_ = 0;
    bool joined_ = false;
    SteadyTime validUntil_{};
};

}  // namespace fawnwheel::coordination
