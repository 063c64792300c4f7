/// @file
/// What other modules may ask the replica about the completeness of the cluster state.
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// How complete the cluster state is compared with the records of the state service.
class ReplicaStatus {
  public:
    virtual ~ReplicaStatus() = default;

    /// The cluster state holds all records; false while they are read anew.
    [[nodiscard]] virtual bool synced() const = 0;
    /// The records have been read in whole at least once by this process.
    [[nodiscard]] virtual bool everSynced() const = 0;
    /// Every change carried out before this moment is known here.
    [[nodiscard]] virtual SteadyTime currentAsOf() const = 0;
    /// The watch has brought changes that wait for transactions of this node to finish.
    [[nodiscard]] virtual bool hasDeferredEvents() const = 0;
};

}  // namespace fawnwheel::coordination
