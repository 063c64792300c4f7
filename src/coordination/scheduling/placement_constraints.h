/// @file
/// Which machines may run a job's tasks, and how much of a machine's capacity is open to them.
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// How many of a job's allocations lie in each zone; under the empty name: on unknown machines.
using ZoneUse = std::map<std::string, std::uint32_t>;

/// Counts the job's allocations by zone.
[[nodiscard]] ZoneUse zoneUseOf(const ClusterState& clusterState, const Job& job);

/// Whether an empty machine of this type, zone and price model could run one task of the job.
[[nodiscard]] bool typeAllowed(const protocol::JobSpec& spec, const MachineType& type,
                               const std::string& zone, bool spot);

/// How many tasks like the job's fit into this capacity, up to `limit`.
[[nodiscard]] std::uint32_t countFittingTasks(const Job& job, Resources capacity,
                                              std::uint32_t limit);

/// Whether new allocations may be made on the machine: recorded, acknowledged, sending heartbeats
/// in time, not on its way out, and not excluded for a fault.
[[nodiscard]] bool acceptsTasks(const Context& context, const Machine& machine);
/// The same, for a loop that reads the clock once.
[[nodiscard]] bool acceptsTasks(const Context& context, const Machine& machine, SteadyTime now);

/// Whether the job may use the machine although a peer may have lent it.
[[nodiscard]] bool mayUseLoan(const Context& context, const Job& job, const Machine& machine);

/// Whether one more task of the job may be placed on the machine, and fits beside what is allocated
/// and reserved there.
[[nodiscard]] bool canHost(const Context& context, const Job& job, const Machine& machine);

/// Reserves capacity for `tasks` tasks of the job on the machine, for `length` from now. Replaces
/// any earlier reservation.
void reserve(const Context& context, Machine& machine, const Job& job, std::uint32_t tasks,
             Duration length);

}  // namespace fawnwheel::coordination
