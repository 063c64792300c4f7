/// @file
/// Which machines should go from which partition to which other, so that as much as possible of
/// what the partitions lack finds room at the least cost of moves.
#pragma once

#include <map>
#include <optional>

#include "rebalancing/demand.h"

namespace fawnwheel::rebalancing {

/// Equal machines of a partition that could serve others.
struct Supply {
    std::uint32_t partition = 0;
    std::string type;
    std::string zone;
    bool spot = false;
    bool busy = false;  ///< runs tasks, which go with it
    protocol::Resources free;
    std::uint32_t machines = 0;
};

/// What a partition lacks beyond what its own machines, also those that are still coming up, have
/// room for.
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

/// Machines of one supply that go to one demand.
struct MachineTransfer {
    std::size_t supply = 0;         ///< of `PlanInput::supplies`
    std::size_t machineDemand = 0;  ///< of `PlanInput::machineDemands`
    std::uint32_t machines = 0;
};

/// How a plan was found: by minimum-cost flow, or greedily.
enum class PlanMethod { flow, greedy };

/// The transfers to carry out, and how they were found.
struct TransferPlan {
    std::vector<MachineTransfer> transfers;
    std::int64_t cost = 0;  ///< of moves, and of machines that are still lacking
    PlanMethod method = PlanMethod::flow;
};

/// The problem with numbers in place of names: a transportation problem in machines.
struct PlanModel {
    struct Arc {
        std::size_t supply = 0;
        std::size_t machineDemand = 0;
        std::int64_t cost = 0;  // of one machine
    };
    std::vector<std::int64_t> offered;  ///< machines, by supply
    std::vector<std::int64_t> needed;   ///< machines, by demand
    std::vector<std::int64_t> lacking;  ///< cost of a machine that is not found, by demand
    std::vector<Arc> arcs;
};

/// Builds the transportation problem; makes no transfers.
[[nodiscard]] PlanModel makeModel(const PlanInput& input);

/// In the order of urgency, the cheapest machines first.
[[nodiscard]] TransferPlan planGreedily(const PlanModel& model);
/// The least cost by a minimum-cost flow; none: not found after examining `maxSteps` arcs.
[[nodiscard]] std::optional<TransferPlan> planByMinCostFlow(const PlanModel& model,
                                                            std::size_t maxSteps);
/// By flow, and greedily where that takes too long.
[[nodiscard]] TransferPlan makePlan(const PlanInput& input, std::size_t maxSteps);

/// Machines that each partition would have after the plan, by partition.
[[nodiscard]] std::map<std::uint32_t, std::int64_t> targets(
    const PlanInput& input, const TransferPlan& plan, std::map<std::uint32_t, std::int64_t> held);

}  // namespace fawnwheel::rebalancing
