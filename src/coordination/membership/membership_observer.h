/// @file
/// The interface through which membership reports changes of leadership and new cancellations.
#pragma once

#include <cstdint>

namespace fawnwheel::coordination {

/// Told by `Membership` of what the rest of the controller has to react to.
class MembershipObserver {
  public:
    virtual ~MembershipObserver() = default;

    /// This process now leads the partition and may act as its leader once this has returned.
    virtual void onPartitionAcquired(PartitionId partition) = 0;
    /// The partition was led here and is no longer, or was not for a while: what was concluded as
    /// its leader and is not recorded is void.
    virtual void onPartitionLost(PartitionId partition) = 0;
    /// Peers have told of cancellations that were unknown here.
    virtual void onCancellationsLearned() = 0;
};

}  // namespace fawnwheel::coordination
