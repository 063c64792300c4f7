#include "coordination/api/admission.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

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
constexpr double quotaTolerance = 1e-9;
constexpr std::size_t ownCompares = 2;  // of a job that is created

HttpResponse unavailable() {
    return {503, {}, retryAfterSeconds};
}

HttpResponse ok(const protocol::Json& body, int status = 200) {
    return {status, protocol::encodeCbor(body), 0};
}

}  // namespace

HttpReply Admission::limited(ConcurrencyLimiter& limiter, HttpReply reply) {
    limiter.begin();
    return
        [this, &limiter, began = context_.now(), reply = std::move(reply)](HttpResponse response) {
            limiter.end(context_.now() - began);
            reply(std::move(response));
        };
}

bool Admission::fitsSomeType(const protocol::JobSpec& spec) const {
    return std::any_of(
        context_.catalog.begin(), context_.catalog.end(), [&spec](const MachineType& type) {
            const bool zoneKnown = !spec.zone || std::find(type.zones.begin(), type.zones.end(),
                                                           *spec.zone) != type.zones.end();
            return zoneKnown && Placement::typeAllowed(spec, type, spec.zone.value_or(""), false);
        });
}

std::optional<HttpResponse> Admission::check(const protocol::JobSpec& spec) const {
    const auto* team = context_.findTeam(spec.team);
    if (team == nullptr && !context_.settings.teams.empty()) return HttpResponse{422, {}, 0};
    if (context_.catalog.empty()) return unavailable();
    if (!fitsSomeType(spec)) return HttpResponse{422, {}, 0};
    if (team != nullptr) {
        const double at = spec.kind == protocol::JobKind::array ? 1 : spec.tasks;
        if ((team->cpusMax > 0 && spec.each.cpus * at > team->cpusMax + quotaTolerance) ||
            (team->gpusMax > 0 && spec.each.gpus * at > team->gpusMax + quotaTolerance))
            return HttpResponse{422, {}, 0};
    }
    return std::nullopt;
}

Job Admission::newJob(const protocol::JobSpec& spec) const {
    Job job;
    job.spec = spec;
    job.submitted = context_.timers.wallNow();
    job.sliceSize =
        storage::sliceSizeFor(spec, {context_.settings.valueKb, context_.settings.stateWrites},
                              context_.jobDependenciesEnabled(*context_.clusterState.lock()));
    return job;
}

bool Admission::recordable(const protocol::JobSpec& spec) const {
    Job job = newJob(spec);
    job.partition = context_.partitionCount();
    return storage::jobValue(job).dump().size() <= context_.settings.valueBytes() &&
           spec.dependencies.size() + ownCompares <= context_.settings.transactionConditions();
}

void Admission::submit(const std::string& body, HttpReply reply) {
    const auto map = protocol::decodeCbor(body);
    if (!map) return reply({400, {}, 0});
    auto parsed = protocol::parseJobSpec(*map);
    if (!std::holds_alternative<protocol::JobSpec>(parsed)) return reply({400, {}, 0});
    auto& spec = std::get<protocol::JobSpec>(parsed);
    if (const auto terminal = statusReader_.knownTerminal(spec.id))
        return reply(stateOf(spec.id, *terminal, true));
    if (!recordable(spec)) return reply({400, {}, 0});
    // Answered at once when we can't take it: the user is told when to come again.
    if (!replica_.synced() || !context_.stateClient.reachable() || submissions_.full())
        return reply(unavailable());
    reply = limited(submissions_, std::move(reply));
    // A job that was accepted once is known, whatever the catalog or the teams say by now.
    if (context_.clusterState.lock()->job(spec.id) != nullptr) return respondKnown(spec.id, reply);
    if (auto refusal = check(spec))
        return statusReader_.find(spec.id, ReadPurpose::decision,
                                  [this, id = spec.id, refusal, reply](JobStatus status) {
                                      if (status == JobStatus::noAnswer)
                                          return reply(unavailable());
                                      if (status == JobStatus::unknownJob) return reply(*refusal);
                                      respond(id, status, true, reply);
                                  });
    accept(std::make_shared<Submission>(
        Submission{std::move(spec), std::move(reply), 0, std::map<std::string, bool>{}}));
}

void Admission::respondKnown(const std::string& id, const HttpReply& reply) {
    statusReader_.find(id, ReadPurpose::decision, [this, id, reply](JobStatus status) {
        if (status == JobStatus::unknownJob) return reply(unavailable());
        respond(id, status, true, reply);
    });
}

