#include "coordination/api/admission.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "protocol/names.h"
#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;
using protocol::StateResult;
using transport::HttpReply;
using transport::HttpResponse;

constexpr int maxTries = 4;
constexpr int retryAfterSeconds = 1;

HttpResponse unavailable() {
    return {503, {}, retryAfterSeconds};
}

HttpResponse responseTo(SubmissionError error) {
    switch (error) {
        case SubmissionError::malformed:
            return {400, {}, 0};
        case SubmissionError::unsatisfiable:
            return {422, {}, 0};
        case SubmissionError::undecidable:
            break;
    }
    return unavailable();
}

HttpResponse ok(const protocol::Json& body, int status = 200) {
    return {status, protocol::encodeCbor(body), 0};
}

}  // namespace

HttpReply Admission::withConcurrencyLimit(ConcurrencyLimiter& limiter, HttpReply reply) {
    limiter.onRequestStarted();
    return [this, &limiter, startedAt = context_.now(),
            reply = std::move(reply)](HttpResponse response) {
        limiter.onRequestFinished(context_.now() - startedAt);
        reply(std::move(response));
    };
}

void Admission::submit(const std::string& body, HttpReply reply) {
    auto decoded = SubmissionValidator::decode(body);
    if (!decoded) return reply(responseTo(SubmissionError::malformed));
    const auto& id = decoded->spec.id;
    if (const auto terminal = statusReader_.cachedTerminalStatus(id))
        return reply(makeStatusResponse(id, *terminal, true));
    // If the node cannot accept jobs now, it responds at once and tells the user when to retry.
    if (!replica_.synced() || !context_.stateClient.reachable() || submissions_.isFull())
        return reply(unavailable());
    reply = withConcurrencyLimit(submissions_, std::move(reply));
    if (context_.clusterState.lock()->job(id) != nullptr) return respondForExistingJob(id, reply);
    if (const auto error = validator_.validate(*decoded)) return rejectNewJob(id, *error, reply);
    accept(std::make_shared<Submission>(
        Submission{std::move(decoded->spec), std::move(reply), 0, std::map<std::string, bool>{}}));
}

void Admission::rejectNewJob(const std::string& id, SubmissionError error, const HttpReply& reply) {
    // An accepted job stays accepted, even if the catalog, the teams' settings or the state
    // service's limits no longer allow it, or an earlier version did not check its text.
    statusReader_.readStatus(id, ReadPurpose::decision, [this, id, error, reply](JobStatus status) {
        if (status == JobStatus::unknownJob) return reply(responseTo(error));
        respond(id, status, true, reply);
    });
}

void Admission::respondForExistingJob(const std::string& id, const HttpReply& reply) {
    statusReader_.readStatus(id, ReadPurpose::decision, [this, id, reply](JobStatus status) {
        if (status == JobStatus::unknownJob) return reply(unavailable());
        respond(id, status, true, reply);
    });
}

Admission::DependencyCheck Admission::checkDependencies(ClusterState& clusterState,
                                                        const Submission& submission) const {
    DependencyCheck dependencyCheck;
    // While a node of the previous version may come back, no node can guarantee that jobs run in
    // the order of their dependencies.
    if (!submission.spec.dependencies.empty() && !context_.jobDependenciesEnabled(clusterState))
        dependencyCheck.rejection = unavailable();
    for (const auto& id : submission.spec.dependencies)
        checkDependency(clusterState, submission, id, dependencyCheck);
    return dependencyCheck;
}

void Admission::checkDependency(ClusterState& clusterState, const Submission& submission,
                                const std::string& id, DependencyCheck& dependencyCheck) const {
    if (const auto terminal = submission.terminalDependencies.find(id);
        terminal != submission.terminalDependencies.end()) {
        dependencyCheck.cancelled = dependencyCheck.cancelled || terminal->second;
        return;
    }
    if (const auto terminal = statusReader_.cachedTerminalStatus(id)) {
        dependencyCheck.cancelled =
            dependencyCheck.cancelled || terminal == JobStatus::terminalCancelled;
        return;
    }
    const Job* active = clusterState.job(id);
    if (active == nullptr) {
        dependencyCheck.unresolved.push_back(id);
        return;
    }
    // A service never ends, so no job may depend on it. A job that is going to be cancelled, but
    // whose record does not say so yet, has to be recorded as cancelled before its dependents.
    if (active->spec.kind == protocol::JobKind::service)
        dependencyCheck.rejection = HttpResponse{422, {}, 0};
    else if (!active->cancelled &&
             (active->dependencyCancelled || clusterState.knownCancelled(*active)))
        dependencyCheck.rejection = unavailable();
    dependencyCheck.cancelled = dependencyCheck.cancelled || active->cancelled;
    dependencyCheck.compares.push_back({storage::keys::job(id), active->version});
}

