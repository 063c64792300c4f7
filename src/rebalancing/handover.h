/// @file
/// Determines what has to change partition together with a machine so that its tasks keep running:
/// the slices of its tasks, split off from slices that also have tasks elsewhere, and whole gangs
/// with all their machines.
#pragma once

#include <map>
#include <string_view>
#include <variant>

#include "rebalancing/demand.h"
#include "storage/cluster_state.h"

namespace fawnwheel::rebalancing {

/// Why a machine can't be transferred.
enum class Refusal {
    notOurs,
    notRecorded,
    draining,      ///< decommissioned, draining, or with an interruption notice
    transferring,  ///< a transfer is in progress
    onLoan,
    reserved,
    silent,  ///< the latest heartbeat or acknowledgement is missing
    belowMinTenure,
    recordPending,  ///< a task's allocation is not durable yet
    taskStopping,
    gangStarting,       ///< or this leader has not seen all its tasks run
    jobEnding,          ///< cancelled, or its completion is being recorded
    jobMigrating,       ///< a slice is migrating to another partition
    quotaTransferring,  ///< a quota share of the team's limit is in transfer
    tooLarge,           ///< too many writes for one transaction
};
/// The reason in words, for the log.
[[nodiscard]] std::string_view toString(Refusal refusal);

/// The partition that receives a machine, and the precedence of its work.
struct Recipient {
    std::uint32_t partition = 0;
    std::uint32_t urgency = 0;
    std::uint64_t since = 0;
};

/// Constraints on a handover.
struct HandoverRules {
    std::uint32_t partition = 0;  ///< giving partition
    Recipient recipient;
    std::size_t maxWrites = 0;  ///< in one transaction
    storage::SteadyTime now{};
    storage::Duration minTenure{};        ///< shortest time that a partition keeps a machine
    storage::Duration maxHeartbeatAge{};  ///< greatest age of the latest heartbeat
    bool busyMachines = true;             ///< machines with tasks may be transferred
};

/// The ranges of a slice whose tasks change partition.
struct SliceHandover {
    std::string job;
    std::uint32_t slice = 0;
    std::vector<storage::TaskRange> ranges;
    std::size_t pieces = 1;  ///< number of slices after the split
};

/// Everything that changes partition together with a machine.
struct Handover {
    std::vector<std::string> machines;
    std::vector<SliceHandover> slices;
    std::vector<std::string> jobs;  ///< transferred whole, with their home partition
    std::map<std::string, storage::Resources> used;  ///< by the transferred tasks, by team
    std::size_t writes = 0;                          ///< records of machines, slices and jobs

    [[nodiscard]] std::size_t tasks() const;
};

using HandoverPlan = std::variant<Handover, Refusal>;

/// Whether the machine is reserved for work that the recipient's work does not precede. A gang that
/// is being assembled gives way to an earlier one of another partition: of two gangs that each hold
/// half of the machines they need, one gets all of them.
[[nodiscard]] bool isReservedForOtherWork(const storage::ClusterState& clusterState,
                                          const storage::Machine& machine,
                                          const Recipient& recipient, storage::SteadyTime now);

/// Collects everything that has to change partition with the machine, or says why it can't.
[[nodiscard]] HandoverPlan planHandover(storage::ClusterState& clusterState,
                                        const std::string& machine, const HandoverRules& rules);

}  // namespace fawnwheel::rebalancing
