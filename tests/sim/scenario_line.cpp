#include "sim/scenario_line.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace fawnwheel::sim {

bool ScenarioLine::has(const std::string& key) const {
    return std::find(words.begin(), words.end(), key) != words.end();
}

std::string ScenarioLine::text(const std::string& key, const std::string& fallback) const {
    for (std::size_t i = 0; i + 1 < words.size(); ++i)
        if (words[i] == key) return words[i + 1];
    return fallback;
}

double ScenarioLine::number(const std::string& key, double fallback) const {
    const auto value = text(key);
    return value.empty() ? fallback : std::stod(value);
}

const std::string& ScenarioLine::at(std::size_t index) const {
    if (index >= words.size()) throw InvalidScenario("too few words: " + words.front());
    return words[index];
}

std::vector<std::string> splitNames(const std::string& text) {
    std::vector<std::string> list;
    std::istringstream in(text);
    for (std::string name; std::getline(in, name, ',');) list.push_back(name);
    return list;
}

std::vector<ScenarioLine> readScenario(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw InvalidScenario("cannot read " + path);
    std::vector<ScenarioLine> lines;
    for (std::string text; std::getline(file, text);) {
        std::istringstream in(text.substr(0, text.find('#')));
        ScenarioLine line;
        for (std::string word; in >> word;) line.words.push_back(word);
        if (!line.words.empty()) lines.push_back(std::move(line));
    }
    return lines;
}

}  // namespace fawnwheel::sim
