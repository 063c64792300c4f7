// The audit of records, cluster states and machines must detect a record lost by the state service,
// and report nothing in a run without faults.
#include <gtest/gtest.h>

#include "sim/small_simulation.h"

namespace fawnwheel::sim {
namespace {

std::size_t countViolations(Simulation& simulation, const std::string& rule) {
    const auto& all = simulation.checker().violations();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [&rule](const auto& b) { return b.starts_with(rule + ":"); }));
}

class AuditTest : public ::testing::Test {
  protected:
    AuditTest() : simulation(smallSimulationSpec()) {
        for (int i = 0; i < 4; ++i) simulation.addMachine("small", "a", false);
        auto job = smallJob("run-1");
        job.tasks = 4;
        job.estimate = Time(500);
        simulation.at(Time(3), [this, job] { simulation.submit(job, Time(500), false); });
    }

    Simulation simulation;
};

TEST_F(AuditTest, ReportsNothingWithoutFaults) {
    simulation.run(Time(150));
    EXPECT_TRUE(simulation.checker().violations().empty());
}

TEST_F(AuditTest, ReportsTasksOfALiveJobWhoseSliceRecordIsLost) {
    simulation.at(Time(40), [this] { simulation.loseRecord("live/slice/run-1/0"); });
    simulation.run(Time(150));
    EXPECT_GE(countViolations(simulation, "orphaned"), 4U);
    EXPECT_EQ(countViolations(simulation, "audit"), 3U);  // one for each node
}

}  // namespace
}  // namespace fawnwheel::sim
