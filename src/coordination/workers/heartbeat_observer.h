/// @file
/// Interface through which heartbeat handling reports events to other modules.
#pragma once

#include "protocol/messages.h"

namespace fawnwheel::coordination {

/// Receives events from `HeartbeatHandler`.
class HeartbeatObserver {
  public:
    virtual ~HeartbeatObserver() = default;

    /// A heartbeat has arrived from a machine that no record assigns to a partition yet.
    virtual void onUnassignedHeartbeat(const protocol::Heartbeat& heartbeat) = 0;
    /// The state of machines or tasks has changed in a way that may require a scheduling round.
    virtual void onWorkersChanged() = 0;
};

}  // namespace fawnwheel::coordination
