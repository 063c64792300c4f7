#include "coordination/intake.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "bookkeeping/records.h"
#include "protocol/names.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;
using protocol::StateResult;
using transport::HttpReply;
using transport::HttpResponse;

constexpr std::size_t maxFinals = 4000;
constexpr std::size_t maxQuestions = 2000;
constexpr int maxTries = 4;
constexpr int retryAfterSeconds = 1;
constexpr double pollsShareOfRequests = 0.3;
constexpr double tolerance = 3.0;  // times the fastest
constexpr double slackSeconds = 0.1;

HttpResponse later() {
    return {503, {}, retryAfterSeconds};
}

HttpResponse ok(const protocol::Json& body, int status = 200) {
    return {status, protocol::encodeCbor(body), 0};
}

}  // namespace

void AdaptiveLimit::end(Duration took) {
    const double seconds = Seconds(took).count();
    fastest_ = fastest_ <= 0 ? seconds : std::min(fastest_ * 1.002, seconds);
    if (seconds > fastest_ * tolerance + slackSeconds)
        limit_ = std::max(least, limit_ * 0.95);
    else if (static_cast<double>(active_) > limit_ / 2)
        limit_ = std::min(most, limit_ + 1);
    if (active_ > 0) --active_;
}

HttpReply Intake::limited(HttpReply reply) {
    limit_.begin();
    return [this, began = context_.now(), reply = std::move(reply)](HttpResponse response) {
        limit_.end(context_.now() - began);
        reply(std::move(response));
    };
}

void Intake::noteFinal(const std::string& id, bool cancelled) {
    if (!finals_.emplace(id, cancelled).second) return;
    finalOrder_.push_back(id);
    if (finalOrder_.size() > maxFinals) {
        finals_.erase(finalOrder_.front());
        finalOrder_.pop_front();
    }
}

std::optional<HttpResponse> Intake::check(const protocol::JobSpec& spec) const {
    const auto* team = context_.team(spec.team);
    if (team == nullptr && !context_.settings.teams.empty()) return HttpResponse{422, {}, 0};
    if (context_.catalog.empty()) return later();
    bool fits = false;
    for (const auto& type : context_.catalog) {
        const bool zoneKnown = !spec.zone || std::find(type.zones.begin(), type.zones.end(),
                                                       *spec.zone) != type.zones.end();
        fits = fits ||
               (zoneKnown && Placement::typeAllowed(spec, type, spec.zone.value_or(""), false));
    }
    if (!fits) return HttpResponse{422, {}, 0};
    if (team != nullptr) {
        const double at = spec.kind == protocol::JobKind::array ? 1 : spec.tasks;
        if ((team->cpusMax > 0 && spec.each.cpus * at > team->cpusMax + 1e-9) ||
            (team->gpusMax > 0 && spec.each.gpus * at > team->gpusMax + 1e-9))
            return HttpResponse{422, {}, 0};
    }
    return std::nullopt;
}

void Intake::submit(const std::string& body, HttpReply reply) {
    const auto map = protocol::decodeCbor(body);
    if (!map) return reply({400, {}, 0});
    auto parsed = protocol::parseJobSpec(*map);
    if (!std::holds_alternative<protocol::JobSpec>(parsed)) return reply({400, {}, 0});
    const auto& spec = std::get<protocol::JobSpec>(parsed);
    if (const auto found = finals_.find(spec.id); found != finals_.end())
        return reply(
            stateOf(spec.id, found->second ? Standing::finalCancelled : Standing::finalDone, true));
    // Answered at once when we can't take it: the user is told when to come again.
    if (!synced() || !context_.state.reachable() || limit_.full()) return reply(later());
    reply = limited(std::move(reply));
    const auto known = [this, id = spec.id, reply] {
        standing(id, [this, id, reply](Standing standing) {
            if (standing == Standing::unknownJob) return reply(later());
            tell(id, standing, true, reply);
        });
    };
    // A job that was accepted once is known, whatever the catalog or the teams say by now.
    if (context_.ledger.lock()->job(spec.id) != nullptr) return known();
    if (auto refusal = check(spec)) {
        return standing(spec.id, [this, id = spec.id, refusal, reply](Standing standing) {
            if (standing == Standing::noAnswer) return reply(later());
            if (standing == Standing::unknownJob) return reply(*refusal);
            tell(id, standing, true, reply);
        });
    }
    Job job;
    job.spec = spec;
    job.submitted = context_.timers.wallNow();
    job.sliceSize = bookkeeping::sliceSizeFor(spec, context_.settings.valueKb);
    job.part = moves_.mapJob(job);
    const auto key = bookkeeping::keys::job(spec.id);
    const auto value = bookkeeping::jobValue(job);
    // Also if this is carried out late it can't revive a job: its end is a record as well.
    context_.state.transact(
        {{{key, 0}, {bookkeeping::keys::final(spec.id), 0}}, {{key, value, 0}}},
        protocol::Urgency::intake,
        [this, id = spec.id, key, value, known, reply](const protocol::TransactionAnswer& answer) {
            if (answer.result == StateResult::refused) return known();
            if (answer.result != StateResult::ok) return reply(later());
            {
                auto ledger = context_.ledger.lock();
                bookkeeping::applyEvent(*ledger, {key, value, answer.revision}, context_.now());
            }
            reply(ok(protocol::encodeJobState(id, protocol::wire::stateQueued), 201));
            onAccepted();
        });
}

