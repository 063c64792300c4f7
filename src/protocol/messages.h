// Typed messages of users, workers and the cloud, with their validation.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/cbor.h"

namespace fawnwheel::protocol {

using Seconds = std::chrono::duration<double>;

enum class JobKind { array, gang, service };
enum class Priority { production, high, normal, low };

struct Resources {
    double cpus = 0;
    double gpus = 0;
    double memory = 0;  // GB

    Resources& operator+=(const Resources& other) {
        cpus += other.cpus;
        gpus += other.gpus;
        memory += other.memory;
        return *this;
    }
    Resources& operator-=(const Resources& other) {
        cpus -= other.cpus;
        gpus -= other.gpus;
        memory -= other.memory;
        return *this;
    }
    [[nodiscard]] bool fits(const Resources& capacity) const {
        return cpus <= capacity.cpus + slack && gpus <= capacity.gpus + slack &&
               memory <= capacity.memory + slack;
    }

    static constexpr double slack = 1e-9;  // sums of decimal amounts
};

struct JobSpec {
    std::string id;
    std::string jobClass;
    std::string team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 0;
    Resources each;
    std::string image;
    double imageSize = 0;                           // GB
    std::optional<std::vector<std::string>> types;  // allowed; none: any
    std::optional<std::string> zone;
    bool oneZone = false;
    bool spread = false;
    bool spot = false;
    Seconds estimate{};
    Seconds checkpointInterval{};
    Seconds checkpointDuration{};
    std::optional<Seconds> deadline;
    std::vector<std::string> dependencies;  // jobs that have to be done first, each named once
};

// The description, or what is wrong with it.
std::variant<JobSpec, std::string> parseJobSpec(const Json& body);
Json encodeJobSpec(const JobSpec& spec);
bool validJobId(const std::string& id);

enum class TaskState { fetching, waiting, running, saving, exited };
enum class ExitCause { done, stopped, peersGone, alone, error, noCapacity, busy, unknown };

struct TaskStatus {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::running;
    ExitCause cause = ExitCause::stopped;  // when exited
    bool saved = false;
};

struct Heartbeat {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t agentEpoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t fencingToken = 0;
    std::optional<Seconds> interruptionNotice;
    std::vector<TaskStatus> tasks;
};

std::optional<Heartbeat> parseHeartbeat(const Json& body);

enum class CommandKind { start, stop, forget };

struct Command {
    CommandKind kind = CommandKind::start;
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    Seconds grace{};
};

Json encodeCommands(std::uint64_t fencingToken, const std::vector<Command>& commands);
Json encodeRedirect(const std::string& node);  // empty: names nobody
Json encodeJobState(const std::string& id, const char* state);
Json encodeJobState(const std::string& id, const char* state, std::uint32_t done,
                    std::uint32_t running);

struct MachineType {
    std::string name;
    Resources capacity;
    double cacheSize = 0;
    double fetchRate = 0.1;  // GB a second
    double price = 0;        // an hour
    double spotPrice = 0;
    Seconds bootTime{};
    std::vector<std::string> zones;
};

std::vector<MachineType> parseCatalog(const Json& body);
Json encodeCatalog(const std::vector<MachineType>& types);

enum class CloudState { booting, running, failed };

struct CloudMachine {
    std::string id;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    CloudState state = CloudState::running;
    Seconds age{};
};

struct CloudPage {
    std::vector<CloudMachine> machines;
    bool more = false;
};

CloudPage parseCloudPage(const Json& body);

}  // namespace fawnwheel::protocol
