/// @file
/// State shared by the modules of the coordination layer: settings, clock, network, clients,
/// topology, feature gates and the cluster state.
#pragma once

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "config/settings.h"
#include "protocol/cloud_client.h"
#include "protocol/state_client.h"
#include "storage/cluster_state.h"
#include "storage/synchronized.h"

namespace fawnwheel::coordination {

using protocol::MachineType;
using protocol::Resources;
using protocol::Seconds;
using storage::Allocation;
using storage::ClusterState;
using storage::Job;
using storage::Machine;
using storage::PartitionId;
using storage::Slice;
using transport::Duration;
using transport::SteadyTime;

/// Converts seconds to the steady clock's duration type, rounded towards zero.
inline Duration toSteadyDuration(Seconds seconds) {
    return std::chrono::duration_cast<Duration>(seconds);
}

inline transport::WallTime addSeconds(transport::WallTime time, Seconds seconds) {
    return time + std::chrono::duration_cast<transport::WallTime::duration>(seconds);
}

/// Created once by the controller; outlives all modules. Used on the event loop's thread only,
/// except for `clusterState`, which has its own lock.
struct Context {
    Context(const config::Settings& platform, const config::OperatorSettings& operators,
            transport::Timers& clock, transport::Network& net, std::uint64_t seed)
        : settings(platform),
          operatorSettings(operators),
          timers(clock),
          network(net),
          nodes(platform.nodeNames()),
          stateClient(clock, net, platform.stateAddress, stateLimits()),
          cloudClient(clock, net, platform.cloudAddress,
                      platform.cloudCallsPerSecond * usableFractionOfRateLimit /
                          static_cast<double>(nodes.size())),
          rng(seed) {
        for (std::uint32_t i = 0; i < nodes.size(); ++i)
            if (nodes[i] == settings.name) preferredPartition = i;
        clusterState.lock()->partitionCount = partitionCount();
    }

    [[nodiscard]] SteadyTime now() const { return timers.now(); }
    [[nodiscard]] std::uint32_t partitionCount() const {
        return static_cast<std::uint32_t>(nodes.size());
    }
    /// Returns the catalog's entry, or null if the type does not exist or the catalog is not known
    /// yet.
    [[nodiscard]] const MachineType* findMachineType(const std::string& name) const {
        for (const auto& type : catalog)
            if (type.name == name) return &type;
        return nullptr;
    }
    /// Returns the team's settings, or null if the team does not exist.
    [[nodiscard]] const config::Team* findTeam(const std::string& name) const {
        for (const auto& team : settings.teams)
            if (team.name == name) return &team;
        return nullptr;
    }
    /// Whether the job is an array of the lowest priority whose team has no guaranteed quota. Such
    /// a job uses only capacity that is left over.
    [[nodiscard]] bool isBestEffort(const Job& job) const {
        const auto* teamSettings = findTeam(job.spec.team);
        return job.priority == protocol::Priority::low &&
               job.spec.kind == protocol::JobKind::array &&
               (teamSettings == nullptr || (teamSettings->cpus <= 0 && teamSettings->gpus <= 0));
    }
    /// Whether records and peer frames may use formats that the first version cannot read: no node
    /// runs that version any more, and none will again.
    [[nodiscard]] bool jobDependenciesEnabled(const ClusterState& cluster) const {
        return std::all_of(nodes.begin(), nodes.end(), [&cluster](const std::string& node) {
            return cluster.nodesWithJobDependencies.contains(node);
        });
    }
    /// Whether machines may be transferred to another partition together with their tasks: every
    /// node can read the records and frames of such a transfer.
    [[nodiscard]] bool machineTransfersEnabled(const ClusterState& cluster) const {
        return jobDependenciesEnabled(cluster) &&
               std::all_of(nodes.begin(), nodes.end(), [&cluster](const std::string& node) {
                   return cluster.nodesWithMachineTransfers.contains(node);
               });
    }
    /// The partition of a machine that has no record yet; all nodes compute the same one. `zone` is
    /// the machine's zone, and `id` ends with its number.
    [[nodiscard]] PartitionId defaultPartition(const std::string& zone,
                                               const std::string& id) const;
    /// Maximum age of the cancellations known to this node when it renews a worker's lease. Tasks
    /// can run until the renewed lease expires, and that has to be within `cancel_s` of their
    /// cancellation. A result of zero or less means that `cancel_s` leaves no time besides the
    /// lease.
    [[nodiscard]] Duration cancellationSlack() const {
        return toSteadyDuration(settings.cancellationTimeout * minClockRatio -
                                settings.lease * maxClockRatio - cancelMargin);
    }
    /// Varies a duration at random by up to a quarter, so that nodes do not act simultaneously.
    Duration jittered(Duration around) {
        return toSteadyDuration(Seconds(around) *
                                std::uniform_real_distribution<>(0.75, 1.25)(rng));
    }

    const config::Settings& settings;
    const config::OperatorSettings& operatorSettings;
    transport::Timers& timers;
    transport::Network& network;
    std::vector<std::string> nodes;      // names, by the partition that each node prefers to lead
    PartitionId preferredPartition = 0;  // the partition that this node prefers to lead
    protocol::StateClient stateClient;
    protocol::CloudClient cloudClient;
    storage::Synchronized<ClusterState> clusterState;
    std::vector<MachineType> catalog;  // empty until it is known
    std::mt19937_64 rng;

  private:
    static constexpr double usableFractionOfRateLimit = 0.92;
    // Bounds of the ratio between the rates of two clocks.
    static constexpr double minClockRatio = 0.998;
    static constexpr double maxClockRatio = 1.002;
    static constexpr Seconds cancelMargin{1};

    [[nodiscard]] protocol::StateLimits stateLimits() const {
        const auto count = static_cast<double>(nodes.size());
        return {settings.stateRequestsPerSecond, settings.stateWritesPerSecond, count};
    }
};

}  // namespace fawnwheel::coordination
