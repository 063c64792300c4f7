#include "coordination/api/job_status_reader.h"

#include <algorithm>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using protocol::StateResult;

// About 100 bytes each. A request for an ended job that is no longer among these costs a read.
constexpr std::size_t maxCachedTerminalStates = 20'000;
constexpr int maxTries = 4;
constexpr double statusFractionOfRequests = 0.3;
constexpr Seconds maxBatchDelay{0.25};
constexpr std::size_t comparesPerRequest = 2;

}  // namespace

void JobStatusReader::cacheTerminalStatus(const std::string& id, bool cancelled) {
    if (!terminalCache_.emplace(id, cancelled).second) return;
    terminalCacheOrder_.push_back(id);
    if (terminalCacheOrder_.size() > maxCachedTerminalStates) {
        terminalCache_.erase(terminalCacheOrder_.front());
        terminalCacheOrder_.pop_front();
    }
}

std::optional<JobStatus> JobStatusReader::cachedTerminalStatus(const std::string& id) const {
    const auto found = terminalCache_.find(id);
    if (found == terminalCache_.end()) return std::nullopt;
    return found->second ? JobStatus::terminalCancelled : JobStatus::terminalDone;
}

void JobStatusReader::retry(const StatusRequest& statusRequest) {
    enqueue(
        {statusRequest.id, statusRequest.purpose, statusRequest.callback, statusRequest.tries + 1});
}

void JobStatusReader::enqueue(StatusRequest statusRequest) {
    if (statusRequest.tries >= maxTries) return statusRequest.callback(JobStatus::undetermined);
    auto& queue = statusRequest.purpose == ReadPurpose::decision ? decisions_ : statusRequests_;
    queue.push_back(std::move(statusRequest));
    if (flushing_) return;
    flushing_ = true;
    // Requests are delayed briefly, so that one compare-only transaction covers many of them.
    const double batchesPerSecond = context_.settings.stateRequestsPerSecond /
                                    static_cast<double>(context_.nodes.size()) *
                                    statusFractionOfRequests;
    context_.timers.after(
        toSteadyDuration(std::min(maxBatchDelay, Seconds(1.0 / batchesPerSecond))), [this] {
            flushing_ = false;
            flush();
        });
}

void JobStatusReader::flush() {
    flushQueue(decisions_, protocol::RequestPriority::userRequest);
    flushQueue(statusRequests_, protocol::RequestPriority::read);
}

void JobStatusReader::flushQueue(std::deque<StatusRequest>& queue,
                                 protocol::RequestPriority priority) {
    const auto maxCompares = context_.settings.maxTransactionCompares();
    while (!queue.empty()) {
        protocol::CompareAndSwap compare;
        auto batch = std::make_shared<std::vector<SentRequest>>();
        {
            auto clusterState = context_.clusterState.lock();
            while (!queue.empty() && compare.compares.size() + comparesPerRequest <= maxCompares) {
                StatusRequest statusRequest = std::move(queue.front());
                queue.pop_front();
                const Job* job = clusterState->job(statusRequest.id);
                const auto key = storage::keys::job(statusRequest.id);
                if (job != nullptr) {
                    compare.compares.push_back({key, job->version});
                } else {
                    compare.compares.push_back({key, 0});
                    compare.compares.push_back({storage::keys::terminal(statusRequest.id), 0});
                }
                batch->push_back({std::move(statusRequest), job != nullptr});
            }
        }
        context_.stateClient.transact(
            std::move(compare), priority,
            [this, batch](const protocol::CompareAndSwapResponse& response) {
                for (const auto& sent : *batch) handleResponse(sent, response);
            });
    }
}

bool JobStatusReader::compareFailed(const protocol::CompareAndSwapResponse& response,
                                    const std::string& id) {
    const auto failedOn = [&response](const std::string& key) {
        return std::find(response.failed.begin(), response.failed.end(), key) !=
               response.failed.end();
    };
    return failedOn(storage::keys::job(id)) || failedOn(storage::keys::terminal(id));
}

