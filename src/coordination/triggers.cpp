#include "coordination/triggers.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "bookkeeping/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t mostReads = 16;  // at once
constexpr auto pauseAfterFailure = 300ms;

}  // namespace

bool Triggers::concerns(ClusterState& clusterState, const std::string& predecessor,
                        const Partitions& partitions) {
    const auto& successors = clusterState.dependencies.successors(predecessor);
    return std::any_of(successors.begin(), successors.end(), [&](const std::string& id) {
        const Job* job = clusterState.job(id);
        if (job == nullptr || job->cancelled) return false;
        return partitions.contains(job->partition) ||
               std::any_of(job->slices.begin(), job->slices.end(),
                           [&partitions](const Slice& slice) {
                               return partitions.contains(slice.partition);
                           });
    });
}

Triggers::Partitions Triggers::ledPartitions() {
    const auto partitions = membership_.ledPartitions();
    return {partitions.begin(), partitions.end()};
}

void Triggers::review() {
    const auto now = context_.now();
    std::erase_if(notBefore_, [now](const auto& entry) { return entry.second <= now; });
    std::vector<std::string> wanted;
    const auto partitions = ledPartitions();
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& id : clusterState->dependencies.unresolved()) {
            if (reading_.size() + wanted.size() >= mostReads) break;
            if (!reading_.contains(id) && !notBefore_.contains(id) &&
                concerns(*clusterState, id, partitions))
                wanted.push_back(id);
        }
    }
    for (const auto& id : wanted) read(id);
}

void Triggers::read(const std::string& predecessor) {
    reading_.insert(predecessor);
    context_.state.read(
        bookkeeping::keys::terminal(predecessor),
        [this, predecessor](const protocol::ReadResponse& answer) {
            reading_.erase(predecessor);
            if (answer.result != protocol::StateResult::ok || answer.items.empty()) {
                // Without a record the message was early, or the cluster state lags; it is asked
                // again.
                notBefore_[predecessor] = context_.now() + context_.jittered(pauseAfterFailure);
                return;
            }
            const auto state = bookkeeping::readTerminal(answer.items.front().value);
            spdlog::debug("job {}: read to be {}", predecessor,
                          state.cancelled ? "cancelled" : "done");
            context_.clusterState.lock()->dependencies.recordTerminal(predecessor, state);
            onRead();
        },
        protocol::RequestPriority::userRequest);
}

void Triggers::announce(const std::string& job) {
    std::set<std::string> leaders;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& id : clusterState->dependencies.successors(job))
            if (const Job* successor = clusterState->job(id))
                leaders.insert(clusterState->partitions[successor->partition].leader);
    }
    for (const auto& leader : leaders)
        if (leader != context_.settings.name && !leader.empty())
            context_.network.sendFrame(
                leader, protocol::encodePeer({context_.settings.name, protocol::JobEnded{job}}));
}

void Triggers::onEnded(const protocol::JobEnded& message) {
    {
        auto clusterState = context_.clusterState.lock();
        if (clusterState->dependencies.isTerminalKnown(message.job) ||
            reading_.contains(message.job) || reading_.size() >= mostReads ||
            !concerns(*clusterState, message.job, ledPartitions()))
            return;
    }
    read(message.job);
}

}  // namespace fawnwheel::coordination
