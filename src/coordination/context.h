// What the modules of the coordination layer share.
#pragma once

#include <algorithm>
#include <charconv>
#include <cmath>
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
using storage::Slice;
using transport::Duration;
using transport::SteadyTime;

inline Duration ticks(Seconds s) {
    return std::chrono::duration_cast<Duration>(s);
}

inline transport::WallTime plus(transport::WallTime at, Seconds by) {
    return at + std::chrono::duration_cast<transport::WallTime::duration>(by);
}

struct Context {
    Context(const config::Settings& platform, const config::OperatorSettings& operators,
            transport::Timers& clock, transport::Network& net, std::uint64_t seed)
        : settings(platform),
          tuning(operators),
          timers(clock),
          network(net),
          nodes(platform.nodeNames()),
          state(clock, net, platform.state, stateLimits()),
          cloud(clock, net, platform.cloud,
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
    [[nodiscard]] const MachineType* type(const std::string& name) const {
        for (const auto& t : catalog)
            if (t.name == name) return &t;
        return nullptr;
    }
    [[nodiscard]] const config::Team* team(const std::string& name) const {
        for (const auto& t : settings.teams)
            if (t.name == name) return &t;
        return nullptr;
    }
    // An array of the lowest priority, of a team without a guarantee: it uses what is left over.
    [[nodiscard]] bool isBestEffort(const Job& job) const {
        const auto* teamSettings = team(job.spec.team);
        return job.priority == protocol::Priority::low &&
               job.spec.kind == protocol::JobKind::array &&
               (teamSettings == nullptr || (teamSettings->cpus <= 0 && teamSettings->gpus <= 0));
    }
    // Whether records and frames may have the formats that the first version doesn't know: no node
    // runs that version any more, nor ever will.
    [[nodiscard]] bool jobDependenciesEnabled(const ClusterState& held) const {
        return std::all_of(nodes.begin(), nodes.end(), [&held](const std::string& node) {
            return held.nodesWithJobDependencies.contains(node);
        });
    }
    // Whether machines may change hands with their tasks: every node knows how to read it.
    [[nodiscard]] bool machineTransfersEnabled(const ClusterState& held) const {
        return jobDependenciesEnabled(held) &&
               std::all_of(nodes.begin(), nodes.end(), [&held](const std::string& node) {
                   return held.nodesWithMachineTransfers.contains(node);
               });
    }
    // The partition that a machine belongs to while no record says otherwise; every node agrees on
    // it. A partition has machines of few zones, so that a gang finds its places together and a cut
    // between zones separates few of them from their leader: the nodes stand in the order of their
    // zones, and each zone has an equal run of them. With one node or less for a zone all its
    // machines would hang on that node: then by number alone.
    [[nodiscard]] std::uint32_t defaultPartition(const std::string& zone,
                                                 const std::string& id) const {
        std::vector<std::pair<std::string, std::uint32_t>> order;
        std::set<std::string> zones;
        for (std::uint32_t partition = 0; partition < nodes.size(); ++partition) {
            order.emplace_back(settings.zoneOf(nodes[partition]), partition);
            zones.insert(order.back().first);
        }
        std::sort(order.begin(), order.end());
        const auto digits = id.find_last_not_of("0123456789") + 1;
        std::uint64_t number = 0;
        std::from_chars(id.data() + digits, id.data() + id.size(), number);
        const auto at = zones.find(zone);
        if (at == zones.end() || zones.size() >= nodes.size())
            return static_cast<std::uint32_t>(number % nodes.size());
        // Names are given out in order: neighbours, mostly of one type, are dealt out evenly.
        double whole = 0;
        const double fraction = std::modf(static_cast<double>(number) * goldenRatio, &whole);
        const double run = static_cast<double>(nodes.size()) / static_cast<double>(zones.size());
        const auto index = static_cast<double>(std::distance(zones.begin(), at));
        const auto place = static_cast<std::size_t>((index + fraction) * run);
        return order[std::min(place, order.size() - 1)].second;
    }
    // How old the cancellations known here may be when a worker's lease is renewed: a lease later
    // its tasks are gone, and that has to be within `cancel_s`. Not above zero: there is no room.
    [[nodiscard]] Duration cancellationSlack() const {
        return ticks(settings.cancel * shortenedByDrift - settings.lease * prolongedByDrift -
                     cancelMargin);
    }
    // A duration spread by plus or minus a quarter, so that nodes don't act in step.
    Duration jittered(Duration around) {
        return ticks(Seconds(around) * std::uniform_real_distribution<>(0.75, 1.25)(rng));
    }

    const config::Settings& settings;
    const config::OperatorSettings& tuning;
    transport::Timers& timers;
    transport::Network& network;
    std::vector<std::string> nodes;
    std::uint32_t preferredPartition = 0;
    protocol::StateClient state;
    protocol::CloudClient cloud;
    storage::Synchronized<ClusterState> clusterState;
    std::vector<MachineType> catalog;
    std::mt19937_64 rng;

  private:
    static constexpr double goldenRatio = 0.6180339887498949;
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
