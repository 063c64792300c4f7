/// @file
/// Typed messages exchanged with users, workers and the cloud, with their validation.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/cbor.h"

namespace fawnwheel::protocol {

using Seconds = std::chrono::duration<double>;

/// Kind of a job: independent tasks, a gang whose tasks run all together, or a service.
enum class JobKind { array, gang, service };
/// Scheduling priority, most urgent first.
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

    static constexpr double slack = 1e-9;  // sums of decimal amounts have rounding errors
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
    std::optional<std::vector<std::string>> types;  ///< allowed machine types; none: any
    std::optional<std::string> zone;
    bool oneZone = false;
    bool spread = false;
    bool spot = false;
    Seconds estimate{};
    Seconds checkpointInterval{};
    Seconds checkpointDuration{};
    std::optional<Seconds> deadline;
    std::vector<std::string> dependencies;  ///< jobs that must be done first; no duplicates
};

/// Returns the job, or the reason why the submission is invalid.
std::variant<JobSpec, std::string> parseJobSpec(const Json& body);
Json encodeJobSpec(const JobSpec& spec);
bool validJobId(const std::string& id);
/// Whether the name of a machine can be part of a record's key: at most 120 bytes of UTF-8 without
/// spaces, control characters and slashes.
bool validMachineId(const std::string& id);

/// State of a task as reported by its worker.
enum class TaskState { fetching, waiting, running, saving, exited };
/// Why a task ended, as reported by its worker.
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
    ExitCause cause = ExitCause::stopped;  ///< valid if `state` is `exited`
    bool saved = false;
};

/// Periodic message from the agent on a machine to the leader of the machine's partition.
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

/// Parses a heartbeat; empty if the body is not a valid heartbeat.
std::optional<Heartbeat> parseHeartbeat(const Json& body);

/// Action that a worker takes on a task attempt.
enum class CommandKind { start, stop, forget };

/// A command to a worker, for one task attempt.
struct Command {
    CommandKind kind = CommandKind::start;
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    Seconds grace{};
};

/// Body of a heartbeat response: the fencing token and the commands to execute.
Json encodeCommands(std::uint64_t fencingToken, const std::vector<Command>& commands);
/// Body of a redirect to the node that leads the partition; without a target if `node` is empty.
Json encodeRedirect(const std::string& node);
Json encodeJobState(const std::string& id, const char* state);
Json encodeJobState(const std::string& id, const char* state, std::uint32_t done,
                    std::uint32_t running);

/// A machine type of the cloud's catalog.
struct MachineType {
    std::string name;
    Resources capacity;
    double cacheSize = 0;    ///< GB
    double fetchRate = 0.1;  ///< GB per second
    double price = 0;        ///< per hour
    double spotPrice = 0;
    Seconds bootTime{};
    std::vector<std::string> zones;
};

/// Parses the cloud's catalog of machine types. Types and zones whose names are not UTF-8 are left
/// out.
std::vector<MachineType> parseCatalog(const Json& body);
Json encodeCatalog(const std::vector<MachineType>& types);

/// State of a machine in the cloud's list.
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

/// One page of the cloud's machine list. `more` is true if further pages follow.
struct CloudPage {
    std::vector<CloudMachine> machines;
    bool more = false;
};

/// Parses one page of the cloud's machine list.
CloudPage parseCloudPage(const Json& body);

}  // namespace fawnwheel::protocol
