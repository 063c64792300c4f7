/// @file
/// The platform's settings file (JSON) and the operators' own (INI).
#pragma once

#include <chrono>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace fawnwheel::config {

/// The message names the field.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

using Seconds = std::chrono::duration<double>;

/// Another node of the cluster, as the platform names it.
struct Peer {
    std::string name;
    std::string zone;
    std::string address;
};

/// A team with its guaranteed quota and its limits.
struct Team {
    std::string name;
    double cpus = 0;  ///< guaranteed
    double gpus = 0;
    double cpusMax = 0;  ///< 0: no limit
    double gpusMax = 0;
};

/// What a service-level objective measures; `other`: a kind this version does not know.
enum class ObjectiveKind { wait, finished, deadline, other };

/// Objective for the jobs of one class: a fraction of them within a time.
struct ServiceLevelObjective {
    ObjectiveKind kind = ObjectiveKind::other;
    std::string jobClass;
    Seconds within{};
    double fraction = 0;
};

/// The platform's settings of this node.
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
    /// Of the state service: the smaller of its present limits and of those announced as `next`.
    double stateRequestsPerSecond = 60;
    double stateWritesPerSecond = 20;
    double maxValueKb = 4;
    std::size_t maxTransactionWrites = 12;
    /// Compares that a transaction may have for each write that it may have.
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

    /// All nodes in one order that every node agrees on; a partition has the number of the node
    /// that it belongs to by preference.
    [[nodiscard]] std::vector<std::string> nodeNames() const;
    [[nodiscard]] std::string zoneOf(const std::string& node) const;
};

/// Reads the platform's JSON file. Throws `SettingsError`.
Settings loadSettings(const std::string& path);
/// Parses the platform's JSON. Throws `SettingsError`.
Settings parseSettings(const std::string& json);

/// [sharing]: machines that change hands between controllers while jobs run (docs/sharing.md).
struct RebalancingSettings {
    bool enabled = false;
    Seconds period{2};          ///< between planning rounds
    double lowThreshold = 0.5;  ///< of averaged tasks without a place: below it nothing is asked
    double highThreshold = 8;   ///< from here on all that is lacking is asked
    double latestSampleWeight = 0.3;    ///< of the latest sample in the average
    Seconds minTenure{30};              ///< shortest time that a partition keeps a machine
    double transfersPerMinute = 60;     ///< of each controller
    double fractionOfWrites = 0.1;      ///< of the measured write rate
    bool busyMachines = true;           ///< also machines that run tasks
    std::size_t solverSteps = 200'000;  ///< arcs examined, after which the greedy plan is taken
};

/// What operators may tune. Every value has a default that serves.
struct OperatorSettings {
    // [moves]: DESIGN's open values
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

/// Reads the operators' INI file. Throws `SettingsError`.
OperatorSettings loadOperatorSettings(const std::string& path);
/// Parses the operators' INI text. Throws `SettingsError`.
OperatorSettings parseOperatorSettings(const std::string& text);

}  // namespace fawnwheel::config
