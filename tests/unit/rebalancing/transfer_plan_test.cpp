// Averaged demands, transfer plans by minimum-cost flow and by the greedy method, and the rate
// limit on transfers.
#include "rebalancing/transfer_plan.h"

#include <gtest/gtest.h>

#include <random>

#include "rebalancing/transfer_rate_limiter.h"

namespace fawnwheel::rebalancing {
namespace {

constexpr std::size_t largeStepLimit = 10'000'000;

TaskShape shapeOf(double cpus, const std::string& zone = {}) {
    return {{cpus, 0, 1}, {}, zone, true};
}

Supply supplyOf(std::uint32_t partition, double cpus, std::uint32_t machines, bool busy = false) {
    return {partition, "large", "a", false, busy, {cpus, 0, 100}, machines};
}

MachineDemand demandOf(std::uint32_t partition, TaskShape shape, double tasks,
                       std::uint32_t urgency = 0) {
    return {partition, {std::move(shape), tasks, false, urgency}};
}

PlanInput inputOf(std::vector<Supply> supplies, std::vector<MachineDemand> machineDemands) {
    return {std::move(supplies), std::move(machineDemands), {{0, "a"}, {1, "a"}, {2, "b"}}};
}

std::int64_t machinesTo(const TransferPlan& plan, std::size_t machineDemand) {
    std::int64_t total = 0;
    for (const auto& move : plan.transfers)
        if (move.machineDemand == machineDemand) total += move.machines;
    return total;
}

TEST(TransferPlan, TakesIdleMachinesBeforeBusyOnesAndNoMoreThanNeeded) {
    const auto input =
        inputOf({supplyOf(1, 8, 5, true), supplyOf(2, 8, 2)}, {demandOf(0, shapeOf(4), 6)});
    const auto plan = makePlan(input, largeStepLimit);
    EXPECT_EQ(plan.method, PlanMethod::flow);
    EXPECT_EQ(machinesTo(plan, 0), 3);
    for (const auto& move : plan.transfers) EXPECT_EQ(move.machines, move.supply == 1 ? 2U : 1U);
    EXPECT_EQ(targets(input, plan, {{0, 1}, {1, 5}, {2, 2}}),
              (std::map<std::uint32_t, std::int64_t>{{0, 4}, {1, 4}, {2, 0}}));
}

TEST(TransferPlan, SkipsTheOwnPartitionAndUnsuitableMachines) {
    auto input = inputOf({supplyOf(0, 8, 5)}, {demandOf(0, shapeOf(4), 6)});
    EXPECT_TRUE(makePlan(input, largeStepLimit).transfers.empty());
    input.machineDemands = {demandOf(1, shapeOf(9), 6), demandOf(1, shapeOf(4, "b"), 6)};
    EXPECT_TRUE(makePlan(input, largeStepLimit).transfers.empty());
    input.supplies[0].spot = true;
    input.machineDemands = {demandOf(1, shapeOf(4), 6)};
    input.machineDemands[0].demand.shape.spot = false;
    EXPECT_TRUE(makePlan(input, largeStepLimit).transfers.empty());
}

TEST(TransferPlan, ServesMoreUrgentDemandFirst) {
    const auto input = inputOf({supplyOf(2, 8, 3)},
                               {demandOf(0, shapeOf(8), 3, 0), demandOf(1, shapeOf(8), 2, 4)});
    for (const auto& plan : {makePlan(input, largeStepLimit), makePlan(input, 0)}) {
        EXPECT_EQ(machinesTo(plan, 1), 2);
        EXPECT_EQ(machinesTo(plan, 0), 1);
    }
}

// Guards against passing machines back and forth: of two gangs that could use each other's
// machines, the earlier one gets them and gives none.
TEST(TransferPlan, LaterOfTwoDemandsGivesItsMachines) {
    auto input = inputOf({supplyOf(0, 8, 3), supplyOf(1, 8, 3)},
                         {demandOf(0, shapeOf(8), 2), demandOf(1, shapeOf(8), 2)});
    input.machineDemands[0].demand.since = 500;
    input.machineDemands[1].demand.since = 400;
    for (const auto& plan : {makePlan(input, largeStepLimit), makePlan(input, 0)}) {
        EXPECT_EQ(machinesTo(plan, 0), 0);
        EXPECT_EQ(machinesTo(plan, 1), 2);
    }
    input.machineDemands[0].demand.urgency = 1;
    EXPECT_EQ(machinesTo(makePlan(input, largeStepLimit), 0), 2);
    EXPECT_EQ(machinesTo(makePlan(input, largeStepLimit), 1), 0);
}

// The greedy plan gives the large machines, which could serve both demands, to the first and leaves
// the second, which fits nowhere else, without any.
TEST(TransferPlan, FlowServesDemandThatTheGreedyPlanLeavesUnmet) {
    auto onlyLarge = shapeOf(8);
    auto any = shapeOf(2);
    auto small = supplyOf(2, 2, 2, true);
    small.type = "small";
    const auto input =
        inputOf({supplyOf(2, 8, 2), small}, {demandOf(0, any, 8), demandOf(1, onlyLarge, 2)});
    const auto flow = makePlan(input, largeStepLimit);
    const auto greedy = makePlan(input, 0);
    EXPECT_EQ(greedy.method, PlanMethod::greedy);
    EXPECT_LT(flow.cost, greedy.cost);
    EXPECT_EQ(machinesTo(flow, 0) + machinesTo(flow, 1), 4);
    EXPECT_EQ(machinesTo(greedy, 1), 0);
}

TEST(TransferPlan, PlansRespectSuppliesAndFlowNeverCostsMore) {
    std::mt19937 rng(7);
    const auto number = [&rng](int least, int most) {
        return std::uniform_int_distribution<>(least, most)(rng);
    };
    for (int round = 0; round < 300; ++round) {
        PlanInput input = inputOf({}, {});
        for (int i = number(1, 12); i > 0; --i)
            input.supplies.push_back(
                supplyOf(static_cast<std::uint32_t>(number(0, 2)), number(1, 32),
                         static_cast<std::uint32_t>(number(0, 9)), number(0, 1) == 1));
        for (int i = number(1, 8); i > 0; --i)
            input.machineDemands.push_back(
                demandOf(static_cast<std::uint32_t>(number(0, 2)),
                         shapeOf(number(1, 32), number(0, 3) == 0 ? "b" : ""), number(1, 40),
                         static_cast<std::uint32_t>(number(0, 7))));
        const auto model = makeModel(input);
        const auto flow = planByMinCostFlow(model, largeStepLimit);
        ASSERT_TRUE(flow.has_value());
        const auto greedy = planGreedily(model);
        EXPECT_LE(flow->cost, greedy.cost) << "round " << round;
        for (const auto& plan : {*flow, greedy}) {
            auto offered = model.offered;
            auto needed = model.needed;
            for (const auto& move : plan.transfers) {
                EXPECT_GE(offered[move.supply] -= move.machines, 0);
                EXPECT_GE(needed[move.machineDemand] -= move.machines, 0);
                EXPECT_NE(input.supplies[move.supply].partition,
                          input.machineDemands[move.machineDemand].partition);
            }
        }
    }
}

TEST(TransferPlan, ExceedingTheStepLimitFallsBackToTheGreedyPlan) {
    PlanInput input = inputOf({}, {});
    for (std::uint32_t i = 0; i < 40; ++i) input.supplies.push_back(supplyOf(i % 3, 4 + i, 3));
    for (std::uint32_t i = 0; i < 40; ++i)
        input.machineDemands.push_back(demandOf(i % 3, shapeOf(1 + i), 9));
    EXPECT_EQ(makePlan(input, 6000).method, PlanMethod::greedy);
    EXPECT_EQ(makePlan(input, largeStepLimit).method, PlanMethod::flow);
}

TEST(DemandAverage, RequestsNothingBelowLowAndEverythingAboveHigh) {
    DemandAverage average({2, 10, 0.5});
    const std::vector<Demand> three{{shapeOf(1), 3, false, 1}};
    average.sample({{shapeOf(1), 3, false, 1}});
    EXPECT_TRUE(average.requested().empty());  // 1.5
    average.sample(three);
    ASSERT_EQ(average.requested().size(), 1U);  // average 2.25: at least one whole task
    EXPECT_EQ(average.requested().front().tasks, 1);
    for (int i = 0; i < 12; ++i) average.sample({{shapeOf(1), 40, false, 1}});
    EXPECT_EQ(average.requested().front().tasks, 40);
    EXPECT_TRUE(average.isShortOf("large", "a", true, {1, 0, 1}));
    EXPECT_FALSE(average.isShortOf("large", "a", true, {0.5, 0, 1}));
    average.sample({});
    EXPECT_TRUE(average.requested().empty());
}

TEST(DemandAverage, RequestsAllTasksOfAGang) {
    DemandAverage average({1, 100, 1});
    average.sample({{shapeOf(1), 12, true, 1}});
    EXPECT_EQ(average.requested().front().tasks, 12);
}

TEST(TransferRateLimiter, LimitsTransfersAndWrites) {
    using namespace std::chrono_literals;
    TransferRateLimiter limiter;
    const transport::SteadyTime start{1h};
    limiter.fill(start, {1, 2});
    EXPECT_TRUE(limiter.allows());
    limiter.consume(1, 7);
    EXPECT_FALSE(limiter.allows());
    limiter.fill(start + 2s, {1, 2});
    EXPECT_FALSE(limiter.allows());  // the balance of writes is still negative
    limiter.fill(start + 4s, {1, 2});
    EXPECT_TRUE(limiter.allows());
    limiter.fill(start + 1h, {1, 2});
    limiter.consume(4, 0);
    EXPECT_TRUE(limiter.allows());
    limiter.consume(1, 0);
    EXPECT_FALSE(limiter.allows());  // the bucket holds only five seconds' worth of tokens
}

}  // namespace
}  // namespace fawnwheel::rebalancing
