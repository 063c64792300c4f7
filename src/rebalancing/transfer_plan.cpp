#include "rebalancing/transfer_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fawnwheel::rebalancing {

namespace {

constexpr std::int64_t transferCost = 10;
constexpr std::int64_t busyCost = 10;      // running tasks are transferred too, with more records
constexpr std::int64_t crossZoneCost = 3;  // a machine in another zone than its new leader
constexpr std::int64_t worstFitCost = 8;   // for a machine that fits only one task
constexpr std::int64_t unmetDemandCost = 100;
constexpr std::uint32_t maxFittingTasks = 64;  // counted per machine; more make no difference

std::uint32_t fittingTasks(const Supply& supply, const MachineDemand& machineDemand) {
    return machineDemand.demand.shape.countFitting(supply.type, supply.zone, supply.spot,
                                                   supply.free, maxFittingTasks);
}

std::int64_t costOf(const PlanInput& input, const Supply& supply,
                    const MachineDemand& machineDemand, std::uint32_t fitting) {
    std::int64_t cost = transferCost + worstFitCost / fitting;
    if (supply.busy) cost += busyCost;
    const auto zone = input.zones.find(machineDemand.partition);
    if (zone != input.zones.end() && zone->second != supply.zone) cost += crossZoneCost;
    return cost;
}

// Whether the supply's own partition has demand that could use it and is not preceded by the other
// demand. Without this check, two controllers with a gang each kept passing the same machines back
// and forth (scenario rebalancing_machines_fail).
bool isNeededByEarlierDemand(const PlanInput& input, const Supply& supply,
                             const MachineDemand& machineDemand) {
    return std::any_of(
        input.machineDemands.begin(), input.machineDemands.end(), [&](const MachineDemand& own) {
            return own.partition == supply.partition &&
                   !machineDemand.demand.precedes(own.demand) && fittingTasks(supply, own) > 0;
        });
}

}  // namespace

PlanModel makeModel(const PlanInput& input) {
    PlanModel model;
    for (const auto& supply : input.supplies) model.offered.push_back(supply.machines);
    for (std::size_t machineDemand = 0; machineDemand < input.machineDemands.size();
         ++machineDemand) {
        const auto& wanted = input.machineDemands[machineDemand];
        std::uint32_t best = 1;
        for (std::size_t supply = 0; supply < input.supplies.size(); ++supply) {
            const auto& offer = input.supplies[supply];
            const auto fitting = fittingTasks(offer, wanted);
            if (fitting == 0 || offer.partition == wanted.partition ||
                isNeededByEarlierDemand(input, offer, wanted))
                continue;
            best = std::max(best, fitting);
            model.arcs.push_back({supply, machineDemand, costOf(input, offer, wanted, fitting)});
        }
        model.needed.push_back(static_cast<std::int64_t>(std::ceil(wanted.demand.tasks / best)));
        model.unmetCost.push_back(unmetDemandCost * (1 + std::int64_t{wanted.demand.urgency}));
    }
    return model;
}

TransferPlan planGreedily(const PlanModel& model) {
    TransferPlan plan;
    plan.method = PlanMethod::greedy;
    auto offered = model.offered;
    auto needed = model.needed;
    std::vector<std::size_t> order(model.arcs.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&model](std::size_t one, std::size_t other) {
        const auto& a = model.arcs[one];
        const auto& b = model.arcs[other];
        return std::pair(-model.unmetCost[a.machineDemand], a.cost) <
               std::pair(-model.unmetCost[b.machineDemand], b.cost);
    });
    for (const auto index : order) {
        const auto& arc = model.arcs[index];
        const auto machines = std::min(offered[arc.supply], needed[arc.machineDemand]);
        if (machines <= 0) continue;
        offered[arc.supply] -= machines;
        needed[arc.machineDemand] -= machines;
        plan.cost += machines * arc.cost;
        plan.transfers.push_back(
            {arc.supply, arc.machineDemand, static_cast<std::uint32_t>(machines)});
    }
    for (std::size_t machineDemand = 0; machineDemand < needed.size(); ++machineDemand)
        plan.cost += needed[machineDemand] * model.unmetCost[machineDemand];
    return plan;
}

TransferPlan makePlan(const PlanInput& input, std::size_t maxSteps) {
    const auto model = makeModel(input);
    if (auto plan = planByMinCostFlow(model, maxSteps)) return *plan;
    return planGreedily(model);
}

std::map<std::uint32_t, std::int64_t> targets(const PlanInput& input, const TransferPlan& plan,
                                              std::map<std::uint32_t, std::int64_t> held) {
    for (const auto& transfer : plan.transfers) {
        held[input.supplies[transfer.supply].partition] -= transfer.machines;
        held[input.machineDemands[transfer.machineDemand].partition] += transfer.machines;
    }
    return held;
}

}  // namespace fawnwheel::rebalancing
