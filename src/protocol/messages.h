/// @file
/// Typed messages of users, workers and the cloud, with their validation.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/cbor.h"

namespace fawnwheel::protocol {

using Seconds = std::chrono::duration<double>;

/// How the tasks of a job relate: independent, all together (gang), or a service.
enum class JobKind { array, gang, service };
/// Scheduling priority, the most urgent first.
enum class Priority { production, high, normal, low };

/// Amounts of resources that a task needs or a machine has.
struct Resources {
    double cpus = 0;
    double gpus = 0;
    double memory = 0;  ///< GB

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

/// A job as submitted by a user.
struct JobSpec {
    std::string id;
    std::string jobClass;
    std::string team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 0;
    Resources taskResources;
    std::string image;
    double imageSize = 0;                           ///< GB
    std::optional<std::vector<std::string>> types;  ///< allowed; none: any
    std::optional<std::string> zone;
    bool oneZone = false;
    bool spread = false;
    bool spot = false;
    Seconds estimate{};
    Seconds checkpointInterval{};
    Seconds checkpointDuration{};
    std::optional<Seconds> deadline;
    std::vector<std::string> dependencies;  ///< jobs that have to be done first, each named once
};

/// The job, or the reason why the submission is invalid.
std::variant<JobSpec, std::string> parseJobSpec(const Json& body);
Json encodeJobSpec(const JobSpec& spec);
bool validJobId(const std::string& id);

/// State of a task as its worker reports it.
enum class TaskState { fetching, waiting, running, saving, exited };
/// Why a task ended, as its worker reports it.
enum class ExitCause {
    done,
    stopped,
    peersGone,
    gangIncomplete,
    error,
    noCapacity,
    duplicateTask,
    unknown
};

/// One task attempt in a heartbeat.
struct TaskStatus {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::running;
    ExitCause cause = ExitCause::stopped;  ///< when exited
    bool saved = false;
};

/// Periodic message of the agent on a machine to the leader of its partition.
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

/// Empty if the body is not a valid heartbeat.
std::optional<Heartbeat> parseHeartbeat(const Json& body);

/// What a worker is told to do with a task attempt.
enum class CommandKind { start, stop, forget };

/// A command to a worker, for one task attempt.
struct Command {
    CommandKind kind = CommandKind::start;
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    Seconds grace{};
};

/// Body of a heartbeat response: the fencing token and the commands to carry out.
Json encodeCommands(std::uint64_t fencingToken, const std::vector<Command>& commands);
/// Body of a redirect to the node that leads the partition; an empty name names nobody.
Json encodeRedirect(const std::string& node);
Json encodeJobState(const std::string& id, const char* state);
Json encodeJobState(const std::string& id, const char* state, std::uint32_t done,
                    std::uint32_t running);

/// A machine type of the cloud catalogue.
struct MachineType {
    std::string name;
    Resources capacity;
    double cacheSize = 0;
    double fetchRate = 0.1;  ///< GB a second
    double price = 0;        ///< an hour
    double spotPrice = 0;
    Seconds bootTime{};
    std::vector<std::string> zones;
};

/// Reads the cloud's catalogue of machine types.
std::vector<MachineType> parseCatalog(const Json& body);
Json encodeCatalog(const std::vector<MachineType>& types);

/// State of a machine as the cloud lists it.
enum class CloudState { booting, running, failed };

/// A machine in the cloud's list.
struct CloudMachine {
    std::string id;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    CloudState state = CloudState::running;
    Seconds age{};
};

/// One page of the cloud's machine list; `more`: further pages follow.
struct CloudPage {
    std::vector<CloudMachine> machines;
    bool more = false;
};

/// Reads one page of the cloud's machine list.
CloudPage parseCloudPage(const Json& body);

}  // namespace fawnwheel::protocol
