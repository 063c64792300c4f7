#include "coordination/membership/worker_reachability.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "protocol/names.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxInspectionsPerRound = 3;
constexpr int silentRoundsUntilUnreachable = 2;
constexpr auto inspectTimeout = 1s;
// The heartbeats of many workers arrive at random times, so a gap of this many mean intervals is no
// coincidence.
constexpr double maxSilenceInMeanIntervals = 20;
constexpr double minSilenceInHeartbeatIntervals = 0.5;
constexpr double maxSilenceInHeartbeatIntervals = 2.5;
constexpr Duration minSilence = 3s;
constexpr auto stabilizationPeriod = 4s;
// The inspected workers may have terminated rather than been cut off, so after this time this node
// presumes that the other workers can reach it again.
constexpr auto presumedReachableAfter = 60s;

}  // namespace

bool WorkerReachability::isStable() const {
    return !unreachable_ &&
           (!reachableSince_ || context_.now() - *reachableSince_ >= stabilizationPeriod);
}

void WorkerReachability::recordContact() {
    lastContact_ = context_.now();
    silentRounds_ = 0;
    if (unreachable_) setUnreachable(false);
}

void WorkerReachability::setUnreachable(bool unreachable) {
    if (unreachable_ == unreachable) return;
    unreachable_ = unreachable;
    if (unreachable)
        unreachableSince_ = context_.now();
    else
        reachableSince_ = context_.now();
    spdlog::info("reachability: {}", unreachable ? "workers_unreachable" : "workers_reachable");
    observer_.onReachabilityChanged();
}

std::optional<Duration> WorkerReachability::maxSilence(
    const std::vector<std::uint32_t>& partitions) {
    std::size_t machines = 0;
    auto clusterState = context_.clusterState.lock();
    for (const auto partition : partitions)
        for (const auto* machine : clusterState->machinesOf(partition))
            if (!machine->decommissioned &&
                (machine->lastHeartbeat || !machine->allocations.empty()))
                ++machines;
    if (machines == 0) return std::nullopt;
    const auto interval = context_.settings.heartbeatInterval;
    const Seconds improbableSilence =
        interval * maxSilenceInMeanIntervals / static_cast<double>(machines);
    const auto silence =
        std::clamp<Seconds>(improbableSilence, interval * minSilenceInHeartbeatIntervals,
                            interval * maxSilenceInHeartbeatIntervals);
    return std::max(minSilence, toSteadyDuration(silence));
}

std::vector<std::string> WorkerReachability::machineAddresses(
    const std::vector<std::uint32_t>& partitions) {
    std::vector<std::string> addresses;
    auto clusterState = context_.clusterState.lock();
    for (const auto partition : partitions)
        for (const auto* machine : clusterState->machinesOf(partition))
            if (!machine->decommissioned && !machine->address.empty())
                addresses.push_back(machine->address);
    std::shuffle(addresses.begin(), addresses.end(), context_.rng);
    return addresses;
}

void WorkerReachability::checkReachability(const std::vector<std::uint32_t>& partitions) {
    if (pendingInspections_ > 0) return;
    if (!unreachable_) {
        const auto silence = maxSilence(partitions);
        if (!silence || context_.now() - lastContact_ <= *silence) return;
        return inspect(machineAddresses(partitions));
    }
    if (context_.now() - unreachableSince_ > presumedReachableAfter) return recordContact();
    auto addresses = machineAddresses(partitions);
    // Peers lead this node's partitions by now. The machines of the partition that this node leads
    // by preference can be inspected instead.
    if (addresses.empty()) addresses = machineAddresses({context_.preferredPartition});
    inspect(addresses);
}

void WorkerReachability::inspect(const std::vector<std::string>& addresses) {
    // If there is only a single machine, it may just have failed. Transferring its partition to a
    // peer does no harm then: if the machine is alive the peer receives its heartbeats, otherwise
    // the peer detects the failure as well.
    const auto count = std::min(addresses.size(), maxInspectionsPerRound);
    pendingInspections_ = count;
    anyResponse_ = false;
    for (std::size_t i = 0; i < count; ++i)
        context_.network.call(addresses[i], {"GET", protocol::wire::pathInspect, {}},
                              inspectTimeout,
                              [this](const std::optional<transport::HttpResponse>& response) {
                                  anyResponse_ = anyResponse_ || response.has_value();
                                  if (--pendingInspections_ == 0) finishInspection();
                              });
}

void WorkerReachability::finishInspection() {
    if (anyResponse_) return recordContact();
    if (!unreachable_ && ++silentRounds_ >= silentRoundsUntilUnreachable) setUnreachable(true);
}

}  // namespace fawnwheel::coordination
