/// @file
/// What the modules of the coordination layer share: settings, clock, network, clients, topology,
/// feature gates and the cluster state.
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

/// Rounded down to ticks of the steady clock.
inline Duration toSteadyDuration(Seconds s) {
    return std::chrono::duration_cast<Duration>(s);
}

inline transport::WallTime addSeconds(transport::WallTime at, Seconds by) {
    return at + std::chrono::duration_cast<transport::WallTime::duration>(by);
}

/// Built once by the controller and outlives all modules. Used on the loop's thread only, but for
/// `clusterState`, which has its own lock.
struct Context {
    Context(const config::Settings& platform, const config::OperatorSettings& operators,
            transport::Timers& clock, transport::Network& net, std::uint64_t seed)
        : settings(platform),
          operatorSettings(operators),
          timers(clock),
          network(net),
          nodes(platform.nodeNames()),
          stateClient(clock, net, platform.state, stateLimits()),
          cloudClient(clock, net, platform.cloud,
                      platform.cloudCalls * fractionOfLimits / static_cast<double>(nodes.size())),
          rng(seed) {
        for (std::uint32_t i = 0; i < nodes.size(); ++i)
            if (nodes[i] == settings.name) preferredPartition = i;
        clusterState.lock()->partitionCount = partitionCount();
    }

    [[nodiscard]] SteadyTime now() const { return timers.now(); }
    [[nodiscard]] std::uint32_t partitionCount() const {
        return static_cast<std::uint32_t>(nodes.size());
    }
    /// The catalog's entry; null: no such type, or the catalog is not known yet.
    [[nodiscard]] const MachineType* findMachineType(const std::string& name) const {
        for (const auto& t : catalog)
            if (t.name == name) return &t;
        return nullptr;
    }
    /// The team's settings; null: no such team.
    [[nodiscard]] const config::Team* findTeam(const std::string& name) const {
        for (const auto& t : settings.teams)
            if (t.name == name) return &t;
        return nullptr;
    }
    /// An array of the lowest priority, of a team without a guarantee: it uses what is left over.
    [[nodiscard]] bool isBestEffort(const Job& job) const {
        const auto* teamSettings = findTeam(job.spec.team);
        return job.priority == protocol::Priority::low &&
               job.spec.kind == protocol::JobKind::array &&
               (teamSettings == nullptr || (teamSettings->cpus <= 0 && teamSettings->gpus <= 0));
    }
    /// Whether records and frames may have the formats that the first version doesn't know: no node
    /// runs that version any more, nor ever will.
    [[nodiscard]] bool jobDependenciesEnabled(const ClusterState& cluster) const {
        return std::all_of(nodes.begin(), nodes.end(), [&cluster](const std::string& node) {
            return cluster.nodesWithJobDependencies.contains(node);
        });
    }
    /// Whether machines may change hands with their tasks: every node knows how to read it.
    [[nodiscard]] bool machineTransfersEnabled(const ClusterState& cluster) const {
        return jobDependenciesEnabled(cluster) &&
               std::all_of(nodes.begin(), nodes.end(), [&cluster](const std::string& node) {
                   return cluster.nodesWithMachineTransfers.contains(node);
               });
    }
    /// The partition that a machine belongs to while no record says otherwise; every node agrees on
    /// it. `zone` is the machine's, `id` ends with its number.
    [[nodiscard]] PartitionId defaultPartition(const std::string& zone,
                                               const std::string& id) const;
    /// How old the cancellations known here may be when a worker's lease is renewed: a lease later
    /// its tasks are gone, and that has to be within `cancel_s`. Not above zero: no time is left.
    [[nodiscard]] Duration cancellationSlack() const {
        return toSteadyDuration(settings.cancel * shortenedByDrift -
                                settings.lease * prolongedByDrift - cancelMargin);
    }
    /// A duration spread by plus or minus a quarter, so that nodes don't act in step.
    Duration jittered(Duration around) {
        return toSteadyDuration(Seconds(around) *
                                std::uniform_real_distribution<>(0.75, 1.25)(rng));
    }

    const config::Settings& settings;
    const config::OperatorSettings& operatorSettings;
    transport::Timers& timers;
    transport::Network& network;
    std::vector<std::string> nodes;      // by the number of the partition that each prefers
    PartitionId preferredPartition = 0;  // that this node leads by preference
    protocol::StateClient stateClient;
    protocol::CloudClient cloudClient;
    storage::Synchronized<ClusterState> clusterState;
    std::vector<MachineType> catalog;  // empty: not known yet
    std::mt19937_64 rng;

  private:
    static constexpr double fractionOfLimits = 0.92;
    static constexpr double shortenedByDrift = 0.998;  // of two clocks
    static constexpr double prolongedByDrift = 1.002;
    static constexpr Seconds cancelMargin{1};

    [[nodiscard]] protocol::StateLimits stateLimits() const {
        const auto count = static_cast<double>(nodes.size());
        return {settings.stateRequests, settings.stateWrites, count};
    }
};

}  // namespace fawnwheel::coordination
