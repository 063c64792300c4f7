/// @file
/// The node's own lease with the state service: granted, renewed, lost and granted again.
#pragma once

#include "coordination/membership/acquired_terms.h"
#include "coordination/replication/replica_status.h"

namespace fawnwheel::coordination {

/// Told by `NodeLease` when the node has joined the cluster.
class NodeLeaseObserver {
  public:
    virtual ~NodeLeaseObserver() = default;

    /// The node's record hangs on a new lease.
    virtual void onJoined() = 0;
};

/// Keeps the node's record alive at the state service. The record hangs on a lease; while the lease
/// is valid no peer can have acquired the node's partitions.
class NodeLease {
  public:
    NodeLease(Context& context, AcquiredTerms& acquiredTerms, const ReplicaStatus& replica,
              NodeLeaseObserver& observer)
        : context_(context),
          acquiredTerms_(acquiredTerms),
          replica_(replica),
          observer_(observer) {}

    /// Requests a lease, again and again until there is one, and renews it from then on.
    void start() { grant(); }

    /// The node's record was written with a lease that the state service has not refused since. The
    /// lease may have run out unnoticed: see `isValid`.
    [[nodiscard]] bool joined() const { return joined_; }
    /// The lease has surely not run out, by this node's clock and with a margin for clock drift.
    [[nodiscard]] bool isValid() const { return joined_ && context_.now() < validUntil_; }

  private:
    void grant();
    void retryGrantLater();
    void writeNode(std::uint64_t lease, SteadyTime sent);
    [[nodiscard]] protocol::CompareAndSwap nodeTransaction(std::uint64_t lease);
    void onNodeRefused(const std::vector<std::string>& failedKeys);
    void onNodeWritten(std::uint64_t lease, SteadyTime sent, std::uint64_t revision);
    void refreshNodeVersion(std::uint64_t lease, SteadyTime sent);
    void renew();
    /// When a lease granted or renewed by a request sent at this moment ends at the earliest.
    [[nodiscard]] SteadyTime earliestExpiry(SteadyTime sent) const;

    Context& context_;
    AcquiredTerms& acquiredTerms_;
    const ReplicaStatus& replica_;
    NodeLeaseObserver& observer_;
    std::uint64_t id_ = 0;
    bool joined_ = false;
    SteadyTime validUntil_{};
};

}  // namespace fawnwheel::coordination