void JobStatusReader::handleResponse(const SentRequest& sent,
                                     const protocol::CompareAndSwapResponse& response) {
    const auto& statusRequest = sent.statusRequest;
    if (response.result != StateResult::ok && response.result != StateResult::conflict)
        return statusRequest.callback(JobStatus::undetermined);
    if (compareFailed(response, statusRequest.id)) return readTerminal(statusRequest);
    // Only compares of other requests in the batch failed, so this request is sent again.
    if (response.result == StateResult::conflict) return retry(statusRequest);
    if (!sent.active) return statusRequest.callback(JobStatus::unknownJob);
    JobStatus status = JobStatus::undetermined;
    {
        auto clusterState = context_.clusterState.lock();
        const Job* job = clusterState->job(statusRequest.id);
        // The job ended or was cancelled while this transaction was in flight. A peer may already
        // have confirmed a cancellation to the user, and this response may be older than that
        // (scenario mass_cancel).
        if (job == nullptr || (!job->cancelled && clusterState->knownCancelled(*job)))
            return retry(statusRequest);
        status = statusOf(*job);
    }
    statusRequest.callback(status);
}

JobStatus JobStatusReader::statusOf(const Job& job) const {
    if (job.cancelled) return JobStatus::cancelled;
    if (!job.blockedOnDependencies) return JobStatus::active;
    // A dependency, direct or transitive, may have been cancelled. The records known here include
    // every cancellation that was confirmed to a user before `currentAsOf`; a cancellation
    // confirmed later is less than `cancel_s` old. A node that owns no part of the job still takes
    // it to be blocked after all its dependencies have left the active records. These dependencies
    // are done: otherwise the job would be cancelled, because the record of a cancelled job is kept
    // for as long as the record of any job that depends on it.
    const bool replicaIsCurrent = context_.now() - replica_.currentAsOf() <
                                  toSteadyDuration(context_.settings.cancellationTimeout / 2);
    return job.dependencyCancelled || !replicaIsCurrent ? JobStatus::undetermined
                                                        : JobStatus::active;
}

void JobStatusReader::readTerminal(const StatusRequest& statusRequest) {
    context_.stateClient.read(storage::keys::terminal(statusRequest.id),
                              [this, statusRequest](const protocol::ReadResponse& terminal) {
                                  if (terminal.result != StateResult::ok)
                                      return statusRequest.callback(JobStatus::undetermined);
                                  if (terminal.items.empty()) return readActive(statusRequest);
                                  const bool cancelled =
                                      storage::readTerminal(terminal.items.front().value).cancelled;
                                  cacheTerminalStatus(statusRequest.id, cancelled);
                                  statusRequest.callback(cancelled ? JobStatus::terminalCancelled
                                                                   : JobStatus::terminalDone);
                              });
}

void JobStatusReader::readActive(const StatusRequest& statusRequest) {
    context_.stateClient.read(storage::keys::job(statusRequest.id),
                              [this, statusRequest](const protocol::ReadResponse& active) {
                                  if (active.result != StateResult::ok)
                                      return statusRequest.callback(JobStatus::undetermined);
                                  // The job ended between the two reads.
                                  if (active.items.empty()) return retry(statusRequest);
                                  const auto& item = active.items.front();
                                  JobStatus status = JobStatus::undetermined;
                                  {
                                      auto clusterState = context_.clusterState.lock();
                                      storage::applyAnswer(*clusterState,
                                                           {item.key, item.value, item.version},
                                                           context_.now());
                                      const Job* job = clusterState->job(statusRequest.id);
                                      // The job ended after this read.
                                      if (job == nullptr) return retry(statusRequest);
                                      status = statusOf(*job);
                                  }
                                  statusRequest.callback(status);
                              });
}

}  // namespace fawnwheel::coordination
