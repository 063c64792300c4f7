#include "config/settings.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace fawnwheel::config {

namespace {

using Json = nlohmann::json;

std::string readFile(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw SettingsError(path + ": can't be read");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// One map of the settings file. Errors name each field by its full path.
class Section {
  public:
    Section(const Json& map, std::string path) : map_(map), path_(std::move(path)) {
        if (!map_.is_object()) throw SettingsError(path_ + ": must be a map");
    }
    [[nodiscard]] std::string text(const char* field) const {
        const Json& value = required(field);
        if (!value.is_string() || value.get_ref<const std::string&>().empty())
            throw SettingsError(fieldPath(field) + ": must be a text");
        return value.get<std::string>();
    }
    void number(const char* field, double& out, double minValue) const {
        const Json* value = optional(field);
        if (value == nullptr) return;
        if (!value->is_number() || !(value->get<double>() >= minValue))
            throw SettingsError(fieldPath(field) + ": must be a number of at least " +
                                Json(minValue).dump());
        out = value->get<double>();
    }
    void seconds(const char* field, Seconds& out) const {
        double value = out.count();
        number(field, value, 0.001);
        out = Seconds(value);
    }
    void count(const char* field, std::size_t& out) const {
        auto value = static_cast<double>(out);
        number(field, value, 1);
        out = static_cast<std::size_t>(value);
    }
    [[nodiscard]] Section section(const char* field) const {
        static const Json empty = Json::object();
        const Json* value = optional(field);
        return {value == nullptr ? empty : *value, fieldPath(field)};
    }
    [[nodiscard]] std::vector<Section> list(const char* field) const {
        std::vector<Section> out;
        const Json* value = optional(field);
        if (value == nullptr) return out;
        if (!value->is_array()) throw SettingsError(fieldPath(field) + ": must be a list");
        for (std::size_t i = 0; i < value->size(); ++i)
            out.emplace_back((*value)[i], fieldPath(field) + "[" + std::to_string(i) + "]");
        return out;
    }

  private:
    [[nodiscard]] const Json* optional(const char* field) const {
        const auto found = map_.find(field);
        return found == map_.end() || found->is_null() ? nullptr : &*found;
    }
    [[nodiscard]] const Json& required(const char* field) const {
        const Json* value = optional(field);
        if (value == nullptr) throw SettingsError(fieldPath(field) + ": is missing");
        return *value;
    }
    [[nodiscard]] std::string fieldPath(const char* field) const {
        return path_.empty() ? field : path_ + "." + field;
    }

    const Json& map_;
    std::string path_;
};

ObjectiveKind parseObjectiveKind(const std::string& word) {
    if (word == "wait") return ObjectiveKind::wait;
    if (word == "finished") return ObjectiveKind::finished;
    if (word == "deadline") return ObjectiveKind::deadline;
    return ObjectiveKind::other;
}

// Applies the limits that the state service will have after an unknown time. For each limit, the
// smaller of the present and the next value applies from the start, so that all records fit both
// and the change has no effect.
void applyNextLimits(const Section& next, Settings& s) {
    Settings nextLimits = s;
    next.number("rps", nextLimits.stateRequestsPerSecond, 1);
    next.number("write_rps", nextLimits.stateWritesPerSecond, 1);
    next.number("value_kb", nextLimits.maxValueKb, 1);
    next.count("txn_ops", nextLimits.maxTransactionWrites);
    s.stateRequestsPerSecond =
        std::min(s.stateRequestsPerSecond, nextLimits.stateRequestsPerSecond);
    s.stateWritesPerSecond = std::min(s.stateWritesPerSecond, nextLimits.stateWritesPerSecond);
    s.maxValueKb = std::min(s.maxValueKb, nextLimits.maxValueKb);
    s.maxTransactionWrites = std::min(s.maxTransactionWrites, nextLimits.maxTransactionWrites);
}

void parseTeams(const Section& deployment, Settings& s) {
    for (const auto& entry : deployment.list("teams")) {
        Team team;
        team.name = entry.text("name");
        entry.number("cpus", team.cpus, 0);
        entry.number("gpus", team.gpus, 0);
        entry.number("cpus_max", team.cpusMax, 0);
        entry.number("gpus_max", team.gpusMax, 0);
        s.teams.push_back(team);
    }
}

void parseObjectives(const Section& deployment, Settings& s) {
    for (const auto& entry : deployment.list("objectives")) {
        ServiceLevelObjective objective;
        objective.kind = parseObjectiveKind(entry.text("kind"));
        if (objective.kind == ObjectiveKind::other) continue;
        objective.jobClass = entry.text("class");
        if (objective.kind != ObjectiveKind::deadline) entry.seconds("within_s", objective.within);
        entry.number("share", objective.fraction, 0);
        s.objectives.push_back(objective);
    }
}

void parseLimits(const Section& deployment, Settings& s) {
    const Section workers = deployment.section("workers");
    workers.seconds("report_s", s.heartbeatInterval);
    workers.seconds("lease_s", s.lease);
    workers.seconds("gang_wait_s", s.gangWaitTimeout);
    workers.seconds("gang_peer_s", s.gangPeerTimeout);
    workers.seconds("cancel_s", s.cancellationTimeout);
    const Section state = deployment.section("state");
    state.number("rps", s.stateRequestsPerSecond, 1);
    state.number("write_rps", s.stateWritesPerSecond, 1);
    state.number("value_kb", s.maxValueKb, 1);
    state.count("txn_ops", s.maxTransactionWrites);
    applyNextLimits(state.section("next"), s);
    const Section cloud = deployment.section("cloud");
    cloud.number("rps", s.cloudCallsPerSecond, 0.01);
    cloud.seconds("list_lag_s", s.listLag);
    const Section limits = deployment.section("machine_limits");
    limits.number("core_share", s.coreFraction, 0.001);
    limits.number("mem_mb", s.memoryMb, 1);
    limits.count("sockets", s.sockets);
}

}  // namespace

std::vector<std::string> Settings::nodeNames() const {
    std::vector<std::string> names{name};
    for (const auto& peer : peers) names.push_back(peer.name);
    std::sort(names.begin(), names.end());
    return names;
}

std::string Settings::zoneOf(const std::string& node) const {
    if (node == name) return zone;
    for (const auto& peer : peers)
        if (peer.name == node) return peer.zone;
    return {};
}

Settings parseSettings(const std::string& json) {
    const Json root = Json::parse(json, nullptr, false);
    if (root.is_discarded()) throw SettingsError("settings: not JSON");
    const Section top(root, "");
    Settings s;
    s.name = top.text("host_name");
    s.zone = top.text("area");
    s.frontAddress = top.text("front");
    s.internalAddress = top.text("internal_addr");
    for (const auto& peer : top.list("others"))
        s.peers.push_back({peer.text("host_name"), peer.text("area"), peer.text("address")});
    const Section outside = top.section("outside");
    s.cloudAddress = outside.text("cloud");
    s.stateAddress = outside.text("state");
    const Section deployment = top.section("deployment");
    parseTeams(deployment, s);
    parseObjectives(deployment, s);
    parseLimits(deployment, s);
    return s;
}

Settings loadSettings(const std::string& path) {
    return parseSettings(readFile(path));
}

OperatorSettings loadOperatorSettings(const std::string& path) {
    return parseOperatorSettings(readFile(path));
}

}  // namespace fawnwheel::config
