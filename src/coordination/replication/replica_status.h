/// @file
/// Read-only interface to the replica's state of synchronization.
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Says how complete and how current the cluster state is compared with the state service.
class ReplicaStatus {
  public:
    virtual ~ReplicaStatus() = default;

    /// Whether the cluster state holds all active records; false while they are read again.
    [[nodiscard]] virtual bool synced() const = 0;
    /// Whether this process has read all active records at least once.
    [[nodiscard]] virtual bool everSynced() const = 0;
    /// Every change that the state service committed before this time is known to this process.
    [[nodiscard]] virtual SteadyTime currentAsOf() const = 0;
    /// Whether watched changes are deferred until this node's own transactions have an outcome.
    [[nodiscard]] virtual bool hasDeferredEvents() const = 0;
};

}  // namespace fawnwheel::coordination
