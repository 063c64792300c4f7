// The actions of scenario files: requests of users and faults at a set time.
#pragma once

#include "sim/scenario_line.h"
#include "sim/simulation.h"

namespace fawnwheel::sim {

// Performs the action of a line "at S ACTION ...". Throws `InvalidScenario` if it is unknown.
void performAction(Simulation& simulation, const ScenarioLine& line);

}  // namespace fawnwheel::sim
