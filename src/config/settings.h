/// @file
/// Settings from the platform's file (JSON) and from the operators' file (INI).
#pragma once

#include <chrono>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace fawnwheel::config {

/// Error in a settings file; the message names the field.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

using Seconds = std::chrono::duration<double>;

/// Another node of the cluster, by the name that the platform gives it.
struct Peer {
    std::string name;
    std::string zone;
    std::string address;
};

/// A team with its guaranteed quota and its limits.
struct Team {
    std::string name;
    double cpus = 0;     ///< guaranteed
    double gpus = 0;     ///< guaranteed
    double cpusMax = 0;  ///< 0: no limit
    double gpusMax = 0;
};

/// Quantity that a service-level objective measures; `other` is a kind unknown to this version.
enum class ObjectiveKind { wait, finished, deadline, other };

/// Objective for the jobs of one class: a fraction of the jobs must be within a time.
struct ServiceLevelObjective {
    ObjectiveKind kind = ObjectiveKind::other;
    std::string jobClass;
    Seconds within{};
    double fraction = 0;
};

/// The settings that the platform gives this node.
struct Settings {
    std::string name;
    std::string zone;
    std::string frontAddress;
    std::string internalAddress;
    std::vector<Peer> peers;
    std::string cloudAddress;
    std::string stateAddress;
    std::vector<Team> teams;
    std::vector<ServiceLevelObjective> objectives;
    Seconds heartbeatInterval{3};
    Seconds lease{30};
    Seconds gangWaitTimeout{30};
    Seconds gangPeerTimeout{4};
    Seconds cancellationTimeout{60};
    /// Limits of the state service: for each, the smaller of the present value and the value
    /// announced as `next`.
    double stateRequestsPerSecond = 60;
    double stateWritesPerSecond = 20;
    double maxValueKb = 4;
    std::size_t maxTransactionWrites = 12;
    /// Compares allowed in a transaction per allowed write.
    static constexpr std::size_t comparesPerWrite = 4;
    [[nodiscard]] std::size_t maxTransactionCompares() const {
        return maxTransactionWrites * comparesPerWrite;
    }
    [[nodiscard]] std::size_t maxValueBytes() const {
        return static_cast<std::size_t>(maxValueKb * 1024);
    }
    double cloudCallsPerSecond = 2;
    Seconds listLag{5};
    double coreFraction = 1;
    double memoryMb = 128;
    std::size_t sockets = 1000;

    /// The names of all nodes, in the same order on every node. The index of a node is the number
    /// of the partition that this node prefers to lead.
    [[nodiscard]] std::vector<std::string> nodeNames() const;
    /// Zone of the node; empty if the node is unknown.
    [[nodiscard]] std::string zoneOf(const std::string& node) const;
};

/// Reads and parses the platform's JSON file. Throws `SettingsError`.
Settings loadSettings(const std::string& path);
/// Parses the platform's JSON. Throws `SettingsError`.
Settings parseSettings(const std::string& json);

/// [sharing]: transfer of machines between controllers while jobs run (docs/sharing.md).
struct RebalancingSettings {
    bool enabled = false;
    Seconds period{2};                ///< time between planning rounds
    double lowThreshold = 0.5;        ///< below this average of unplaced tasks, requests no machine
    double highThreshold = 8;         ///< from this average on, requests machines for all of them
    double latestSampleWeight = 0.3;  ///< weight of the latest sample in the average
    Seconds minTenure{30};            ///< minimum time that a partition keeps a machine
    double transfersPerMinute = 60;   ///< limit of each controller
    double fractionOfWrites = 0.1;    ///< share of the measured write rate for transfers
    bool busyMachines = true;         ///< also transfer machines that run tasks
    std::size_t solverSteps = 200'000;  ///< arcs examined before the greedy plan is used
};

/// Settings that operators may change. Each has a default that works.
struct OperatorSettings {
    // [moves]: migration of work between partitions; the design leaves these values open
    Seconds queueSamplePeriod{2};
    double lowQueueLength = 20;
    double highQueueLength = 200;
    double migrationProbability = 0.1;
    double latestSampleWeight = 0.2;
    // [machines]
    Seconds idleBeforeScaleIn{20};
    bool useSpot = true;
    // [leadership]
    Seconds nodeLease{4};
    RebalancingSettings rebalancing;
};

/// Reads and parses the operators' INI file. Throws `SettingsError`.
OperatorSettings loadOperatorSettings(const std::string& path);
/// Parses the operators' INI text. Throws `SettingsError`.
OperatorSettings parseOperatorSettings(const std::string& text);

}  // namespace fawnwheel::config
