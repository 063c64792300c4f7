// Parses the operators' INI file with inih.
#include <ini.h>

#include <charconv>
#include <functional>

#include "config/settings.h"

namespace fawnwheel::config {

namespace {

double numberFrom(const std::string& field, const std::string& text, double minValue,
                  double maxValue) {
    double value = 0;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    if (error != std::errc{} || end != last || !(value >= minValue && value <= maxValue))
        throw SettingsError(field + ": must be a number from " + std::to_string(minValue) + " to " +
                            std::to_string(maxValue));
    return value;
}

using Setter =
    std::function<void(OperatorSettings&, const std::string& field, const std::string& value)>;

// Selects the field that stores a value: a field of the settings or of one of their sections.
template <typename Value>
using Field = std::function<Value&(OperatorSettings&)>;

template <typename Value>
Field<Value> field(Value OperatorSettings::*member) {
    return [member](OperatorSettings& s) -> Value& { return s.*member; };
}

template <typename Value>
Field<Value> field(Value RebalancingSettings::*member) {
    return [member](OperatorSettings& s) -> Value& { return s.rebalancing.*member; };
}

Setter number(const Field<double>& target, double minValue, double maxValue) {
    return [=](OperatorSettings& s, const std::string& name, const std::string& value) {
        target(s) = numberFrom(name, value, minValue, maxValue);
    };
}

Setter count(const Field<std::size_t>& target, double minValue, double maxValue) {
    return [=](OperatorSettings& s, const std::string& name, const std::string& value) {
        target(s) = static_cast<std::size_t>(numberFrom(name, value, minValue, maxValue));
    };
}

Setter seconds(const Field<Seconds>& target, double minValue, double maxValue) {
    return [=](OperatorSettings& s, const std::string& name, const std::string& value) {
        target(s) = Seconds(numberFrom(name, value, minValue, maxValue));
    };
}

Setter flag(const Field<bool>& target) {
    return [=](OperatorSettings& s, const std::string& name, const std::string& value) {
        if (value != "yes" && value != "no") throw SettingsError(name + ": must be yes or no");
        target(s) = value == "yes";
    };
}

const std::map<std::string, Setter>& setters() {
    static const std::map<std::string, Setter> all{
        {"moves.sample_period_s", seconds(field(&OperatorSettings::queueSamplePeriod), 0.1, 60)},
        {"moves.low", number(field(&OperatorSettings::lowQueueLength), 0, 1e6)},
        {"moves.high", number(field(&OperatorSettings::highQueueLength), 1, 1e6)},
        {"moves.probability", number(field(&OperatorSettings::migrationProbability), 0, 1)},
        {"moves.weight", number(field(&OperatorSettings::latestSampleWeight), 0.001, 1)},
        {"machines.idle_before_return_s",
         seconds(field(&OperatorSettings::idleBeforeScaleIn), 0, 86400)},
        {"machines.use_spot", flag(field(&OperatorSettings::useSpot))},
        {"leadership.node_lease_s", seconds(field(&OperatorSettings::nodeLease), 1, 60)},
        {"sharing.enabled", flag(field(&RebalancingSettings::enabled))},
        {"sharing.period_s", seconds(field(&RebalancingSettings::period), 0.2, 60)},
        {"sharing.low", number(field(&RebalancingSettings::lowThreshold), 0, 1e6)},
        {"sharing.high", number(field(&RebalancingSettings::highThreshold), 0, 1e6)},
        {"sharing.weight", number(field(&RebalancingSettings::latestSampleWeight), 0.001, 1)},
        {"sharing.hold_s", seconds(field(&RebalancingSettings::minTenure), 0, 86400)},
        {"sharing.moves_per_minute",
         number(field(&RebalancingSettings::transfersPerMinute), 1, 1e5)},
        {"sharing.share_of_writes",
         number(field(&RebalancingSettings::fractionOfWrites), 0.001, 1)},
        {"sharing.busy_machines", flag(field(&RebalancingSettings::busyMachines))},
        {"sharing.solver_steps", count(field(&RebalancingSettings::solverSteps), 0, 1e9)},
    };
    return all;
}

struct ParseState {
    OperatorSettings settings;
    std::string error;
};

int onEntry(void* user, const char* section, const char* name, const char* value) {
    auto& parse = *static_cast<ParseState*>(user);
    if (!parse.error.empty()) return 0;
    const std::string field = std::string(section) + "." + name;
    const auto found = setters().find(field);
    if (found == setters().end()) {
        parse.error = field + ": unknown";
        return 0;
    }
    try {
        found->second(parse.settings, field, value);
    } catch (const SettingsError& error) {
        parse.error = error.what();
        return 0;
    }
    return 1;
}

}  // namespace

OperatorSettings parseOperatorSettings(const std::string& text) {
    ParseState parse;
    const int line = ini_parse_string(text.c_str(), onEntry, &parse);
    if (!parse.error.empty()) throw SettingsError(parse.error);
    if (line != 0) throw SettingsError("operator settings: line " + std::to_string(line));
    if (parse.settings.highQueueLength <= parse.settings.lowQueueLength)
        throw SettingsError("moves.high: must be above moves.low");
    if (parse.settings.rebalancing.highThreshold <= parse.settings.rebalancing.lowThreshold)
        throw SettingsError("sharing.high: must be above sharing.low");
    return parse.settings;
}

}  // namespace fawnwheel::config