HttpResponse Intake::stateOf(const std::string& id, Standing standing, bool brief) {
    namespace wire = protocol::wire;
    const char* state = wire::stateQueued;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
    switch (standing) {
        case Standing::unknownJob:
            return {404, {}, 0};
        case Standing::noAnswer:
            return later();
        case Standing::finalDone:
            state = wire::stateDone;
            break;
        case Standing::cancelled:
        case Standing::finalCancelled:
            state = wire::stateCancelled;
            break;
        case Standing::active: {
            auto ledger = context_.ledger.lock();
            if (const Job* job = ledger->job(id)) {
                done = job->doneTasks();
                running = job->claimedTasks();
                if (running > 0) state = wire::stateRunning;
            }
        }
    }
    return ok(brief ? protocol::encodeJobState(id, state)
                    : protocol::encodeJobState(id, state, done, running));
}

void Intake::tell(const std::string& id, Standing standing, bool brief, const HttpReply& reply) {
    auto answer = stateOf(id, standing, brief);
    if (standing != Standing::cancelled) return reply(std::move(answer));
    // Also where it was read only: the transaction may have been carried out late, unanswered, and
    // this is then the first that anybody is told of it.
    onCancelled([reply, answer = std::move(answer)] { reply(answer); });
}

void Intake::ask(const std::string& id, HttpReply reply) {
    if (!protocol::validJobId(id)) return reply({404, {}, 0});
    if (const auto found = finals_.find(id); found != finals_.end())
        return reply(
            stateOf(id, found->second ? Standing::finalCancelled : Standing::finalDone, false));
    if (!synced() || limit_.full()) return reply(later());
    reply = limited(std::move(reply));
    standing(id, [this, id, reply](Standing standing) { tell(id, standing, false, reply); });
}

void Intake::standing(const std::string& id, StandingDone done, int tries) {
    if (tries >= maxTries || questions_.size() >= maxQuestions) return done(Standing::noAnswer);
    questions_.push_back({id, std::move(done), tries});
    if (flushing_) return;
    flushing_ = true;
    // Questions are gathered for a moment: one comparing request answers many of them.
    const double share = context_.settings.stateRequests /
                         static_cast<double>(context_.nodes.size()) * pollsShareOfRequests;
    context_.timers.after(ticks(Seconds(std::min(0.25, 1.0 / share))), [this] {
        flushing_ = false;
        flushQuestions();
    });
}