void Admission::accept(const SubmissionPtr& submission) {
    if (submission->tries++ >= maxTries) return submission->reply(unavailable());
    const auto dependencyCheck = checkDependencies(*context_.clusterState.lock(), *submission);
    if (dependencyCheck.rejection) return submission->reply(*dependencyCheck.rejection);
    if (!dependencyCheck.unresolved.empty())
        return readDependencies(submission, dependencyCheck.unresolved);
    if (dependencyCheck.cancelled)
        createCancelled(submission, dependencyCheck);
    else
        create(submission, dependencyCheck);
}

void Admission::readDependencies(const SubmissionPtr& submission,
                                 const std::vector<std::string>& dependencies) {
    struct PendingReads {
        std::size_t remaining = 0;
        std::optional<HttpResponse> rejection;
    };
    auto pending = std::make_shared<PendingReads>();
    pending->remaining = dependencies.size();
    for (const auto& id : dependencies)
        statusReader_.readStatus(
            id, ReadPurpose::decision, [this, submission, pending, id](JobStatus status) {
                if (status == JobStatus::terminalDone || status == JobStatus::terminalCancelled)
                    submission->terminalDependencies[id] = status == JobStatus::terminalCancelled;
                // Only the state service itself can confirm that a job was never accepted.
                if (status == JobStatus::unknownJob) pending->rejection = HttpResponse{422, {}, 0};
                if (status == JobStatus::undetermined && !pending->rejection)
                    pending->rejection = unavailable();
                if (--pending->remaining > 0) return;
                if (pending->rejection) return submission->reply(*pending->rejection);
                accept(submission);
            });
}

void Admission::create(const SubmissionPtr& submission, const DependencyCheck& dependencyCheck) {
    const auto& spec = submission->spec;
    Job job = validator_.makeJob(spec);
    job.partition = migrator_.choosePartition(job);
    const auto key = storage::keys::job(spec.id);
    const auto value = storage::jobValue(job);
    // A late execution of this transaction cannot revive a job, because the terminal record of an
    // ended job makes it fail. Nor can it create a job whose dependency has been cancelled or has
    // ended meanwhile, because both change the dependency's active record.
    protocol::CompareAndSwap transaction{dependencyCheck.compares, {{key, value, 0}}};
    transaction.compares.push_back({key, 0});
    transaction.compares.push_back({storage::keys::terminal(spec.id), 0});
    context_.stateClient.transact(
        std::move(transaction), protocol::RequestPriority::userRequest,
        [this, submission, key, value](const protocol::CompareAndSwapResponse& response) {
            if (response.result == StateResult::conflict) return onConflict(submission, response);
            if (response.result != StateResult::ok) return submission->reply(unavailable());
            {
                auto clusterState = context_.clusterState.lock();
                storage::applyAnswer(*clusterState, {key, value, response.revision},
                                     context_.now());
            }
            submission->reply(ok(
                protocol::encodeJobState(submission->spec.id, protocol::wire::stateQueued), 201));
            observer_.onJobAccepted();
        });
}

void Admission::createCancelled(const SubmissionPtr& submission,
                                const DependencyCheck& dependencyCheck) {
    // The job is accepted although a dependency is cancelled; it gets a terminal record at once.
    const auto& id = submission->spec.id;
    const auto terminal = storage::keys::terminal(id);
    protocol::CompareAndSwap transaction{
        dependencyCheck.compares,
        {{terminal, storage::terminalValue({true, context_.timers.wallNow()}), 0}}};
    transaction.compares.push_back({storage::keys::job(id), 0});
    transaction.compares.push_back({terminal, 0});
    context_.stateClient.transact(
        std::move(transaction), protocol::RequestPriority::userRequest,
        [this, submission](const protocol::CompareAndSwapResponse& response) {
            if (response.result == StateResult::conflict) return onConflict(submission, response);
            if (response.result != StateResult::ok) return submission->reply(unavailable());
            statusReader_.cacheTerminalStatus(submission->spec.id, true);
            submission->reply(
                ok(protocol::encodeJobState(submission->spec.id, protocol::wire::stateCancelled),
                   201));
        });
}

