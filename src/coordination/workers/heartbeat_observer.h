/// @file
/// The interface through which the handling of heartbeats reports what others have to react to.
#pragma once

#include "protocol/messages.h"

namespace fawnwheel::coordination {

/// Told by `HeartbeatHandler` of changes.
class HeartbeatObserver {
  public:
    virtual ~HeartbeatObserver() = default;

    /// A heartbeat has arrived of a machine that no record has assigned to a partition yet.
    virtual void onUnassignedHeartbeat(const protocol::Heartbeat& heartbeat) = 0;
    /// Machines or tasks have changed, so that scheduling may have something to do.
    virtual void onWorkersChanged() = 0;
};

}  // namespace fawnwheel::coordination
