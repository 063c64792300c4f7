// One line of a scenario file, split into words.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace fawnwheel::sim {

// The scenario file cannot be read, or a line of it has an unknown word or too few words.
struct InvalidScenario : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The words of a line: a statement, then options and keys followed by their values.
struct ScenarioLine {
    std::vector<std::string> words;

    [[nodiscard]] bool has(const std::string& key) const;
    // The word after the key, or the fallback if the key is missing.
    [[nodiscard]] std::string text(const std::string& key, const std::string& fallback = {}) const;
    [[nodiscard]] double number(const std::string& key, double fallback = 0) const;
    // The word at this position. Throws `InvalidScenario` if there are too few words.
    [[nodiscard]] const std::string& at(std::size_t index) const;
    [[nodiscard]] double numberAt(std::size_t index) const { return std::stod(at(index)); }
};

// Splits "a,b" at its commas.
std::vector<std::string> splitNames(const std::string& text);

// Reads the lines of a scenario file without comments and empty lines.
std::vector<ScenarioLine> readScenario(const std::string& path);

}  // namespace fawnwheel::sim
