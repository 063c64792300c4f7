#include "coordination/job_lookup.h"

#include <algorithm>

#include "bookkeeping/records.h"

namespace fawnwheel::coordination {

namespace {

using protocol::StateResult;

// About 100 bytes each; what is asked about again after more jobs have ended costs a read.
constexpr std::size_t maxFinals = 20'000;
constexpr int maxTries = 4;
constexpr double pollsShareOfRequests = 0.3;
constexpr Seconds longestGathering{0.25};
constexpr std::size_t conditionsPerQuestion = 2;

}  // namespace

void JobLookup::noteFinal(const std::string& id, bool cancelled) {
    if (!finals_.emplace(id, cancelled).second) return;
    finalOrder_.push_back(id);
    if (finalOrder_.size() > maxFinals) {
        finals_.erase(finalOrder_.front());
        finalOrder_.pop_front();
    }
}

std::optional<JobStatus> JobLookup::knownFinal(const std::string& id) const {
    const auto found = finals_.find(id);
    if (found == finals_.end()) return std::nullopt;
    return found->second ? JobStatus::finalCancelled : JobStatus::finalDone;
}

void JobLookup::askAgain(const Question& question) {
    ask({question.id, question.purpose, question.done, question.tries + 1});
}

void JobLookup::ask(Question question) {
    if (question.tries >= maxTries) return question.done(JobStatus::noAnswer);
    auto& queue = question.purpose == LookupPurpose::decision ? decisions_ : questions_;
    queue.push_back(std::move(question));
    if (flushing_) return;
    flushing_ = true;
    // Questions are gathered for a moment: one comparing request answers many of them.
    const double share = context_.settings.stateRequests /
                         static_cast<double>(context_.nodes.size()) * pollsShareOfRequests;
    context_.timers.after(ticks(std::min(longestGathering, Seconds(1.0 / share))), [this] {
        flushing_ = false;
        flush();
    });
}

void JobLookup::flush() {
    flushQueue(decisions_, protocol::Urgency::userRequest);
    flushQueue(questions_, protocol::Urgency::read);
}

void JobLookup::flushQueue(std::deque<Question>& queue, protocol::Urgency urgency) {
    const auto most = context_.settings.transactionConditions();
    while (!queue.empty()) {
        protocol::Transaction compare;
        auto batch = std::make_shared<std::vector<Asked>>();
        {
            auto ledger = context_.ledger.lock();
            while (!queue.empty() && compare.conditions.size() + conditionsPerQuestion <= most) {
                Question question = std::move(queue.front());
                queue.pop_front();
                const Job* job = ledger->job(question.id);
                const auto key = bookkeeping::keys::job(question.id);
                if (job != nullptr) {
                    compare.conditions.push_back({key, job->version});
                } else {
                    compare.conditions.push_back({key, 0});
                    compare.conditions.push_back({bookkeeping::keys::final(question.id), 0});
                }
                batch->push_back({std::move(question), job != nullptr});
            }
        }
        context_.state.transact(std::move(compare), urgency,
                                [this, batch](const protocol::TransactionAnswer& answer) {
                                    for (const auto& asked : *batch) settle(asked, answer);
                                });
    }
}

bool JobLookup::failed(const protocol::TransactionAnswer& answer, const std::string& id) {
    const auto has = [&answer](const std::string& key) {
        return std::find(answer.failed.begin(), answer.failed.end(), key) != answer.failed.end();
    };
    return has(bookkeeping::keys::job(id)) || has(bookkeeping::keys::final(id));
}

void JobLookup::settle(const Asked& asked, const protocol::TransactionAnswer& answer) {
    const auto& question = asked.question;
    if (answer.result != StateResult::ok && answer.result != StateResult::refused)
        return question.done(JobStatus::noAnswer);
    if (failed(answer, question.id)) return readFinal(question);
    // Others of the batch have failed; this one is asked again.
    if (answer.result == StateResult::refused) return askAgain(question);
    if (!asked.live) return question.done(JobStatus::unknownJob);
    JobStatus status = JobStatus::noAnswer;
    {
        auto ledger = context_.ledger.lock();
        const Job* job = ledger->job(question.id);
        // Ended by ourselves while this was under way, or called off: its user may have been told
        // so by a peer before this answer came, which was given before that (mass_cancel).
        if (job == nullptr || (!job->cancelled && ledger->knownCancelled(*job)))
            return askAgain(question);
        status = statusOf(*job);
    }
    question.done(status);
}

JobStatus JobLookup::statusOf(const Job& job) const {
    if (job.cancelled) return JobStatus::cancelled;
    if (!job.waiting) return JobStatus::active;
    // A job that it needs, directly or through others, may have been called off. All that anybody
    // was told before the records known here were read is in them; what may have been told after
    // that was told less than `cancel_s` ago. A job whose predecessors have all left the live
    // records is still held to be waiting by a node that owns none of it: they are done, or it
    // would be cancelled, since the record of a cancelled job outlives the last of those that name
    // it.
    const bool current =
        context_.now() - recordsCurrentAsOf() < ticks(context_.settings.cancel / 2);
    return job.doomed || !current ? JobStatus::noAnswer : JobStatus::active;
}

void JobLookup::readFinal(const Question& question) {
    context_.state.read(
        bookkeeping::keys::final(question.id), [this, question](const protocol::ReadAnswer& end) {
            if (end.result != StateResult::ok) return question.done(JobStatus::noAnswer);
            if (end.items.empty()) return readLive(question);
            const bool cancelled = bookkeeping::readFinal(end.items.front().value).cancelled;
            noteFinal(question.id, cancelled);
            question.done(cancelled ? JobStatus::finalCancelled : JobStatus::finalDone);
        });
}

void JobLookup::readLive(const Question& question) {
    context_.state.read(bookkeeping::keys::job(question.id), [this, question](
                                                                 const protocol::ReadAnswer& live) {
        if (live.result != StateResult::ok) return question.done(JobStatus::noAnswer);
        // Ended between the two reads.
        if (live.items.empty()) return askAgain(question);
        const auto& item = live.items.front();
        JobStatus status = JobStatus::noAnswer;
        {
            auto ledger = context_.ledger.lock();
            bookkeeping::applyEvent(*ledger, {item.key, item.value, item.version}, context_.now());
            if (const Job* job = ledger->job(question.id)) status = statusOf(*job);
        }
        question.done(status);
    });
}

}  // namespace fawnwheel::coordination
