/// @file
/// What a machine's fencing tokens prove about its worker.
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// After so many answers without any effect the worker is taken not to receive them.
constexpr int maxIneffectiveAnswers = 3;

/// The worker has seen a fencing token of this leader: it accepts no older leader's answers.
[[nodiscard]] inline bool isFenced(const Machine& machine) {
    return machine.acknowledgedToken >= machine.firstFencingToken;
}

/// The heartbeat itself shows a token of this leader. Any other may be a late copy, or from before
/// this leader's time.
[[nodiscard]] inline bool isFenced(const Machine& machine, const protocol::Heartbeat& heartbeat) {
    return heartbeat.fencingToken >= machine.firstFencingToken;
}

/// Nothing shows any more that the worker receives answers: it has to prove it by a heartbeat with
/// this token.
inline void requireAcknowledgement(Machine& machine, std::uint64_t expectedToken, SteadyTime now) {
    machine.expectedToken = expectedToken;
    machine.unacknowledgedSince = now;
    machine.unacknowledgedResponses = 0;
}

/// The heartbeat's status of the task in this attempt; null if it has none.
[[nodiscard]] inline const protocol::TaskStatus* findStatus(const protocol::Heartbeat& heartbeat,
                                                            const storage::TaskRef& ref) {
    for (const auto& task : heartbeat.tasks)
        if (task.index == ref.task && task.attempt == ref.attempt && task.job == ref.job)
            return &task;
    return nullptr;
}

}  // namespace fawnwheel::coordination
