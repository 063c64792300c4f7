#include "coordination/scheduling/completion_notifier.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxReadsInFlight = 16;
constexpr auto retryDelay = 300ms;

}  // namespace

bool CompletionNotifier::hasDependentIn(ClusterState& clusterState, const std::string& dependency,
                                        const Partitions& partitions) {
    const auto& dependents = clusterState.dependencyGraph.dependents(dependency);
    return std::any_of(dependents.begin(), dependents.end(), [&](const std::string& id) {
        const Job* job = clusterState.job(id);
        if (job == nullptr || job->cancelled) return false;
        return partitions.contains(job->partition) ||
               std::any_of(job->slices.begin(), job->slices.end(),
                           [&partitions](const Slice& slice) {
                               return partitions.contains(slice.partition);
                           });
    });
}

CompletionNotifier::Partitions CompletionNotifier::ledPartitions() {
    const auto partitions = membership_.ledPartitions();
    return {partitions.begin(), partitions.end()};
}

void CompletionNotifier::resolveDependencies() {
    const auto now = context_.now();
    std::erase_if(retryAt_, [now](const auto& entry) { return entry.second <= now; });
    std::vector<std::string> toRead;
    const auto partitions = ledPartitions();
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& id : clusterState->dependencyGraph.unresolved()) {
            if (readsInFlight_.size() + toRead.size() >= maxReadsInFlight) break;
            if (!readsInFlight_.contains(id) && !retryAt_.contains(id) &&
                hasDependentIn(*clusterState, id, partitions))
                toRead.push_back(id);
        }
    }
    for (const auto& id : toRead) readTerminal(id);
}

void CompletionNotifier::readTerminal(const std::string& dependency) {
    readsInFlight_.insert(dependency);
    context_.stateClient.read(
        storage::keys::terminal(dependency),
        [this, dependency](const protocol::ReadResponse& response) {
            readsInFlight_.erase(dependency);
            if (response.result != protocol::StateResult::ok || response.items.empty()) {
                // If there is no terminal record, the `JobCompleted` message came early or the
                // replica lags behind the records. The read is retried, as after a failed read.
                retryAt_[dependency] = context_.now() + context_.jittered(retryDelay);
                return;
            }
            const auto state = storage::readTerminal(response.items.front().value);
            spdlog::debug("completion: dependency_resolved job={} outcome={}", dependency,
                          state.cancelled ? "cancelled" : "done");
            context_.clusterState.lock()->dependencyGraph.recordTerminal(dependency, state);
            rounds_.scheduleRound();
        },
        protocol::RequestPriority::userRequest);
}

void CompletionNotifier::notifyDependents(const std::string& job) {
    std::set<std::string> leaders;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& id : clusterState->dependencyGraph.dependents(job))
            if (const Job* dependent = clusterState->job(id))
                leaders.insert(clusterState->partitions[dependent->partition].leader);
    }
    for (const auto& leader : leaders)
        if (leader != context_.settings.name && !leader.empty())
            context_.network.sendFrame(leader, protocol::encodePeer({context_.settings.name,
                                                                     protocol::JobCompleted{job}}));
}

void CompletionNotifier::onJobCompleted(const protocol::JobCompleted& message) {
    {
        auto clusterState = context_.clusterState.lock();
        if (clusterState->dependencyGraph.isTerminalKnown(message.job) ||
            readsInFlight_.contains(message.job) || readsInFlight_.size() >= maxReadsInFlight ||
            !hasDependentIn(*clusterState, message.job, ledPartitions()))
            return;
    }
    readTerminal(message.job);
}

}  // namespace fawnwheel::coordination