Admission::Judgement Admission::judge(ClusterState& clusterState,
                                      const Submission& submission) const {
    Judgement judgement;
    // While a node of the version before may come back, nobody would keep the order for sure.
    if (!submission.spec.dependencies.empty() && !context_.jobDependenciesEnabled(clusterState))
        judgement.refusal = unavailable();
    for (const auto& id : submission.spec.dependencies)
        judgeDependency(clusterState, submission, id, judgement);
    return judgement;
}

void Admission::judgeDependency(ClusterState& clusterState, const Submission& submission,
                                const std::string& id, Judgement& judgement) const {
    if (const auto terminal = submission.terminals.find(id);
        terminal != submission.terminals.end()) {
        judgement.cancelled = judgement.cancelled || terminal->second;
        return;
    }
    if (const auto terminal = statusReader_.knownTerminal(id)) {
        judgement.cancelled = judgement.cancelled || terminal == JobStatus::terminalCancelled;
        return;
    }
    const Job* active = clusterState.job(id);
    if (active == nullptr) {
        judgement.unknown.push_back(id);
        return;
    }
    // A service never ends; and who needs a cancelled job is cancelled first.
    if (active->spec.kind == protocol::JobKind::service)
        judgement.refusal = HttpResponse{422, {}, 0};
    else if (!active->cancelled &&
             (active->dependencyCancelled || clusterState.knownCancelled(*active)))
        judgement.refusal = unavailable();
    judgement.cancelled = judgement.cancelled || active->cancelled;
    judgement.compares.push_back({storage::keys::job(id), active->version});
}

void Admission::accept(const SubmissionPtr& submission) {
    if (submission->tries++ >= maxTries) return submission->reply(unavailable());
    const auto judgement = judge(*context_.clusterState.lock(), *submission);
    if (judgement.refusal) return submission->reply(*judgement.refusal);
    if (!judgement.unknown.empty()) return lookUp(submission, judgement.unknown);
    if (judgement.cancelled)
        createCancelled(submission, judgement);
    else
        create(submission, judgement);
}

void Admission::lookUp(const SubmissionPtr& submission,
                       const std::vector<std::string>& dependencies) {
    struct PendingReads {
        std::size_t left = 0;
        std::optional<HttpResponse> refusal;
    };
    auto pending = std::make_shared<PendingReads>();
    pending->left = dependencies.size();
    for (const auto& id : dependencies)
        statusReader_.find(
            id, ReadPurpose::decision, [this, submission, pending, id](JobStatus status) {
                if (status == JobStatus::terminalDone || status == JobStatus::terminalCancelled)
                    submission->terminals[id] = status == JobStatus::terminalCancelled;
                // Only the state service itself can say that a job was never accepted.
                if (status == JobStatus::unknownJob) pending->refusal = HttpResponse{422, {}, 0};
                if (status == JobStatus::noAnswer && !pending->refusal)
                    pending->refusal = unavailable();
                if (--pending->left > 0) return;
                if (pending->refusal) return submission->reply(*pending->refusal);
                accept(submission);
            });
}

void Admission::create(const SubmissionPtr& submission, const Judgement& judgement) {
    const auto& spec = submission->spec;
    Job job = newJob(spec);
    job.partition = migrator_.mapJob(job);
    const auto key = storage::keys::job(spec.id);
    const auto value = storage::jobValue(job);
    // Also if this is carried out late it can't revive a job: its end is a record as well. Nor can
    // it follow a job that has been called off or has ended meanwhile: that changes its active
    // record.
    protocol::CompareAndSwap transaction{judgement.compares, {{key, value, 0}}};
    transaction.compares.push_back({key, 0});
    transaction.compares.push_back({storage::keys::terminal(spec.id), 0});
    context_.stateClient.transact(
        std::move(transaction), protocol::RequestPriority::userRequest,
        [this, submission, key, value](const protocol::CompareAndSwapResponse& answer) {
            if (answer.result == StateResult::conflict) return onRefused(submission, answer);
            if (answer.result != StateResult::ok) return submission->reply(unavailable());
            {
                auto clusterState = context_.clusterState.lock();
                storage::applyEvent(*clusterState, {key, value, answer.revision}, context_.now());
            }
            submission->reply(ok(
                protocol::encodeJobState(submission->spec.id, protocol::wire::stateQueued), 201));
            observer_.onJobAccepted();
        });
}

