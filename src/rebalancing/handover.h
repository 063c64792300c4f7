/// @file
/// What has to change hands together with a machine, so that its tasks notice nothing: the slices
/// of its tasks, divided off where others have tasks in them, and whole gangs with all their
/// machines.
#pragma once

#include <map>
#include <string_view>
#include <variant>

#include "rebalancing/demand.h"
#include "storage/cluster_state.h"

namespace fawnwheel::rebalancing {

/// Why a machine stays where it is.
enum class Refusal {
    notOurs,
    notRecorded,
    leaving,       ///< decommissioned, drained or noticed
    transferring,  ///< already
    onLoan,
    reserved,
    silent,  ///< not heard of for too long to be sure of it
    belowMinTenure,
    recordPending,  ///< a task's allocation is not durable yet
    taskStopping,
    gangStarting,  ///< or it has not been seen running by this leader
    jobEnding,     ///< cancelled, or its end is being recorded
    jobLeaving,    ///< to a peer, as work that is migrated
    limitMoving,   ///< a quota share of its team's limit is under way
    tooLarge,      ///< for one transaction
};
/// The reason in words, for the log.
[[nodiscard]] std::string_view toString(Refusal refusal);

/// The partition that gets a machine, and how its work stands among that of others.
struct Recipient {
    std::uint32_t partition = 0;
    std::uint32_t urgency = 0;
    std::uint64_t since = 0;
};

/// What a handover has to comply with.
struct HandoverRules {
    std::uint32_t partition = 0;  ///< that gives
    Recipient recipient;
    std::size_t maxWrites = 0;  ///< of one transaction
    storage::SteadyTime now{};
    storage::Duration minTenure{};  ///< shortest time that a partition keeps a machine
    storage::Duration silent{};     ///< a heartbeat must not be older
    bool busyMachines = true;
};

/// The ranges of a slice whose tasks go.
struct SliceHandover {
    std::string job;
    std::uint32_t slice = 0;
    std::vector<storage::TaskRange> ranges;
    std::size_t pieces = 1;  ///< that the slice becomes
};

/// Everything that changes leader together with a machine.
struct Handover {
    std::vector<std::string> machines;
    std::vector<SliceHandover> slices;
    std::vector<std::string> jobs;                   ///< that go as a whole, with their home
    std::map<std::string, storage::Resources> used;  ///< by team
    std::size_t writes = 0;                          ///< of machines, slices and jobs

    [[nodiscard]] std::size_t tasks() const;
};

using HandoverPlan = std::variant<Handover, Refusal>;

/// Whether the machine is kept for work that the recipient's does not precede. A gang that gathers
/// machines gives way to an earlier one of another partition: of two that each hold half of what
/// both need, one gets all.
[[nodiscard]] bool keptForOthers(const storage::ClusterState& clusterState,
                                 const storage::Machine& machine, const Recipient& recipient,
                                 storage::SteadyTime now);

/// All that goes with the machine.
[[nodiscard]] HandoverPlan planHandover(storage::ClusterState& clusterState,
                                        const std::string& machine, const HandoverRules& rules);

}  // namespace fawnwheel::rebalancing
