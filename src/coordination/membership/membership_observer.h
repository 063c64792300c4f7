/// @file
/// The interface through which the membership module reports changes of leadership and new
/// cancellations.
#pragma once

#include <cstdint>

namespace fawnwheel::coordination {

/// Receives the events of `Membership` that the rest of the controller has to react to.
class MembershipObserver {
  public:
    virtual ~MembershipObserver() = default;

    /// This process has acquired the partition and may act as its leader once this call has
    /// returned.
    virtual void onPartitionAcquired(PartitionId partition) = 0;
    /// This process no longer leads the partition, or temporarily did not lead it. What this
    /// process concluded as leader and has not recorded is void.
    virtual void onPartitionLost(PartitionId partition) = 0;
    /// A peer has sent cancellations that were unknown to this node.
    virtual void onCancellationsLearned() = 0;
};

}  // namespace fawnwheel::coordination