void Admission::createCancelled(const SubmissionPtr& submission, const Judgement& judgement) {
    // It is accepted all the same, and ends there and then.
    const auto& id = submission->spec.id;
    const auto terminal = storage::keys::terminal(id);
    protocol::CompareAndSwap transaction{
        judgement.compares,
        {{terminal, storage::terminalValue({true, context_.timers.wallNow()}), 0}}};
    transaction.compares.push_back({storage::keys::job(id), 0});
    transaction.compares.push_back({terminal, 0});
    context_.stateClient.transact(
        std::move(transaction), protocol::RequestPriority::userRequest,
        [this, submission](const protocol::CompareAndSwapResponse& answer) {
            if (answer.result == StateResult::conflict) return onRefused(submission, answer);
            if (answer.result != StateResult::ok) return submission->reply(unavailable());
            statusReader_.recordTerminal(submission->spec.id, true);
            submission->reply(
                ok(protocol::encodeJobState(submission->spec.id, protocol::wire::stateCancelled),
                   201));
        });
}

void Admission::onRefused(const SubmissionPtr& submission,
                          const protocol::CompareAndSwapResponse& answer) {
    const auto& id = submission->spec.id;
    std::vector<std::string> changed;  // dependencies whose records are others by now
    for (const auto& dependency : submission->spec.dependencies)
        if (std::find(answer.failed.begin(), answer.failed.end(), storage::keys::job(dependency)) !=
            answer.failed.end())
            changed.push_back(dependency);
    const auto failedOwn = answer.failed.size() > changed.size();
    if (failedOwn || changed.empty()) return respondKnown(id, submission->reply);
    lookUp(submission, changed);
}

HttpResponse Admission::stateOf(const std::string& id, JobStatus status, bool brief) {
    namespace wire = protocol::wire;
    const char* state = wire::stateQueued;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
    switch (status) {
        case JobStatus::unknownJob:
            return {404, {}, 0};
        case JobStatus::noAnswer:
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
    return ok(brief ? protocol::encodeJobState(id, state)
                    : protocol::encodeJobState(id, state, done, running));
}

void Admission::respond(const std::string& id, JobStatus status, bool brief,
                        const HttpReply& reply) {
    auto answer = stateOf(id, status, brief);
    if (status != JobStatus::cancelled) return reply(std::move(answer));
    // Also where it was read only: the transaction may have been carried out late, unanswered, and
    // this is then the first that anybody is told of it.
    observer_.onJobCancelled([reply, answer = std::move(answer)] { reply(answer); });
}

void Admission::getStatus(const std::string& id, HttpReply reply) {
    if (!protocol::validJobId(id)) return reply({404, {}, 0});
    if (const auto terminal = statusReader_.knownTerminal(id))
        return reply(stateOf(id, *terminal, false));
    if (!replica_.synced() || statusRequests_.full()) return reply(unavailable());
    reply = limited(statusRequests_, std::move(reply));
    statusReader_.find(id, ReadPurpose::statusRequest,
                       [this, id, reply](JobStatus status) { respond(id, status, false, reply); });
}

void Admission::cancel(const std::string& id, HttpReply reply) {
    if (!protocol::validJobId(id)) return reply({404, {}, 0});
    if (const auto terminal = statusReader_.knownTerminal(id))
        return reply(stateOf(id, *terminal, true));
    if (!replica_.synced() || cancellations_.full()) return reply(unavailable());
    tryCancel(id, 0, limited(cancellations_, std::move(reply)));
}

void Admission::tryCancel(const std::string& id, int tries, const HttpReply& reply) {
    statusReader_.find(id, ReadPurpose::decision, [this, id, tries, reply](JobStatus status) {
        if (status != JobStatus::active) return respond(id, status, true, reply);
        protocol::CompareAndSwap transaction;
        protocol::Json value;
        const auto key = storage::keys::job(id);
        {
            auto clusterState = context_.clusterState.lock();
            const Job* job = clusterState->job(id);
            if (job == nullptr) return reply(unavailable());
            Job next = *job;
            next.cancelled = true;
            value = storage::jobValue(next);
            transaction = {{{key, job->version}}, {{key, value, 0}}};
        }
        context_.stateClient.transact(
            std::move(transaction), protocol::RequestPriority::userRequest,
            [this, id, key, value, tries, reply](const protocol::CompareAndSwapResponse& answer) {
                if (answer.result == StateResult::conflict && tries + 1 < maxTries)
                    return tryCancel(id, tries + 1, reply);
                if (answer.result != StateResult::ok) return reply(unavailable());
                {
                    auto clusterState = context_.clusterState.lock();
                    storage::applyEvent(*clusterState, {key, value, answer.revision},
                                        context_.now());
                }
                spdlog::debug("admission: job_cancelled job={}", id);
                respond(id, JobStatus::cancelled, true, reply);
            });
    });
}

}  // namespace fawnwheel::coordination