void Admission::onConflict(const SubmissionPtr& submission,
                           const protocol::CompareAndSwapResponse& response) {
    const auto& id = submission->spec.id;
    std::vector<std::string> changedDependencies;  // whose records have changed
    for (const auto& dependency : submission->spec.dependencies)
        if (std::find(response.failed.begin(), response.failed.end(),
                      storage::keys::job(dependency)) != response.failed.end())
            changedDependencies.push_back(dependency);
    const auto ownCompareFailed = response.failed.size() > changedDependencies.size();
    if (ownCompareFailed || changedDependencies.empty())
        return respondForExistingJob(id, submission->reply);
    readDependencies(submission, changedDependencies);
}

HttpResponse Admission::makeStatusResponse(const std::string& id, JobStatus status,
                                           bool withoutCounts) {
    namespace wire = protocol::wire;
    const char* state = wire::stateQueued;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
    switch (status) {
        case JobStatus::unknownJob:
            return {404, {}, 0};
        case JobStatus::undetermined:
            return unavailable();
        case JobStatus::terminalDone:
            state = wire::stateDone;
            break;
        case JobStatus::cancelled:
        case JobStatus::terminalCancelled:
            state = wire::stateCancelled;
            break;
        case JobStatus::active: {
            auto clusterState = context_.clusterState.lock();
            if (const Job* job = clusterState->job(id)) {
                done = job->doneTasks();
                running = job->allocatedTasks();
                if (running > 0) state = wire::stateRunning;
            }
        }
    }
    return ok(withoutCounts ? protocol::encodeJobState(id, state)
                            : protocol::encodeJobState(id, state, done, running));
}

void Admission::respond(const std::string& id, JobStatus status, bool withoutCounts,
                        const HttpReply& reply) {
    auto response = makeStatusResponse(id, status, withoutCounts);
    if (status != JobStatus::cancelled) return reply(std::move(response));
    // Peers are notified even if the cancellation was only read. Its transaction may have been
    // executed late and without a response, so that no node has announced the cancellation yet.
    observer_.onJobCancelled([reply, response = std::move(response)] { reply(response); });
}

void Admission::getStatus(const std::string& id, HttpReply reply) {
    if (!protocol::validJobId(id)) return reply({404, {}, 0});
    if (const auto terminal = statusReader_.cachedTerminalStatus(id))
        return reply(makeStatusResponse(id, *terminal, false));
    if (!replica_.synced() || statusRequests_.isFull()) return reply(unavailable());
    reply = withConcurrencyLimit(statusRequests_, std::move(reply));
    statusReader_.readStatus(id, ReadPurpose::statusRequest, [this, id, reply](JobStatus status) {
        respond(id, status, false, reply);
    });
}

void Admission::cancel(const std::string& id, HttpReply reply) {
    if (!protocol::validJobId(id)) return reply({404, {}, 0});
    if (const auto terminal = statusReader_.cachedTerminalStatus(id))
        return reply(makeStatusResponse(id, *terminal, true));
    if (!replica_.synced() || cancellations_.isFull()) return reply(unavailable());
    tryCancel(id, 0, withConcurrencyLimit(cancellations_, std::move(reply)));
}

void Admission::tryCancel(const std::string& id, int tries, const HttpReply& reply) {
    statusReader_.readStatus(id, ReadPurpose::decision, [this, id, tries, reply](JobStatus status) {
        if (status != JobStatus::active) return respond(id, status, true, reply);
        protocol::CompareAndSwap transaction;
        protocol::Json value;
        const auto key = storage::keys::job(id);
        {
            auto clusterState = context_.clusterState.lock();
            const Job* job = clusterState->job(id);
            if (job == nullptr) return reply(unavailable());
            Job cancelledJob = *job;
            cancelledJob.cancelled = true;
            value = storage::jobValue(cancelledJob);
            transaction = {{{key, job->version}}, {{key, value, 0}}};
        }
        context_.stateClient.transact(
            std::move(transaction), protocol::RequestPriority::userRequest,
            [this, id, key, value, tries, reply](const protocol::CompareAndSwapResponse& response) {
                if (response.result == StateResult::conflict && tries + 1 < maxTries)
                    return tryCancel(id, tries + 1, reply);
                if (response.result != StateResult::ok) return reply(unavailable());
                {
                    auto clusterState = context_.clusterState.lock();
                    storage::applyAnswer(*clusterState, {key, value, response.revision},
                                         context_.now());
                }
                spdlog::debug("admission: job_cancelled job={}", id);
                respond(id, JobStatus::cancelled, true, reply);
            });
    });
}

}  // namespace fawnwheel::coordination
