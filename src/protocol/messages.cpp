#include "protocol/messages.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <set>

#include "protocol/names.h"
#include "protocol/utf8.h"

namespace fawnwheel::protocol {

namespace {

constexpr std::uint32_t maxTasks = 100'000;
constexpr std::size_t maxTextLength = 120;
constexpr double maxAmount = 1e9;

template <typename Enum>
struct Word {
    const char* text;
    Enum value;
};

constexpr std::array kinds{Word<JobKind>{wire::kindArray, JobKind::array},
                           Word<JobKind>{wire::kindGang, JobKind::gang},
                           Word<JobKind>{wire::kindService, JobKind::service}};
constexpr std::array priorities{Word<Priority>{wire::priorityProduction, Priority::production},
                                Word<Priority>{wire::priorityHigh, Priority::high},
                                Word<Priority>{wire::priorityNormal, Priority::normal},
                                Word<Priority>{wire::priorityLow, Priority::low}};
constexpr std::array taskStates{Word<TaskState>{wire::stateFetching, TaskState::fetching},
                                Word<TaskState>{wire::stateWaiting, TaskState::waiting},
                                Word<TaskState>{wire::stateRunning, TaskState::running},
                                Word<TaskState>{wire::stateSaving, TaskState::saving},
                                Word<TaskState>{wire::stateExited, TaskState::exited}};
constexpr std::array causes{Word<ExitCause>{wire::causeDone, ExitCause::done},
                            Word<ExitCause>{wire::causeStopped, ExitCause::stopped},
                            Word<ExitCause>{wire::causePeersGone, ExitCause::peersGone},
                            Word<ExitCause>{wire::causeGangIncomplete, ExitCause::gangIncomplete},
                            Word<ExitCause>{wire::causeError, ExitCause::error},
                            Word<ExitCause>{wire::causeNoCapacity, ExitCause::noCapacity},
                            Word<ExitCause>{wire::causeDuplicateTask, ExitCause::duplicateTask},
                            Word<ExitCause>{wire::causeUnknown, ExitCause::unknown}};

template <typename Table, typename Enum>
bool parseWord(const Table& table, const std::string& text, Enum& out) {
    for (const auto& word : table) {
        if (text == word.text) {
            out = word.value;
            return true;
        }
    }
    return false;
}

template <typename Table, typename Enum>
const char* wordFor(const Table& table, Enum value) {
    for (const auto& word : table)
        if (word.value == value) return word.text;
    return "";
}

// Reads the fields of a job description and keeps the first error found.
class FieldReader {
  public:
    explicit FieldReader(const Json& map) : map_(map) {}

    std::string text(const char* field, bool mayBeEmpty = false) {
        const Json* found = find(field);
        if (found == nullptr || !found->is_string()) return fail(field), std::string();
        auto value = found->get<std::string>();
        if ((value.empty() && !mayBeEmpty) || value.size() > maxTextLength) fail(field);
        return value;
    }
    double amount(const char* field, double minimum = 0.0) {
        const Json* found = find(field);
        if (found == nullptr || !found->is_number()) return fail(field), 0.0;
        const auto value = found->get<double>();
        if (!std::isfinite(value) || value < minimum || value > maxAmount) fail(field);
        return value;
    }
    std::uint32_t count(const char* field, std::uint32_t maximum) {
        const double value = amount(field, 1.0);
        if (value > maximum || value != std::floor(value)) return fail(field), 0U;
        return static_cast<std::uint32_t>(value);
    }
    bool flag(const char* field) {
        // A flag may not be null, so leaving the flag out is an error too: only fields that may be
        // null are optional. Otherwise jobs without a required flag would be accepted.
        const Json* found = find(field);
        if (found == nullptr || !found->is_boolean()) return fail(field), false;
        return found->get<bool>();
    }
    template <typename Enum, typename Table>
    Enum word(const char* field, const Table& table) {
        Enum value{};
        if (!parseWord(table, text(field), value)) fail(field);
        return value;
    }
    // A null field counts as absent.
    const Json* find(const char* field) const {
        const auto found = map_.find(field);
        return found == map_.end() || found->is_null() ? nullptr : &*found;
    }
    void fail(const char* field) {
        if (error_.empty()) error_ = std::string("missing or invalid: ") + field;
    }
    [[nodiscard]] const std::string& error() const { return error_; }

