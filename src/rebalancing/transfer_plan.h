/// @file
/// Plans which machines to transfer between partitions, so that as much unmet demand as possible is
/// served at the least transfer cost.
#pragma once

#include <map>
#include <optional>

#include "rebalancing/demand.h"

namespace fawnwheel::rebalancing {

/// Equal machines of a partition that could serve other partitions.
struct Supply {
    std::uint32_t partition = 0;
    std::string type;
    std::string zone;
    bool spot = false;
    bool busy = false;  ///< they run tasks, which are transferred too
    protocol::Resources free;
    std::uint32_t machines = 0;
};

/// Demand of a partition that fits neither on its machines nor on those still booting.
struct MachineDemand {
    std::uint32_t partition = 0;
    Demand demand;
};

/// Snapshot of supply and demand that a plan is made for.
struct PlanInput {
    std::vector<Supply> supplies;
    std::vector<MachineDemand> machineDemands;
    std::map<std::uint32_t, std::string> zones;  ///< of the partitions' leaders
};

/// Machines of one supply that are transferred to one demand.
struct MachineTransfer {
    std::size_t supply = 0;         ///< index in `PlanInput::supplies`
    std::size_t machineDemand = 0;  ///< index in `PlanInput::machineDemands`
    std::uint32_t machines = 0;
};

/// How a plan was found: by minimum-cost flow, or greedily.
enum class PlanMethod { flow, greedy };

/// The transfers to execute, and how they were found.
struct TransferPlan {
    std::vector<MachineTransfer> transfers;
    std::int64_t cost = 0;  ///< of the transfers and the unmet demand
    PlanMethod method = PlanMethod::flow;
};

/// The input as a transportation problem: counts of machines, and arcs between indices.
struct PlanModel {
    struct Arc {
        std::size_t supply = 0;
        std::size_t machineDemand = 0;
        std::int64_t cost = 0;  // of one machine
    };
    std::vector<std::int64_t> offered;    ///< machines, by supply
    std::vector<std::int64_t> needed;     ///< machines, by demand
    std::vector<std::int64_t> unmetCost;  ///< cost of each machine not found, by demand
    std::vector<Arc> arcs;
};

/// Builds the transportation problem without solving it.
[[nodiscard]] PlanModel makeModel(const PlanInput& input);

/// Serves the most urgent demands first, each from its cheapest machines.
[[nodiscard]] TransferPlan planGreedily(const PlanModel& model);
/// Finds the least cost as a minimum-cost flow; none after examining `maxSteps` arcs.
[[nodiscard]] std::optional<TransferPlan> planByMinCostFlow(const PlanModel& model,
                                                            std::size_t maxSteps);
/// Plans by flow, or greedily if no flow is found within `maxSteps` arcs.
[[nodiscard]] TransferPlan makePlan(const PlanInput& input, std::size_t maxSteps);

/// Number of machines after the plan, by partition, from the numbers before it.
[[nodiscard]] std::map<std::uint32_t, std::int64_t> targets(
    const PlanInput& input, const TransferPlan& plan, std::map<std::uint32_t, std::int64_t> held);

}  // namespace fawnwheel::rebalancing
