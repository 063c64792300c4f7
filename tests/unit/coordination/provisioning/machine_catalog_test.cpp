// Catalogs of the cloud with text that is not UTF-8.
#include <gtest/gtest.h>

#include "protocol/names.h"
#include "sim/small_simulation.h"

namespace fawnwheel::sim {
namespace {

namespace wire = protocol::wire;

// One bad entry of the catalog ended each controller that led partition 0, when it measured the
// catalog's record. The other types must be used as if the entry did not exist.
TEST(MachineCatalog, TypeWithInvalidTextIsLeftOutAndEndsNoController) {
    auto spec = smallSimulationSpec();
    spec.types.insert(spec.types.begin(), spec.types.front());
    spec.types.front().type.name = "type-\xff\xfe";
    Simulation simulation(spec);
    simulation.at(Time(3), [&] { simulation.submit(smallJob("run-1"), Time(300), false); });
    simulation.at(Time(20), [&] { simulation.kill(0, Time(2)); });
    simulation.run(Time(60));
    EXPECT_EQ(simulation.lastReportedState("run-1"), wire::stateRunning);
    EXPECT_TRUE(simulation.checker().violations().empty());
}

}  // namespace
}  // namespace fawnwheel::sim
