// The operators' INI file, read with inih.
#include <ini.h>

#include <charconv>
#include <functional>

#include "app/settings.h"

namespace fawnwheel::app {

namespace {

double numberFrom(const std::string& field, const std::string& text, double least, double most) {
    double value = 0;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    if (error != std::errc{} || end != last || !(value >= least && value <= most))
        throw SettingsError(field + ": must be a number from " + std::to_string(least) + " to " +
                            std::to_string(most));
    return value;
}

using Setter =
    std::function<void(OperatorSettings&, const std::string& field, const std::string& value)>;

Setter number(double OperatorSettings::*member, double least, double most) {
    return [=](OperatorSettings& s, const std::string& field, const std::string& value) {
        s.*member = numberFrom(field, value, least, most);
    };
}

Setter seconds(Seconds OperatorSettings::*member, double least, double most) {
    return [=](OperatorSettings& s, const std::string& field, const std::string& value) {
        s.*member = Seconds(numberFrom(field, value, least, most));
    };
}

Setter flag(bool OperatorSettings::*member) {
    return [=](OperatorSettings& s, const std::string& field, const std::string& value) {
        if (value != "yes" && value != "no") throw SettingsError(field + ": must be yes or no");
        s.*member = value == "yes";
    };
}

const std::map<std::string, Setter>& setters() {
    static const std::map<std::string, Setter> all{
        {"moves.sample_period_s", seconds(&OperatorSettings::samplePeriod, 0.1, 60)},
        {"moves.low", number(&OperatorSettings::low, 0, 1e6)},
        {"moves.high", number(&OperatorSettings::high, 1, 1e6)},
        {"moves.probability", number(&OperatorSettings::probability, 0, 1)},
        {"moves.weight", number(&OperatorSettings::weight, 0.001, 1)},
        {"machines.idle_before_return_s", seconds(&OperatorSettings::idleBeforeReturn, 0, 86400)},
        {"machines.use_spot", flag(&OperatorSettings::useSpot)},
        {"leadership.node_lease_s", seconds(&OperatorSettings::nodeLease, 1, 60)},
    };
    return all;
}

struct Parse {
    OperatorSettings settings;
    std::string error;
};

int onEntry(void* user, const char* section, const char* name, const char* value) {
    auto& parse = *static_cast<Parse*>(user);
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
    Parse parse;
    const int line = ini_parse_string(text.c_str(), onEntry, &parse);
    if (!parse.error.empty()) throw SettingsError(parse.error);
    if (line != 0) throw SettingsError("operator settings: line " + std::to_string(line));
    if (parse.settings.high <= parse.settings.low)
        throw SettingsError("moves.high: must be above moves.low");
    return parse.settings;
}

}  // namespace fawnwheel::app
