/// @file
/// What the fencing tokens that a worker has seen prove about it.
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Number of responses without any effect after which the worker is assumed not to receive them.
constexpr int maxIneffectiveResponses = 3;

/// Whether the worker has seen a fencing token of this leader. Such a worker rejects the responses
/// of earlier leaders.
[[nodiscard]] inline bool isFenced(const Machine& machine) {
    return machine.acknowledgedToken >= machine.firstFencingToken;
}

/// Whether this heartbeat itself carries a fencing token of this leader. Any other heartbeat may be
/// a late copy or may have been sent before this leader's term.
[[nodiscard]] inline bool isFenced(const Machine& machine, const protocol::Heartbeat& heartbeat) {
    return heartbeat.fencingToken >= machine.firstFencingToken;
}

/// Discards the proof that the worker receives responses. A heartbeat that carries `expectedToken`
/// has to prove it again.
inline void requireAcknowledgement(Machine& machine, std::uint64_t expectedToken, SteadyTime now) {
    machine.expectedToken = expectedToken;
    machine.unacknowledgedSince = now;
    machine.unacknowledgedResponses = 0;
}

/// Returns the status of this attempt at the task in the heartbeat, or null.
[[nodiscard]] inline const protocol::TaskStatus* findStatus(const protocol::Heartbeat& heartbeat,
                                                            const storage::TaskRef& ref) {
    for (const auto& task : heartbeat.tasks)
        if (task.index == ref.task && task.attempt == ref.attempt && task.job == ref.job)
            return &task;
    return nullptr;
}

}  // namespace fawnwheel::coordination
