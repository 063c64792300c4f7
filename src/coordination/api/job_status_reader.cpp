#include "coordination/api/job_status_reader.h"

#include <algorithm>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using protocol::StateResult;

// About 100 bytes each; what is asked about again after more jobs have ended costs a read.
constexpr std::size_t maxTerminals = 20'000;
constexpr int maxTries = 4;
constexpr double statusFractionOfRequests = 0.3;
constexpr Seconds maxBatchDelay{0.25};
constexpr std::size_t comparesPerRequest = 2;

}  // namespace

void JobStatusReader::recordTerminal(const std::string& id, bool cancelled) {
    if (!terminals_.emplace(id, cancelled).second) return;
    terminalOrder_.push_back(id);
    if (terminalOrder_.size() > maxTerminals) {
        terminals_.erase(terminalOrder_.front());
        terminalOrder_.pop_front();
    }
}

std::optional<JobStatus> JobStatusReader::knownTerminal(const std::string& id) const {
    const auto found = terminals_.find(id);
    if (found == terminals_.end()) return std::nullopt;
    return found->second ? JobStatus::terminalCancelled : JobStatus::terminalDone;
}

void JobStatusReader::retry(const StatusRequest& statusRequest) {
    enqueue({statusRequest.id, statusRequest.purpose, statusRequest.done, statusRequest.tries + 1});
}

void JobStatusReader::enqueue(StatusRequest statusRequest) {
    if (statusRequest.tries >= maxTries) return statusRequest.done(JobStatus::noAnswer);
    auto& queue = statusRequest.purpose == ReadPurpose::decision ? decisions_ : statusRequests_;
    queue.push_back(std::move(statusRequest));
    if (flushing_) return;
    flushing_ = true;
    // Requests wait for a moment: one compare-only transaction answers many of them.
    const double fraction = context_.settings.stateRequests /
                            static_cast<double>(context_.nodes.size()) * statusFractionOfRequests;
    context_.timers.after(toSteadyDuration(std::min(maxBatchDelay, Seconds(1.0 / fraction))),
                          [this] {
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
    const auto maxCompares = context_.settings.transactionConditions();
    while (!queue.empty()) {
        protocol::CompareAndSwap compare;
        auto batch = std::make_shared<std::vector<Sent>>();
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
            [this, batch](const protocol::CompareAndSwapResponse& answer) {
                for (const auto& sent : *batch) settle(sent, answer);
            });
    }
}

bool JobStatusReader::failed(const protocol::CompareAndSwapResponse& answer,
                             const std::string& id) {
    const auto has = [&answer](const std::string& key) {
        return std::find(answer.failed.begin(), answer.failed.end(), key) != answer.failed.end();
    };
    return has(storage::keys::job(id)) || has(storage::keys::terminal(id));
}

void JobStatusReader::settle(const Sent& sent, const protocol::CompareAndSwapResponse& answer) {
    const auto& statusRequest = sent.statusRequest;
    if (answer.result != StateResult::ok && answer.result != StateResult::conflict)
        return statusRequest.done(JobStatus::noAnswer);
    if (failed(answer, statusRequest.id)) return readTerminal(statusRequest);
    // Others of the batch have failed; this one is sent again.
    if (answer.result == StateResult::conflict) return retry(statusRequest);
    if (!sent.active) return statusRequest.done(JobStatus::unknownJob);
    JobStatus status = JobStatus::noAnswer;
    {
        auto clusterState = context_.clusterState.lock();
        const Job* job = clusterState->job(statusRequest.id);
        // Ended by ourselves while this was under way, or called off: its user may have been told
        // so by a peer before this answer came, which was given before that (mass_cancel).
        if (job == nullptr || (!job->cancelled && clusterState->knownCancelled(*job)))
            return retry(statusRequest);
        status = statusOf(*job);
    }
    statusRequest.done(status);
}

JobStatus JobStatusReader::statusOf(const Job& job) const {
    if (job.cancelled) return JobStatus::cancelled;
    if (!job.blockedOnDependencies) return JobStatus::active;
    // A job that it needs, directly or through others, may have been called off. All that anybody
    // was told before the records known here were read is in them; what may have been told after
    // that was told less than `cancel_s` ago. A job whose dependencies have all left the active
    // records is still held to be waiting by a node that owns none of it: they are done, or it
    // would be cancelled, since the record of a cancelled job outlives the last of those that name
    // it.
    const bool current =
        context_.now() - replica_.currentAsOf() < toSteadyDuration(context_.settings.cancel / 2);
    return job.dependencyCancelled || !current ? JobStatus::noAnswer : JobStatus::active;
}

void JobStatusReader::readTerminal(const StatusRequest& statusRequest) {
    context_.stateClient.read(
        storage::keys::terminal(statusRequest.id),
        [this, statusRequest](const protocol::ReadResponse& end) {
            if (end.result != StateResult::ok) return statusRequest.done(JobStatus::noAnswer);
            if (end.items.empty()) return readActive(statusRequest);
            const bool cancelled = storage::readTerminal(end.items.front().value).cancelled;
            recordTerminal(statusRequest.id, cancelled);
            statusRequest.done(cancelled ? JobStatus::terminalCancelled : JobStatus::terminalDone);
        });
}

void JobStatusReader::readActive(const StatusRequest& statusRequest) {
    context_.stateClient.read(storage::keys::job(statusRequest.id),
                              [this, statusRequest](const protocol::ReadResponse& active) {
                                  if (active.result != StateResult::ok)
                                      return statusRequest.done(JobStatus::noAnswer);
                                  // Ended between the two reads.
                                  if (active.items.empty()) return retry(statusRequest);
                                  const auto& item = active.items.front();
                                  JobStatus status = JobStatus::noAnswer;
                                  {
                                      auto clusterState = context_.clusterState.lock();
                                      storage::applyEvent(*clusterState,
                                                          {item.key, item.value, item.version},
                                                          context_.now());
                                      if (const Job* job = clusterState->job(statusRequest.id))
                                          status = statusOf(*job);
                                  }
                                  statusRequest.done(status);
                              });
}

}  // namespace fawnwheel::coordination