  private:
    const Json& map_;
    std::string error_;
};

bool splitTask(const std::string& name, std::string& job, std::uint32_t& index) {
    const auto slash = name.rfind('/');
    if (slash == std::string::npos) return false;
    job = name.substr(0, slash);
    const char* last = name.data() + name.size();
    const auto [end, error] = std::from_chars(name.data() + slash + 1, last, index);
    return error == std::errc{} && end == last;
}

}  // namespace

bool validMachineId(const std::string& id) {
    if (id.empty() || id.size() > maxTextLength || !isValidUtf8(id)) return false;
    return std::none_of(id.begin(), id.end(), [](unsigned char c) {
        return std::iscntrl(c) != 0 || c == ' ' || c == '/';
    });
}

bool validJobId(const std::string& id) {
    const std::string_view prefix = wire::jobPrefix;
    if (id.size() <= prefix.size() || id.size() > maxTextLength || !id.starts_with(prefix))
        return false;
    return std::all_of(
        id.begin() + static_cast<std::ptrdiff_t>(prefix.size()), id.end(),
        [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_'; });
}

namespace {

void readDependencies(FieldReader& read, JobSpec& spec) {
    const Json* list = read.find(wire::dependencies);
    if (list == nullptr) return;
    if (!list->is_array()) return read.fail(wire::dependencies);
    std::set<std::string> seen;
    for (const auto& entry : *list) {
        if (!entry.is_string() || !validJobId(entry.get_ref<const std::string&>()) ||
            entry.get_ref<const std::string&>() == spec.id)
            return read.fail(wire::dependencies);
        if (seen.insert(entry.get<std::string>()).second)
            spec.dependencies.push_back(entry.get<std::string>());
    }
}

}  // namespace

std::variant<JobSpec, std::string> parseJobSpec(const Json& body) {
    if (!body.is_object()) return std::string("not a map");
    FieldReader read(body);
    JobSpec spec;
    spec.id = read.text(wire::id);
    if (!validJobId(spec.id)) read.fail(wire::id);
    spec.jobClass = read.text(wire::jobClass);
    spec.team = read.text(wire::team);
    spec.kind = read.word<JobKind>(wire::kind, kinds);
    spec.priority = read.word<Priority>(wire::priority, priorities);
    spec.tasks = read.count(wire::tasks, maxTasks);
    spec.taskResources = {read.amount(wire::cpus), read.amount(wire::gpus),
                          read.amount(wire::memory)};
    spec.image = read.text(wire::image);
    spec.imageSize = read.amount(wire::imageSize);
    if (const Json* types = read.find(wire::types)) {
        spec.types.emplace();
        if (!types->is_array()) read.fail(wire::types);
        for (const auto& type : *types) {
            if (!type.is_string()) {
                read.fail(wire::types);
                break;
            }
            spec.types->push_back(type.get<std::string>());
        }
    }
    if (read.find(wire::zone) != nullptr) spec.zone = read.text(wire::zone);
    spec.oneZone = read.flag(wire::oneZone);
    spec.spread = read.flag(wire::spread);
    spec.spot = read.flag(wire::spot);
    spec.estimate = Seconds(read.amount(wire::estimate));
    spec.checkpointInterval = Seconds(read.amount(wire::checkpointInterval));
    spec.checkpointDuration = Seconds(read.amount(wire::checkpointDuration));
    if (read.find(wire::deadline) != nullptr) spec.deadline = Seconds(read.amount(wire::deadline));
    readDependencies(read, spec);
    if (!read.error().empty()) return read.error();
    return spec;
}

Json encodeJobSpec(const JobSpec& spec) {
    Json out{{wire::id, spec.id},
             {wire::jobClass, spec.jobClass},
             {wire::team, spec.team},
             {wire::kind, wordFor(kinds, spec.kind)},
             {wire::priority, wordFor(priorities, spec.priority)},
             {wire::tasks, spec.tasks},
             {wire::cpus, spec.taskResources.cpus},
             {wire::gpus, spec.taskResources.gpus},
             {wire::memory, spec.taskResources.memory},
             {wire::image, spec.image},
             {wire::imageSize, spec.imageSize},
             {wire::oneZone, spec.oneZone},
             {wire::spread, spec.spread},
             {wire::spot, spec.spot},
             {wire::estimate, spec.estimate.count()},
             {wire::checkpointInterval, spec.checkpointInterval.count()},
             {wire::checkpointDuration, spec.checkpointDuration.count()}};
    if (spec.types) out[wire::types] = *spec.types;
    if (spec.zone) out[wire::zone] = *spec.zone;
    if (spec.deadline) out[wire::deadline] = spec.deadline->count();
    if (!spec.dependencies.empty()) out[wire::dependencies] = spec.dependencies;
    return out;
}

std::optional<Heartbeat> parseHeartbeat(const Json& body) {
    if (!body.is_object()) return std::nullopt;
    Heartbeat heartbeat;
    heartbeat.machine = textOf(body, wire::machine);
    heartbeat.address = textOf(body, wire::address);
    heartbeat.type = textOf(body, wire::type);
    heartbeat.zone = textOf(body, wire::zone);
    heartbeat.spot = flagOf(body, wire::spot);
    heartbeat.agentEpoch = countOf(body, wire::agentEpoch);
    heartbeat.sequence = countOf(body, wire::sequence);
    heartbeat.fencingToken = countOf(body, wire::fencingToken);
    const auto interruptionNotice = body.find(wire::interruptionNotice);
    if (interruptionNotice != body.end() && interruptionNotice->is_number())
        heartbeat.interruptionNotice = Seconds(interruptionNotice->get<double>());
    for (const auto& entry : listOf(body, wire::tasks)) {
        TaskStatus task;
        if (!splitTask(textOf(entry, wire::task), task.job, task.index)) return std::nullopt;
        task.attempt = countOf(entry, wire::attempt);
        // An unknown state keeps the default `running`, so that the task is not treated as exited.
        parseWord(taskStates, textOf(entry, wire::state), task.state);
        parseWord(causes, textOf(entry, wire::cause), task.cause);
        task.saved = flagOf(entry, wire::saved);
        heartbeat.tasks.push_back(std::move(task));
    }
    if (!validMachineId(heartbeat.machine) || heartbeat.agentEpoch == 0) return std::nullopt;
    return heartbeat;
}

Json encodeCommands(std::uint64_t fencingToken, const std::vector<Command>& commands) {
    Json list = Json::array();
    for (const auto& command : commands) {
        const char* word = command.kind == CommandKind::start  ? wire::commandStart
                           : command.kind == CommandKind::stop ? wire::commandStop
                                                               : wire::commandForget;
        Json entry{{wire::command, word},
                   {wire::task, command.job + "/" + std::to_string(command.index)},
                   {wire::attempt, command.attempt}};
        if (command.kind == CommandKind::stop) entry[wire::grace] = command.grace.count();
        list.push_back(std::move(entry));
    }
    return {{wire::fencingToken, fencingToken}, {wire::commands, std::move(list)}};
}

Json encodeRedirect(const std::string& node) {
    Json out = Json::object();
    if (!node.empty()) out[wire::redirectTo] = node;
    return out;
}

Json encodeJobState(const std::string& id, const char* state) {
    return {{wire::id, id}, {wire::state, state}};
}

Json encodeJobState(const std::string& id, const char* state, std::uint32_t done,
                    std::uint32_t running) {
    return {{wire::id, id}, {wire::state, state}, {wire::done, done}, {wire::running, running}};
}

std::vector<MachineType> parseCatalog(const Json& body) {
    std::vector<MachineType> types;
    for (const auto& entry : listOf(body, wire::types)) {
        MachineType type;
        type.name = textOf(entry, wire::name);
        type.capacity = {numberOf(entry, wire::cpus), numberOf(entry, wire::gpus),
                         numberOf(entry, wire::memory)};
        type.cacheSize = numberOf(entry, wire::cacheSize);
        type.fetchRate = std::max(0.001, numberOf(entry, wire::fetchRate, 0.1));
        type.price = numberOf(entry, wire::price);
        type.spotPrice = numberOf(entry, wire::spotPrice);
        type.bootTime = Seconds(numberOf(entry, wire::bootTime));
        for (const auto& zone : listOf(entry, wire::zones))
            if (zone.is_string() && isValidUtf8(zone.get_ref<const std::string&>()))
                type.zones.push_back(zone.get<std::string>());
        if (!type.name.empty() && isValidUtf8(type.name)) types.push_back(std::move(type));
    }
    return types;
}

Json encodeCatalog(const std::vector<MachineType>& types) {
    Json list = Json::array();
    for (const auto& type : types)
        list.push_back({{wire::name, type.name},
                        {wire::cpus, type.capacity.cpus},
                        {wire::gpus, type.capacity.gpus},
                        {wire::memory, type.capacity.memory},
                        {wire::cacheSize, type.cacheSize},
                        {wire::fetchRate, type.fetchRate},
                        {wire::price, type.price},
                        {wire::spotPrice, type.spotPrice},
                        {wire::bootTime, type.bootTime.count()},
                        {wire::zones, type.zones}});
    return {{wire::types, std::move(list)}};
}

CloudPage parseCloudPage(const Json& body) {
    CloudPage page;
    for (const auto& entry : listOf(body, wire::machines)) {
        CloudMachine machine;
        machine.id = textOf(entry, wire::id);
        machine.address = textOf(entry, wire::address);
        machine.type = textOf(entry, wire::type);
        machine.zone = textOf(entry, wire::zone);
        machine.spot = flagOf(entry, wire::spot);
        const auto state = textOf(entry, wire::state);
        machine.state = state == wire::stateBooting  ? CloudState::booting
                        : state == wire::stateFailed ? CloudState::failed
                                                     : CloudState::running;
        machine.age = Seconds(numberOf(entry, wire::age));
        if (!machine.id.empty()) page.machines.push_back(std::move(machine));
    }
    page.more = flagOf(body, wire::more);
    return page;
}

}  // namespace fawnwheel::protocol
