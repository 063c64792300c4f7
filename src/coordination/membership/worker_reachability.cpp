#include "coordination/membership/worker_reachability.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "protocol/names.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxInspections = 3;
constexpr int silentRoundsToLose = 2;
constexpr auto inspectTimeout = 1s;
// Heartbeats of many workers come at random moments: a gap of so many mean intervals is no
// coincidence.
constexpr double maxMeanIntervals = 20;
constexpr double minHeartbeatIntervals = 0.5;
constexpr double maxHeartbeatIntervals = 2.5;
constexpr Duration minSilence = 3s;
constexpr auto stableAfter = 4s;
// The inspected workers may be gone rather than cut off: after this the others are presumed to
// reach this node again.
constexpr auto presumedReachableAfter = 60s;

}  // namespace

bool WorkerReachability::isStable() const {
    return !unreachable_ && (!reachableSince_ || context_.now() - *reachableSince_ >= stableAfter);
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
    const Seconds improbable = interval * maxMeanIntervals / static_cast<double>(machines);
    const auto silence = std::clamp<Seconds>(improbable, interval * minHeartbeatIntervals,
                                             interval * maxHeartbeatIntervals);
    return std::max(minSilence, toSteadyDuration(silence));
}

std::vector<std::string> WorkerReachability::addressesOf(
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
        return inspect(addressesOf(partitions));
    }
    if (context_.now() - unreachableSince_ > presumedReachableAfter) return recordContact();
    auto addresses = addressesOf(partitions);
    // Its partitions are with peers now: the machines of the partition whose preferred leader it is
    // serve as well.
    if (addresses.empty()) addresses = addressesOf({context_.preferredPartition});
    inspect(addresses);
}

void WorkerReachability::inspect(const std::vector<std::string>& addresses) {
    // A single machine may just be dead. Transferring its partition to a peer does no harm then: if
    // the machine is alive the peer receives its heartbeats, else the peer finds out as well.
    const auto count = std::min(addresses.size(), maxInspections);
    pendingInspections_ = count;
    anyAnswered_ = false;
    for (std::size_t i = 0; i < count; ++i)
        context_.network.call(addresses[i], {"GET", protocol::wire::pathInspect, {}},
                              inspectTimeout,
                              [this](const std::optional<transport::HttpResponse>& response) {
                                  anyAnswered_ = anyAnswered_ || response.has_value();
                                  if (--pendingInspections_ == 0) finishInspection();
                              });
}

void WorkerReachability::finishInspection() {
    if (anyAnswered_) return recordContact();
    if (!unreachable_ && ++silentRounds_ >= silentRoundsToLose) setUnreachable(true);
}

}  // namespace fawnwheel::coordination
