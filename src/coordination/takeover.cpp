// Parts that change hands: which are ours, which are orphaned, who takes them, and to whom they are
// given.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "bookkeeping/records.h"
#include "coordination/membership.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto retryPause = 300ms;  // after a refusal
constexpr auto rankPause = 1s;      // between successors in line
constexpr auto handBackAfter = 2s;  // the natural owner must have been back this long

}  // namespace

bool Membership::owned(std::uint32_t part) {
    const auto taken = taken_.find(part);
    if (taken == taken_.end()) return false;
    auto ledger = context_.ledger.lock();
    const auto& record = ledger->parts[part];
    return record.owner == context_.settings.name && record.term == taken->second;
}

void Membership::dropLostParts() {
    std::vector<std::uint32_t> lost;
    for (const auto& [part, term] : announced_)
        if (!owned(part)) lost.push_back(part);
    for (const auto part : lost) {
        announced_.erase(part);
        onLost(part);
    }
}

bool Membership::settled(std::uint32_t part) {
    if (!owned(part) || !joined_ || !synced()) return false;
    auto ledger = context_.ledger.lock();
    return ledger->applied >= ledger->parts[part].version;
}

bool Membership::active(std::uint32_t part) {
    // Only once `onActive` has put aside what was known of the part's machines. A takeover right
    // before an outage once acted on it earlier: leases seemed to have run out long ago.
    const auto known = announced_.find(part);
    return settled(part) && known != announced_.end() && known->second == taken_[part];
}

std::vector<std::uint32_t> Membership::activeParts() {
    std::vector<std::uint32_t> parts;
    for (std::uint32_t part = 0; part < context_.partCount(); ++part)
        if (active(part)) parts.push_back(part);
    return parts;
}

std::uint64_t Membership::term(std::uint32_t part) {
    return context_.ledger.lock()->parts[part].term;
}

void Membership::noteUpgrade() {
    if (upgradeLogged_ || !synced() || !context_.upgradeComplete(*context_.ledger.lock())) return;
    upgradeLogged_ = true;
    spdlog::info("membership: all nodes have run this version, its formats are in use");
}

void Membership::review() {
    noteUpgrade();
    // While the records are read anew the parts' records are missing for a moment.
    if (synced()) dropLostParts();
    for (std::uint32_t part = 0; part < context_.partCount(); ++part) {
        if (!settled(part) || !recordsComplete()) continue;
        if (const auto known = announced_.find(part);
            known != announced_.end() && known->second == taken_[part])
            continue;
        announced_[part] = taken_[part];
        spdlog::info("membership: part {} active, term {}", part, taken_[part]);
        onActive(part);
    }
    if (!joined_ || !synced() || !leaseStands()) return;
    for (std::uint32_t part = 0; part < context_.partCount(); ++part) {
        if (settled(part))
            reviewOwned(part);
        else
            reviewOther(part);
    }
}

void Membership::reviewOwned(std::uint32_t part) {
    if (busy(part)) return;
    if (workersLost()) {
        // Its machines' leases would run out, with all that runs on them (incident inc-59fe).
        if (const auto substitute = substituteFor(part)) handOver(part, *substitute);
        return;
    }
    const auto& natural = context_.nodes[part];
    if (natural == context_.settings.name || !peerCanOwn(natural)) return;
    if (context_.now() - peers_.at(natural).freshSince > handBackAfter) handOver(part, natural);
}

void Membership::reviewOther(std::uint32_t part) {
    const auto now = context_.now();
    const auto& natural = context_.nodes[part];
    bookkeeping::Part record;
    bool ownerAlive = false;
    bool naturalAlive = false;
    {
        auto ledger = context_.ledger.lock();
        record = ledger->parts[part];
        ownerAlive = ledger->nodes.contains(record.owner);
        naturalAlive = ledger->nodes.contains(natural);
    }
    if (record.owner == context_.settings.name) {
        // Ours by an earlier life, handed to us, or its term must rise. In each case no other
        // process acts as its owner.
        if (!taken_.contains(part) || taken_[part] != record.term) take(part);
        return;
    }
    taken_.erase(part);
    const bool orphan =
        record.version == 0 ? natural == context_.settings.name || !naturalAlive : !ownerAlive;
    if (!orphan) {
        orphanSince_.erase(part);
        return;
    }
    const auto since = orphanSince_.try_emplace(part, now).first->second;
    // Successors stand in line from the part's natural owner on; whoever hears no workers comes
    // after all others.
    auto rank = (context_.naturalPart + context_.partCount() - part) % context_.partCount();
    if (workersLost()) rank += context_.partCount();
    if (now - since >= rank * rankPause) take(part);
}

bool Membership::peerCanOwn(const std::string& peer) const {
    const auto state = peers_.find(peer);
    return state != peers_.end() && peerFresh(peer) && state->second.ready &&
           state->second.reachable && context_.ledger.lock()->nodes.contains(peer);
}