void Intake::flushQuestions() {
    const auto most = context_.settings.transactionConditions();
    while (!questions_.empty()) {
        protocol::Transaction compare;
        auto batch = std::make_shared<std::vector<std::pair<Question, bool>>>();  // known?
        {
            auto ledger = context_.ledger.lock();
            while (!questions_.empty() && compare.conditions.size() + 2 <= most) {
                Question question = std::move(questions_.front());
                questions_.pop_front();
                const Job* job = ledger->job(question.id);
                const auto key = bookkeeping::keys::job(question.id);
                if (job != nullptr) {
                    compare.conditions.push_back({key, job->version});
                } else {
                    compare.conditions.push_back({key, 0});
                    compare.conditions.push_back({bookkeeping::keys::final(question.id), 0});
                }
                const bool known = job != nullptr;
                batch->emplace_back(std::move(question), known);
            }
        }
        context_.state.transact(
            std::move(compare), protocol::Urgency::read,
            [this, batch](const protocol::TransactionAnswer& answer) {
                if (answer.result != StateResult::ok && answer.result != StateResult::refused) {
                    for (auto& [question, known] : *batch) question.done(Standing::noAnswer);
                    return;
                }
                for (auto& [question, known] : *batch) {
                    const auto failed = [&](const std::string& key) {
                        return std::find(answer.failed.begin(), answer.failed.end(), key) !=
                               answer.failed.end();
                    };
                    if (failed(bookkeeping::keys::job(question.id)) ||
                        failed(bookkeeping::keys::final(question.id))) {
                        readJob(question);
                    } else if (answer.result == StateResult::refused) {
                        // Others of the batch have failed; this one is asked again.
                        standing(question.id, question.done, question.tries + 1);
                    } else {
                        bool cancelled = false;
                        if (known) {
                            auto ledger = context_.ledger.lock();
                            const Job* job = ledger->job(question.id);
                            cancelled = job != nullptr && job->cancelled;
                            // Ended by ourselves while this was under way, or called off: its user
                            // may have been told so by a peer before this answer came, which was
                            // given before that (mass_cancel).
                            if (job == nullptr || (!cancelled && ledger->calledOff(*job))) {
                                standing(question.id, question.done, question.tries + 1);
                                continue;
                            }
                        }
                        question.done(!known      ? Standing::unknownJob
                                      : cancelled ? Standing::cancelled
                                                  : Standing::active);
                    }
                }
            });
    }
}

void Intake::readJob(const Question& question) {
    context_.state.read(
        bookkeeping::keys::final(question.id), [this, question](const protocol::ReadAnswer& end) {
            if (end.result != StateResult::ok) return question.done(Standing::noAnswer);
            if (!end.items.empty()) {
                const bool cancelled = bookkeeping::finalIsCancelled(end.items.front().value);
                noteFinal(question.id, cancelled);
                return question.done(cancelled ? Standing::finalCancelled : Standing::finalDone);
            }
            context_.state.read(
                bookkeeping::keys::job(question.id),
                [this, question](const protocol::ReadAnswer& live) {
                    if (live.result != StateResult::ok) return question.done(Standing::noAnswer);
                    // Ended between the two reads.
                    if (live.items.empty())
                        return standing(question.id, question.done, question.tries + 1);
                    const auto& item = live.items.front();
                    bool cancelled = false;
                    {
                        auto ledger = context_.ledger.lock();
                        bookkeeping::applyEvent(*ledger, {item.key, item.value, item.version},
                                                context_.now());
                        const Job* job = ledger->job(question.id);
                        cancelled = job != nullptr && job->cancelled;
                    }
                    question.done(cancelled ? Standing::cancelled : Standing::active);
                });
        });
}

void Intake::cancel(const std::string& id, HttpReply reply) {
    if (!protocol::validJobId(id)) return reply({404, {}, 0});
    if (const auto found = finals_.find(id); found != finals_.end())
        return reply(
            stateOf(id, found->second ? Standing::finalCancelled : Standing::finalDone, true));
    if (!synced() || limit_.full()) return reply(later());
    tryCancel(id, 0, limited(std::move(reply)));
}

void Intake::tryCancel(const std::string& id, int tries, HttpReply reply) {
    standing(id, [this, id, tries, reply](Standing standing) {
        if (standing != Standing::active) return tell(id, standing, true, reply);
        protocol::Transaction transaction;
        protocol::Json value;
        const auto key = bookkeeping::keys::job(id);
        {
            auto ledger = context_.ledger.lock();
            const Job* job = ledger->job(id);
            if (job == nullptr) return reply(later());
            Job next = *job;
            next.cancelled = true;
            value = bookkeeping::jobValue(next);
            transaction = {{{key, job->version}}, {{key, value, 0}}};
        }
        context_.state.transact(
            std::move(transaction), protocol::Urgency::intake,
            [this, id, key, value, tries, reply](const protocol::TransactionAnswer& answer) {
                if (answer.result == StateResult::refused && tries + 1 < maxTries)
                    return tryCancel(id, tries + 1, reply);
                if (answer.result != StateResult::ok) return reply(later());
                {
                    auto ledger = context_.ledger.lock();
                    bookkeeping::applyEvent(*ledger, {key, value, answer.revision}, context_.now());
                }
                spdlog::debug("job {}: cancelled by its user", id);
                tell(id, Standing::cancelled, true, reply);
            });
    });
}

}  // namespace fawnwheel::coordination
