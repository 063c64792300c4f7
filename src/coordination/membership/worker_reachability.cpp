#include "coordination/membership/worker_reachability.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "protocol/names.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t inspectedAtOnce = 3;
constexpr int roundsToLose = 2;
constexpr auto inspectTimeout = 1s;
// Heartbeats of many workers come at random moments: a gap of so many mean intervals is no chance.
constexpr double unlikelyGaps = 20;
constexpr double minHeartbeatIntervals = 0.5;
constexpr double maxHeartbeatIntervals = 2.5;
constexpr Duration leastSilence = 3s;
constexpr auto steadyAfter = 4s;
// Those that were inspected may be gone rather than cut off: contact is then taken to be back.
constexpr auto presumedBack = 60s;

}  // namespace

bool WorkerReachability::isStable() const {
    return !unreachable_ && (!reachableSince_ || context_.now() - *reachableSince_ >= steadyAfter);
}

void WorkerReachability::recordContact() {
    lastContact_ = context_.now();
    silentRounds_ = 0;
    if (unreachable_) setUnreachable(false);
}

void WorkerReachability::setUnreachable(bool lost) {
    if (unreachable_ == lost) return;
    unreachable_ = lost;
    if (lost)
        unreachableSince_ = context_.now();
    else
        reachableSince_ = context_.now();
    spdlog::info("workers: {}", lost ? "none reaches this node" : "reach this node again");
    onChange();
}

std::optional<Duration> WorkerReachability::longestSilence(
    const std::vector<std::uint32_t>& partitions) {
    std::size_t machines = 0;
    auto clusterState = context_.clusterState.lock();
    for (const auto partition : partitions)
        for (const auto* machine : clusterState->machinesOf(partition))
            if (!machine->decommissioned &&
                (machine->lastHeartbeat || !machine->allocations.empty()))
                ++machines;
    if (machines == 0) return std::nullopt;
    const auto period = context_.settings.heartbeatInterval;
    const Seconds unlikely = period * unlikelyGaps / static_cast<double>(machines);
    const auto silence = std::clamp<Seconds>(unlikely, period * minHeartbeatIntervals,
                                             period * maxHeartbeatIntervals);
    return std::max(leastSilence, ticks(silence));
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
    if (open_ > 0) return;
    if (!unreachable_) {
        const auto silence = longestSilence(partitions);
        if (!silence || context_.now() - lastContact_ <= *silence) return;
        return inspect(addressesOf(partitions));
    }
    if (context_.now() - unreachableSince_ > presumedBack) return recordContact();
    auto addresses = addressesOf(partitions);
    // Its partitions are with peers now: the machines of the partition that it owns by preference
    // will do.
    if (addresses.empty()) addresses = addressesOf({context_.preferredPartition});
    inspect(addresses);
}

void WorkerReachability::inspect(const std::vector<std::string>& addresses) {
    // A single machine may just be dead. To give its partition to a peer does no harm then: if it
    // is alive it is heard there, and else the peer finds out as well.
    const auto count = std::min(addresses.size(), inspectedAtOnce);
    open_ = count;
    answered_ = false;
    for (std::size_t i = 0; i < count; ++i)
        context_.network.call(addresses[i], {"GET", protocol::wire::pathInspect, {}},
                              inspectTimeout,
                              [this](const std::optional<transport::HttpResponse>& response) {
                                  answered_ = answered_ || response.has_value();
                                  if (--open_ == 0) finishRound();
                              });
}

void WorkerReachability::finishRound() {
    if (answered_) return recordContact();
    if (!unreachable_ && ++silentRounds_ >= roundsToLose) setUnreachable(true);
}

}  // namespace fawnwheel::coordination
