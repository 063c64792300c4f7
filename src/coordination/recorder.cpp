#include "coordination/recorder.h"

#include <spdlog/spdlog.h>

#include "bookkeeping/records.h"

namespace fawnwheel::coordination {

namespace {

constexpr std::size_t maxBytes = std::size_t{40} * 1024;  // of the 64 KiB a transaction may have
constexpr std::size_t bytesPerClaim = 56;
constexpr std::size_t bytesPerChange = 160;

}  // namespace

bool Recorder::full(const Batch& batch) const {
    return batch.transaction.changes.size() >= context_.settings.transactionChanges ||
           batch.bytes >= maxBytes;
}

void Recorder::addFinal(Batch& batch, Job& job) {
    auto& changes = batch.transaction.changes;
    const auto most = context_.settings.transactionChanges;
    if (changes.size() + 2 > most) return;
    batch.transaction.conditions.push_back({bookkeeping::keys::job(job.spec.id), job.version});
    changes.push_back({bookkeeping::keys::job(job.spec.id), std::nullopt, 0});
    changes.push_back(
        {bookkeeping::keys::final(job.spec.id), bookkeeping::finalValue(job.cancelled), 0});
    for (const auto& slice : job.slices) {
        if (slice.version == 0) continue;
        const auto key = bookkeeping::keys::slice(job.spec.id, slice.index);
        if (changes.size() < most)
            changes.push_back({key, std::nullopt, 0});
        else
            leftovers_.push_back(key);
    }
    batch.bytes += bytesPerChange * 2;
    batch.finals.emplace_back(job.spec.id, job.cancelled);
    job.finishing = true;
}

void Recorder::addSlice(Batch& batch, Job& job, Slice& slice) {
    // The job's version fails a claim made while a user cancels the job.
    if (batch.jobs.insert(job.spec.id).second)
        batch.transaction.conditions.push_back({bookkeeping::keys::job(job.spec.id), job.version});
    const auto key = bookkeeping::keys::slice(job.spec.id, slice.index);
    batch.transaction.conditions.push_back({key, slice.version});
    batch.transaction.changes.push_back({key, bookkeeping::sliceValue(slice), 0});
    batch.bytes += bytesPerChange + bytesPerClaim * slice.claims.size();
    batch.slices.push_back({job.spec.id, slice.index, slice.version});
}

void Recorder::flush(std::uint32_t part) {
    if (committer_.busy(part)) return;
    Batch batch;
    {
        auto ledger = context_.ledger.lock();
        for (auto& [id, job] : ledger->jobs) {
            if (full(batch)) break;
            if (job.finishing) continue;
            // A cancelled job ends when the last of its tasks is proved gone. Claims by other
            // parts are known up to `applied`; later ones fail on the job's version.
            const bool over =
                job.cancelled ? !job.anyClaim() && ledger->applied >= job.version : job.complete();
            if (job.part == part && over) {
                addFinal(batch, job);
                continue;
            }
            for (auto& slice : job.slices) {
                if (full(batch)) break;
                if (slice.dirty && slice.part == part) addSlice(batch, job, slice);
            }
        }
    }
    if (batch.transaction.changes.empty()) return sweepLeftovers(part);
    auto transaction = batch.transaction;
    committer_.commit(
        part, std::move(transaction),
        [this, part, batch = std::move(batch)](CommitResult result, std::uint64_t revision) {
            finish(part, batch, result, revision);
        });
}

void Recorder::finish(std::uint32_t part, const Batch& batch, CommitResult result,
                      std::uint64_t revision) {
    std::set<std::string> machines;
    {
        auto ledger = context_.ledger.lock();
        for (const auto& [id, cancelled] : batch.finals) {
            if (Job* job = ledger->job(id)) job->finishing = false;
            if (result != CommitResult::done) continue;
            spdlog::debug("job {}: {}", id, cancelled ? "cancelled" : "done");
            ledger->dropJob(id);
            onFinal(id, cancelled);
        }
        for (const auto& [id, index, before] : batch.slices) {
            Job* job = ledger->job(id);
            if (job == nullptr) continue;
            Slice& slice = job->slices[index];
            if (result == CommitResult::done) {
                const auto key = bookkeeping::keys::slice(id, index);
                const auto written =
                    std::find_if(batch.transaction.changes.begin(), batch.transaction.changes.end(),
                                 [&](const auto& change) { return change.key == key; });
                if (slice.version != before) {
                    // Read anew while this was under way, perhaps as it stood before.
                    bookkeeping::applyEvent(*ledger, {key, written->value, revision},
                                            context_.now());
                    continue;
                }
                slice.version = revision;
                slice.dirty = *written->value != bookkeeping::sliceValue(slice);
                for (auto& claim : slice.claims) {
                    // Only what this transaction carried; a later claim waits for the next.
                    for (const auto& entry : (*written->value)["claims"])
                        if (entry[2].get<std::uint64_t>() == claim.attempt &&
                            entry[0].get<std::uint32_t>() + slice.first == claim.task)
                            if (!std::exchange(claim.durable, true)) machines.insert(claim.machine);
                }
            } else {
                // What did not become durable was never sent: forget it and decide anew.
                std::vector<std::uint32_t> undone;
                for (const auto& claim : slice.claims)
                    if (!claim.durable) undone.push_back(claim.task);
                for (const auto task : undone) ledger->removeClaim(*job, slice, task);
                slice.dirty = result == CommitResult::conflict && slice.part == part;
            }
        }
    }
    if (!machines.empty()) onDurable(machines);
    if (result == CommitResult::done) flush(part);
}

void Recorder::sweepLeftovers(std::uint32_t part) {
    if (leftovers_.empty()) return;
    protocol::Transaction transaction;
    while (!leftovers_.empty() &&
           transaction.changes.size() < context_.settings.transactionChanges) {
        transaction.changes.push_back({leftovers_.front(), std::nullopt, 0});
        leftovers_.pop_front();
    }
    committer_.commit(part, std::move(transaction), [](CommitResult, std::uint64_t) {});
}

}  // namespace fawnwheel::coordination
