// Heartbeats with text that is not UTF-8.
#include <gtest/gtest.h>

#include "protocol/names.h"
#include "sim/small_simulation.h"

namespace fawnwheel::sim {
namespace {

namespace wire = protocol::wire;
using protocol::Json;

constexpr auto invalidText = "text-\xff\xfe";

Json heartbeatWith(const std::string& field, const Json& value) {
    Json body{
        {wire::machine, "m-900001"}, {wire::address, "m-900001"}, {wire::type, "small"},
        {wire::zone, "a"},           {wire::spot, false},         {wire::agentEpoch, 1},
        {wire::sequence, 1},         {wire::fencingToken, 0},     {wire::tasks, Json::array()}};
    body[field] = value;
    return body;
}

// A machine that sends the same heartbeat to all nodes every second and follows the fencing token.
class RogueMachine {
  public:
    RogueMachine(Simulation& simulation, Json body)
        : simulation_(simulation), body_(std::move(body)) {
        sendToAll();
    }
    [[nodiscard]] const std::set<int>& statuses() const { return statuses_; }

  private:
    void sendToAll() {
        for (int node = 0; node < simulation_.nodeCount(); ++node) {
            body_[wire::sequence] = ++sequence_;
            body_[wire::fencingToken] = fencingToken_;
            simulation_.postHeartbeat(node, body_, [this](int status, std::uint64_t token) {
                statuses_.insert(status);
                fencingToken_ = std::max(fencingToken_, token);
            });
        }
        simulation_.at(simulation_.now() + Time(1), [this] { sendToAll(); });
    }

    Simulation& simulation_;
    Json body_;
    int sequence_ = 0;
    std::uint64_t fencingToken_ = 0;
    std::set<int> statuses_;
};

// The machine was taken in, and the state service refused its record together with those of the
// other machines in the transaction, again and again: jobs waited for ever beside idle machines.
TEST(HeartbeatText, ThatIsNotUtf8IsMalformedAndDoesNotBlockOtherMachines) {
    for (const auto* field : {wire::machine, wire::address, wire::type, wire::zone}) {
        SCOPED_TRACE(field);
        auto spec = smallSimulationSpec();
        spec.types.front().capacity = spec.types.front().spotCapacity = 0;
        spec.stateChecksText = true;
        Simulation simulation(spec);
        for (int i = 0; i < 3; ++i) simulation.addMachine("small", "a", false);
        const RogueMachine rogue(simulation, heartbeatWith(field, invalidText));
        for (int i = 0; i < 3; ++i)
            simulation.at(Time(3), [&simulation, i] {
                simulation.submit(smallJob("run-" + std::to_string(i)), Time(300), false);
            });
        simulation.run(Time(60));
        // The nodes do not serve before they have read the records.
        for (const int status : rogue.statuses())
            EXPECT_TRUE(status == 400 || status == 0) << status;
        for (int i = 0; i < 3; ++i)
            EXPECT_EQ(simulation.lastReportedState("run-" + std::to_string(i)), wire::stateRunning);
        EXPECT_TRUE(simulation.checker().violations().empty());
    }
}

}  // namespace
}  // namespace fawnwheel::sim
