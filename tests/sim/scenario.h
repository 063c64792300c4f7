// A scenario file: settings of a simulation, actions at set times and expectations.
// tests/scenarios/README.md describes its language.
#pragma once

#include "sim/scenario_line.h"
#include "sim/simulation.h"

namespace fawnwheel::sim {

class Scenario {
  public:
    // Throws `InvalidScenario` if the file cannot be read.
    explicit Scenario(const std::string& path) : lines_(readScenario(path)) {}

    // A large scenario limits the number of its seeds.
    [[nodiscard]] unsigned long long maxSeeds() const;
    // Costs and history of the last run.
    [[nodiscard]] const Costs& costs() const { return costs_; }
    [[nodiscard]] const HistoryDigest& history() const { return history_; }

    // Returns the failures; the scenario passed if there are none. Throws `InvalidScenario` if a
    // line has an unknown word.
    std::vector<std::string> run(std::uint64_t seed);

  private:
    std::vector<ScenarioLine> lines_;
    Costs costs_;
    HistoryDigest history_;
};

}  // namespace fawnwheel::sim