std::optional<std::string> Membership::substituteFor(std::uint32_t part) {
    // Near the part's machines, and with as few other parts as can be.
    struct Candidate {
        std::size_t machinesInZone = 0;
        std::size_t parts = 0;
        std::string name;
    };
    std::optional<Candidate> best;
    auto ledger = context_.ledger.lock();
    for (const auto& peer : context_.settings.peers) {
        if (!peerCanOwn(peer.name)) continue;
        Candidate candidate{0, 0, peer.name};
        for (const auto* machine : ledger->machinesOf(part))
            if (machine->zone == peer.zone) ++candidate.machinesInZone;
        for (const auto& [number, record] : ledger->parts)
            if (record.owner == peer.name) ++candidate.parts;
        if (!best || std::tuple(candidate.machinesInZone, best->parts, best->name) >
                         std::tuple(best->machinesInZone, candidate.parts, candidate.name))
            best = std::move(candidate);
    }
    if (!best) return std::nullopt;
    return best->name;
}

void Membership::noteContact() {
    // A peer that takes a part from us must not give it back at once.
    sendStatus();
    review();
}

void Membership::take(std::uint32_t part) {
    // A refusal says that our records are older than it: the next try waits until they are not.
    // Back from a cut, a node once tried its stale versions again and again, as urgent as its
    // lease, and so kept itself from reading what would have shown it better (stale_after_cut).
    if (const auto failed = failedTakings_.find(part);
        failed != failedTakings_.end() &&
        (context_.now() < failed->second.retry ||
         context_.ledger.lock()->applied < failed->second.revision))
        return;
    if (!taking_.insert(part).second) return;
    protocol::Transaction transaction;
    bookkeeping::Part next;
    {
        auto ledger = context_.ledger.lock();
        const auto& record = ledger->parts[part];
        next.owner = context_.settings.name;
        next.term = ledger->lastTerm + 1;
        transaction.conditions = {{bookkeeping::keys::part(part), record.version},
                                  {bookkeeping::keys::term, ledger->termVersion}};
        if (!record.owner.empty() && record.owner != next.owner)
            transaction.conditions.push_back({bookkeeping::keys::node(record.owner), 0});
        // Our own life is a condition too: a late taking by a process that has ended fails.
        transaction.conditions.push_back(
            {bookkeeping::keys::node(next.owner), ledger->nodes[next.owner]});
        transaction.changes = {{bookkeeping::keys::part(part), bookkeeping::partValue(next), 0},
                               {bookkeeping::keys::term, protocol::Json{{"term", next.term}}, 0}};
    }
    context_.state.transact(
        std::move(transaction), protocol::Urgency::lease,
        [this, part, next](const protocol::TransactionAnswer& answer) {
            taking_.erase(part);
            if (answer.result != protocol::StateResult::ok) {
                // The mirror shows what became of it; then we look again.
                const auto pause = context_.jittered(retryPause);
                failedTakings_[part] = {answer.revision, context_.now() + pause};
                context_.timers.after(pause, [this] { review(); });
                return;
            }
            spdlog::info("membership: took part {}, term {}", part, next.term);
            {
                auto ledger = context_.ledger.lock();
                auto& record = ledger->parts[part];
                record = next;
                record.version = answer.revision;
                ledger->lastTerm = next.term;
                ledger->termVersion = answer.revision;
            }
            taken_[part] = next.term;
            failedTakings_.erase(part);
            orphanSince_.erase(part);
            review();
        });
}

void Membership::handOver(std::uint32_t part, const std::string& node) {
    if (!taking_.insert(part).second) return;
    protocol::Transaction transaction;
    bookkeeping::Part next;
    {
        auto ledger = context_.ledger.lock();
        const auto& record = ledger->parts[part];
        next = record;
        next.owner = node;
        transaction.conditions = {{bookkeeping::keys::part(part), record.version},
                                  {bookkeeping::keys::node(next.owner), ledger->nodes[next.owner]}};
        transaction.changes = {{bookkeeping::keys::part(part), bookkeeping::partValue(next), 0}};
    }
    // Answering nobody for the part from now on: the new owner may start at any moment.
    taken_.erase(part);
    dropLostParts();
    context_.state.transact(std::move(transaction), protocol::Urgency::lease,
                            [this, part, next](const protocol::TransactionAnswer& answer) {
                                taking_.erase(part);
                                // Without success the record still names us, and we take it anew
                                // with a higher term.
                                if (answer.result != protocol::StateResult::ok) return;
                                spdlog::info("membership: handed part {} over to {}", part,
                                             next.owner);
                                auto ledger = context_.ledger.lock();
                                auto& record = ledger->parts[part];
                                record = next;
                                record.version = answer.revision;
                            });
}

}  // namespace fawnwheel::coordination
