// Computes a plan as a minimum-cost flow with Boost.Graph. The flow runs from a source through the
// supplies and the demands to a sink. Unmet demand flows from the source directly to the demand at
// the cost of lacking it, so that a flow that satisfies all demands always exists.
#include <algorithm>
#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/successive_shortest_path_nonnegative_weights.hpp>
#include <boost/property_map/function_property_map.hpp>

#include "rebalancing/transfer_plan.h"

namespace fawnwheel::rebalancing {

namespace {

struct TooManySteps {};

using Traits = boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using Edge = Traits::edge_descriptor;
using Vertex = Traits::vertex_descriptor;

struct EdgeData {
    std::int64_t capacity = 0;
    std::int64_t residual = 0;
    std::int64_t cost = 0;
    Edge reverse;
};

using Graph =
    boost::adjacency_list<boost::vecS, boost::vecS, boost::directedS, boost::no_property, EdgeData>;

class FlowNetwork {
  public:
    explicit FlowNetwork(std::size_t vertices) : graph_(vertices) {}

    Edge add(Vertex from, Vertex to, std::int64_t capacity, std::int64_t cost) {
        const auto forward =
            boost::add_edge(from, to, EdgeData{capacity, 0, cost, {}}, graph_).first;
        const auto backward = boost::add_edge(to, from, EdgeData{0, 0, -cost, {}}, graph_).first;
        graph_[forward].reverse = backward;
        graph_[backward].reverse = forward;
        return forward;
    }

    // Throws `TooManySteps` after examining `maxSteps` arcs.
    void solve(Vertex source, Vertex sink, std::size_t maxSteps) {
        std::size_t steps = 0;
        const auto cost = [this, &steps, maxSteps](const Edge& edge) {
            if (++steps > maxSteps) throw TooManySteps{};
            return graph_[edge].cost;
        };
        boost::successive_shortest_path_nonnegative_weights(
            graph_, source, sink,
            boost::capacity_map(boost::get(&EdgeData::capacity, graph_))
                .residual_capacity_map(boost::get(&EdgeData::residual, graph_))
                .reverse_edge_map(boost::get(&EdgeData::reverse, graph_))
                .weight_map(boost::make_function_property_map<Edge, std::int64_t>(cost)));
    }

    [[nodiscard]] std::int64_t flow(const Edge& edge) const {
        return graph_[edge].capacity - graph_[edge].residual;
    }

  private:
    Graph graph_;
};

}  // namespace

std::optional<TransferPlan> planByMinCostFlow(const PlanModel& model, std::size_t maxSteps) {
    const auto supplies = model.offered.size();
    const auto machineDemands = model.needed.size();
    const Vertex source = supplies + machineDemands;
    const Vertex sink = source + 1;
    // The solver examines each edge and its reverse at least once, so a smaller limit can't be met.
    if ((model.arcs.size() + supplies + machineDemands * 2) * 2 > maxSteps) return std::nullopt;
    FlowNetwork network(sink + 1);
    for (std::size_t i = 0; i < supplies; ++i) network.add(source, i, model.offered[i], 0);
    std::vector<Edge> unmetEdges;
    for (std::size_t i = 0; i < machineDemands; ++i) {
        unmetEdges.push_back(
            network.add(source, supplies + i, model.needed[i], model.unmetCost[i]));
        network.add(supplies + i, sink, model.needed[i], 0);
    }
    std::vector<Edge> arcs;
    for (const auto& arc : model.arcs) {
        const auto capacity = std::min(model.offered[arc.supply], model.needed[arc.machineDemand]);
        arcs.push_back(network.add(arc.supply, supplies + arc.machineDemand, capacity, arc.cost));
    }
    try {
        network.solve(source, sink, maxSteps);
    } catch (const TooManySteps&) {
        return std::nullopt;
    }
    TransferPlan plan;
    plan.method = PlanMethod::flow;
    for (std::size_t i = 0; i < arcs.size(); ++i) {
        const auto machines = network.flow(arcs[i]);
        plan.cost += machines * model.arcs[i].cost;
        if (machines > 0)
            plan.transfers.push_back({model.arcs[i].supply, model.arcs[i].machineDemand,
                                      static_cast<std::uint32_t>(machines)});
    }
    for (std::size_t i = 0; i < machineDemands; ++i)
        plan.cost += network.flow(unmetEdges[i]) * model.unmetCost[i];
    return plan;
}

}  // namespace fawnwheel::rebalancing
