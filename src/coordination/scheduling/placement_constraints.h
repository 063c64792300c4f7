/// @file
/// Rules for which machines may run a job's tasks and how much of a machine's capacity they may
/// use.
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Number of a job's allocations by zone. Allocations on unknown machines count under the empty
/// name.
using ZoneUse = std::map<std::string, std::uint32_t>;

/// Counts the job's allocations by zone.
[[nodiscard]] ZoneUse zoneUseOf(const ClusterState& clusterState, const Job& job);

/// Whether an empty machine of this type, zone and price model could run one task of the job.
[[nodiscard]] bool typeAllowed(const protocol::JobSpec& spec, const MachineType& type,
                               const std::string& zone, bool spot);

/// How many tasks of the job's size fit into this capacity, up to `limit`.
[[nodiscard]] std::uint32_t countFittingTasks(const Job& job, Resources capacity,
                                              std::uint32_t limit);

/// Whether new allocations may be made on the machine. Its record must exist, its worker must have
/// acknowledged this leader's fencing token and must send heartbeats in time. The machine must not
/// be leaving (transferred, decommissioned, drained, about to be interrupted) or excluded for a
/// fault.
[[nodiscard]] bool acceptsTasks(const Context& context, const Machine& machine);
/// Overload for loops that read the clock only once.
[[nodiscard]] bool acceptsTasks(const Context& context, const Machine& machine, SteadyTime now);

/// Whether the job may use the machine as far as loans between partitions are concerned. Always
/// true if the machine is not on loan.
[[nodiscard]] bool mayUseLoan(const Context& context, const Job& job, const Machine& machine);

/// Whether the job may use the machine and one more of its tasks fits beside the allocations and
/// the reservations for other jobs. Does not check `acceptsTasks`.
[[nodiscard]] bool canHost(const Context& context, const Job& job, const Machine& machine);

/// Reserves capacity for `tasks` tasks of the job on the machine, for `length` from now. Replaces
/// any earlier reservation.
void reserve(const Context& context, Machine& machine, const Job& job, std::uint32_t tasks,
             Duration length);

}  // namespace fawnwheel::coordination
