#include "coordination/fleet.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "bookkeeping/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto catalogPeriod = 60s;
constexpr auto catalogRetry = 1s;
constexpr auto listPeriod = 4s;
constexpr double listShareOfCalls = 0.2;
constexpr auto firstRefusalPause = 8s;
constexpr auto longestRefusalPause = 40s;
constexpr double lagMargin = 2.2;  // a list may lag by up to twice the stated time
constexpr auto listMargin = 1s;
constexpr auto renterFirst = 10s;   // a new machine's renter records it itself
constexpr double neverBoots = 4.0;  // times the stated boot time
constexpr auto bootGrace = 20s;
constexpr double lateBoot = 2.0;  // no longer counted on
constexpr auto silentRelease = 15s;
constexpr Seconds leastCharge{60};
constexpr auto classMemory = 5min;
constexpr int maxRentAtOnce = 10;
constexpr std::size_t maxReleaseAtOnce = 50;
constexpr int rentalTries = 3;

}  // namespace

void Fleet::start() {
    loadCatalog();
    listMachines();
}

void Fleet::loadCatalog() {
    context_.cloud.catalog([this](std::optional<std::vector<MachineType>> types) {
        if (types && !types->empty()) {
            if (!catalogLoaded_)
                spdlog::info("cloud: catalog with {} machine types", types->size());
            context_.catalog = std::move(*types);
            catalogLoaded_ = true;
            recordCatalog();
        }
        const Duration pause = catalogLoaded_ ? Duration(catalogPeriod) : catalogRetry;
        context_.timers.after(context_.jittered(pause), [this] { loadCatalog(); });
    });
}

void Fleet::recordCatalog() {
    // A controller that starts while the cloud does not answer would else know no machine types,
    // and take in and place nothing (incident inc-058e).
    if (!membership_.active(0) || !membership_.leaseStands()) return;
    auto value = bookkeeping::catalogValue(context_.catalog);
    std::uint64_t version = 0;
    {
        auto ledger = context_.ledger.lock();
        version = ledger->catalogVersion;
        // Prices move all the time and are not worth a write.
        const auto same = [](const MachineType& a, const MachineType& b) {
            return a.name == b.name && a.capacity.fits(b.capacity) && b.capacity.fits(a.capacity) &&
                   a.zones == b.zones;
        };
        if (std::equal(context_.catalog.begin(), context_.catalog.end(), ledger->catalog.begin(),
                       ledger->catalog.end(), same))
            return;
    }
    if (static_cast<double>(value.dump().size()) > context_.settings.valueKb * 1024) return;
    const auto types = context_.catalog;
    committer_.commit(0,
                      {{{bookkeeping::keys::catalog, version}},
                       {{bookkeeping::keys::catalog, std::move(value), 0}}},
                      [this, types](CommitResult result, std::uint64_t revision) {
                          if (result != CommitResult::done) return;
                          auto ledger = context_.ledger.lock();
                          ledger->catalog = types;
                          ledger->catalogVersion = std::max(ledger->catalogVersion, revision);
                      });
}

void Fleet::adoptCatalog() {
    auto ledger = context_.ledger.lock();
    if (!context_.catalog.empty() || ledger->catalog.empty()) return;
    context_.catalog = ledger->catalog;
    spdlog::info("cloud: {} machine types from the record", context_.catalog.size());
}

void Fleet::listMachines() {
    if (membership_.activeParts().empty()) {
        context_.timers.after(context_.jittered(500ms), [this] { listMachines(); });
        return;
    }
    listPage({}, context_.now(), {});
}

void Fleet::listPage(const std::string& after, SteadyTime asked,
                     std::vector<protocol::CloudMachine> sofar) {
    context_.cloud.list(after, [this, asked, sofar = std::move(sofar)](
                                   std::optional<protocol::CloudPage> page) mutable {
        if (page) {
            sofar.insert(sofar.end(), page->machines.begin(), page->machines.end());
            if (page->more && !page->machines.empty())
                return listPage(sofar.back().id, asked, std::move(sofar));
            takeInList(asked, sofar);
        }
        const auto share =
            context_.settings.cloudCalls / static_cast<double>(context_.nodes.size());
        const auto pause =
            std::max<Duration>(listPeriod, ticks(Seconds(1.0 / (share * listShareOfCalls))));
        context_.timers.after(context_.jittered(pause), [this] { listMachines(); });
    });
}

void Fleet::takeInList(SteadyTime asked, const std::vector<protocol::CloudMachine>& machines) {
    const auto now = context_.now();
    const auto lag = ticks(context_.settings.listLag * lagMargin) + listMargin;
    std::set<std::string> present;
    auto ledger = context_.ledger.lock();
    for (const auto& listed : machines) {
        present.insert(listed.id);
        if (Machine* machine = ledger->machine(listed.id)) {
            machine->listed = now;
            if (machine->address.empty()) machine->address = listed.address;
            machine->failedInList = listed.state == protocol::CloudState::failed;
            continue;
        }
        // A lagging list still shows machines that are gone. One that was returned before this
        // process began is told from a new one by the lists of a later moment.
        if (!membership_.active(0) || ledger->goneMachines.contains(listed.id)) continue;
        const auto& found = unassigned_.try_emplace(listed.id, Found{listed, now}).first->second;
        if (asked - found.seen > lag && now - found.seen > renterFirst)
            assign(listed.id, listed.type, listed.zone, listed.spot, std::nullopt);
    }
    std::erase_if(unassigned_, [&](const auto& e) { return !present.contains(e.first); });
    std::vector<std::pair<std::uint32_t, std::string>> gone;
    for (auto& [id, machine] : ledger->machines) {
        if (!membership_.active(machine.part)) continue;
        if (machine.failedInList && !machine.retired) {
            // It has stopped on its own, with all that ran on it.
            reports_.releaseClaims(machine, "failed");
            retire(machine, "failed");
            continue;
        }
        // Once listed, a machine stays listed until it is gone; but this list may describe a
        // moment before an earlier one did, and before the machine's latest report.
        if (present.contains(id) || !machine.listed || asked - *machine.listed <= lag ||
            (machine.heard && asked - *machine.heard <= lag))
            continue;
        reports_.releaseClaims(machine, "no longer listed");
        gone.emplace_back(machine.part, id);
    }
    for (const auto& [part, id] : gone) forgetMachine(part, id);
}

std::uint32_t Fleet::partFor(const Ledger& ledger, const std::string& type,
                             const std::string& zone) const {
    // Evenly by type; among equals the part whose node is in the machine's zone.
    struct Score {
        int sameType = 0;
        int sameZone = 0;
        int all = 0;
    };
    std::vector<Score> scores(context_.partCount());
    for (const auto& [id, machine] : ledger.machines) {
        if (machine.part >= scores.size() || machine.retired) continue;
        auto& score = scores[machine.part];
        ++score.all;
        if (machine.type == type) ++score.sameType;
    }
    std::uint32_t best = 0;
    for (std::uint32_t part = 0; part < scores.size(); ++part) {
        scores[part].sameZone = context_.settings.zoneOf(context_.nodes[part]) == zone ? 0 : 1;
        const auto key = [&](std::uint32_t p) {
            return std::tuple(scores[p].sameType, scores[p].sameZone, scores[p].all);
        };
        if (key(part) < key(best)) best = part;
    }
    return best;
}

void Fleet::assignReported(const protocol::WorkerReport& report) {
    const auto now = context_.now();
    // A report that was held back on its way.
    if (context_.ledger.lock()->goneMachines.contains(report.machine)) return;
    const auto [entry, fresh] = unassigned_.try_emplace(report.machine);
    if (fresh) entry->second.seen = now;
    // Its renter's record may be on its way; but machines that were there before us have none.
    if (!fresh && now - entry->second.seen > 1s)
        assign(report.machine, report.type, report.zone, report.spot, std::nullopt);
}

void Fleet::assign(const std::string& id, const std::string& type, const std::string& zone,
                   bool spot, std::optional<std::uint32_t> wanted) {
    if (!assigning_.insert(id).second) return;
    Machine record;
    record.id = id;
    record.type = type;
    record.zone = zone;
    record.spot = spot;
    std::uint32_t writer = 0;
    {
        auto ledger = context_.ledger.lock();
        if (ledger->machine(id) != nullptr || ledger->goneMachines.contains(id)) {
            assigning_.erase(id);
            return;
        }
        record.part = wanted ? *wanted : partFor(*ledger, type, zone);
        if (wanted) writer = *wanted;
        // Already counted while its record is under way, so that the next goes elsewhere.
        auto& machine = ledger->machines[id];
        machine = record;
        machine.known = machine.silentSince = machine.idleSince = context_.now();
    }
    committer_.commit(writer,
                      {{{bookkeeping::keys::machine(id), 0}},
                       {{bookkeeping::keys::machine(id), bookkeeping::machineValue(record), 0}}},
                      [this, id, record](CommitResult result, std::uint64_t revision) {
                          assigning_.erase(id);
                          auto ledger = context_.ledger.lock();
                          Machine* machine = ledger->machine(id);
                          if (machine == nullptr) return;
                          if (result == CommitResult::done) {
                              machine->version = std::max(machine->version, revision);
                              unassigned_.erase(id);
                              spdlog::debug("machine {}: {} in {}, part {}", id, record.type,
                                            record.zone, record.part);
                          } else if (machine->version == 0) {
                              ledger->dropMachine(id);
                          }
                      });
}

std::optional<Fleet::Kind> Fleet::cheapest(const Job& job, std::uint32_t tasks) const {
    std::optional<Kind> best;
    double bestPrice = 0;
    const auto now = context_.now();
    for (const auto& type : context_.catalog) {
        for (const auto& zone : type.zones) {
            for (const bool spot : {true, false}) {
                if (spot && !context_.tuning.useSpot) continue;
                if (!Placement::typeAllowed(job.spec, type, zone, spot)) continue;
                const Kind kind{type.name, zone, spot};
                const auto refused = refused_.find(kind);
                if (refused != refused_.end() && now < refused->second.until) continue;
                Resources room = type.capacity;
                double fit = 0;
                while (fit < tasks && job.spec.each.fits(room)) {
                    room -= job.spec.each;
                    ++fit;
                }
                double price = (spot ? type.spotPrice : type.price) / std::max(1.0, fit);
                // Near the part's own node, so that a cut between zones parts fewer of them.
                if (zone != context_.settings.zone) price *= 1.02;
                if (!best || price < bestPrice) {
                    best = kind;
                    bestPrice = price;
                }
            }
        }
    }
    return best;
}

void Fleet::rentFor(std::uint32_t part, const std::vector<Unplaced>& unplaced) {
    // Calls are few: none is queued behind others, and each rests on the answers before it.
    if (unplaced.empty() || !membership_.leaseStands() || context_.cloud.waiting() > 0) return;
    const auto now = context_.now();
    struct Coming {
        Kind kind;
        Resources room;
    };
    std::vector<Coming> coming;
    std::map<Kind, int> wanted;
    auto ledger = context_.ledger.lock();
    for (const auto& [id, machine] : ledger->machines) {
        const auto* type = context_.type(machine.type);
        if (machine.part != part || machine.retired || machine.heard || type == nullptr ||
            now - machine.known > ticks(type->bootTime * lateBoot) + bootGrace)
            continue;
        coming.push_back({{machine.type, machine.zone, machine.spot}, type->capacity});
    }
    for (const auto& [kind, count] : asked_[part])
        for (int i = 0; i < count; ++i)
            if (const auto* type = context_.type(kind.type))
                coming.push_back({kind, type->capacity});
    for (const auto& entry : unplaced) {
        const Job* job = ledger->job(entry.job);
        if (job == nullptr || entry.overShare) continue;
        for (std::uint32_t left = entry.tasks; left > 0; --left) {
            const auto fits = std::find_if(coming.begin(), coming.end(), [&](const Coming& c) {
                return Placement::typeAllowed(job->spec, *context_.type(c.kind.type), c.kind.zone,
                                              c.kind.spot) &&
                       job->spec.each.fits(c.room);
            });
            if (fits != coming.end()) {
                fits->room -= job->spec.each;
                continue;
            }
            const auto kind = cheapest(*job, left);
            // The answer to the last call tells whether there are more of this kind.
            if (!kind || asking(*kind) || wanted[*kind] >= maxRentAtOnce) break;
            ++wanted[*kind];
            coming.push_back({*kind, context_.type(kind->type)->capacity});
            coming.back().room -= job->spec.each;
        }
    }
    for (const auto& [kind, count] : wanted)
        if (count > 0) rent(part, kind, count);
}

void Fleet::rent(std::uint32_t part, const Kind& kind, int count) {
    asked_[part][kind] += count;
    // Terms are given out once and the number grows, so no name is ever used again.
    const auto name = "r-" + context_.settings.name + "-" + std::to_string(membership_.term(part)) +
                      "-" + std::to_string(++rentals_);
    spdlog::debug("rental {}: {} {} in {}{}", name, count, kind.type, kind.zone,
                  kind.spot ? ", spot" : "");
    sendRental(part, kind, count, name, rentalTries);
}

void Fleet::sendRental(std::uint32_t part, const Kind& kind, int count, const std::string& name,
                       int tries) {
    context_.cloud.rent(name, kind.type, kind.zone, kind.spot, count,
                        [this, part, kind, count, name, tries](
                            protocol::RentResult result, const std::vector<std::string>& machines) {
                            if (result == protocol::RentResult::unknown && tries > 1)
                                return sendRental(part, kind, count, name, tries - 1);
                            asked_[part][kind] -= count;
                            onAnswer();
                            for (const auto& id : machines)
                                assign(id, kind.type, kind.zone, kind.spot, part);
                            if (static_cast<int>(machines.size()) < count)
                                noteRefusal(kind);
                            else
                                refused_.erase(kind);
                        });
}

void Fleet::noteRefusal(const Kind& kind) {
    auto& refusal = refused_[kind];
    refusal.pause = std::clamp<Duration>(refusal.pause * 2, firstRefusalPause, longestRefusalPause);
    refusal.until = context_.now() + context_.jittered(refusal.pause);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(refusal.pause);
    const protocol::NoCapacity message{kind.type, kind.zone, kind.spot,
                                       static_cast<std::uint64_t>(millis.count())};
    for (const auto& peer : context_.settings.peers)
        context_.network.sendFrame(peer.name,
                                   protocol::encodePeer({context_.settings.name, message}));
}

void Fleet::onNoCapacity(const protocol::NoCapacity& message) {
    const auto pause = std::min<Duration>(
        std::chrono::milliseconds(std::min<std::uint64_t>(message.pauseMillis, 1'000'000)),
        longestRefusalPause);
    auto& refusal = refused_[{message.type, message.zone, message.spot}];
    refusal.pause = std::max(refusal.pause, pause);
    refusal.until = std::max(refusal.until, context_.now() + pause);
}

bool Fleet::asking(const Kind& kind) const {
    return std::any_of(asked_.begin(), asked_.end(), [&](const auto& entry) {
        const auto found = entry.second.find(kind);
        return found != entry.second.end() && found->second > 0;
    });
}

void Fleet::retire(Machine& machine, const char* why) {
    if (machine.retired || !retiring_.insert(machine.id).second) return;
    spdlog::info("machine {}: giving back, {}", machine.id, why);
    Machine record = machine;
    record.retired = true;
    machine.retired = true;  // no new claims from now on
    committer_.commit(
        machine.part,
        {{{bookkeeping::keys::machine(machine.id), machine.version}},
         {{bookkeeping::keys::machine(machine.id), bookkeeping::machineValue(record), 0}}},
        [this, id = machine.id](CommitResult result, std::uint64_t revision) {
            retiring_.erase(id);
            auto ledger = context_.ledger.lock();
            Machine* m = ledger->machine(id);
            if (m == nullptr) return;
            if (result == CommitResult::done)
                m->version = std::max(m->version, revision);
            else
                m->retired = false;
        });
}

void Fleet::release() {
    std::vector<std::string> names;
    auto ledger = context_.ledger.lock();
    for (const auto& [id, machine] : ledger->machines) {
        // Only after the record says so, durably: a late copy of the request must not hit a
        // machine that has work again.
        if (machine.retired && !retiring_.contains(id) && membership_.active(machine.part) &&
            names.size() < maxReleaseAtOnce && releasing_.insert(id).second)
            names.push_back(id);
    }
    if (names.empty()) return;
    context_.cloud.release(names, [this, names](bool gone) {
        for (const auto& id : names) {
            releasing_.erase(id);
            if (!gone) continue;
            auto held = context_.ledger.lock();
            Machine* machine = held->machine(id);
            if (machine == nullptr || !membership_.active(machine->part)) continue;
            reports_.releaseClaims(*machine, "given back");
            forgetMachine(machine->part, id);
        }
    });
}

void Fleet::forgetMachine(std::uint32_t part, const std::string& id) {
    auto ledger = context_.ledger.lock();
    const Machine* machine = ledger->machine(id);
    // While a claim on it is being written, its end can't be recorded.
    if (machine == nullptr || !machine->claims.empty() || !dropping_.insert(id).second) return;
    committer_.commit(part,
                      {{{bookkeeping::keys::machine(id), machine->version}},
                       {{bookkeeping::keys::machine(id), std::nullopt, 0}}},
                      [this, id](CommitResult result, std::uint64_t) {
                          dropping_.erase(id);
                          if (result == CommitResult::done) context_.ledger.lock()->dropMachine(id);
                      });
}

void Fleet::noteClasses(const Ledger& ledger) {
    // A class most of whose jobs have aims that leave no time to boot a machine and fetch the
    // image needs machines that stand ready between its jobs.
    struct Seen {
        int jobs = 0;
        int pressed = 0;
        std::set<std::string> types;
    };
    std::map<std::string, Seen> classes;
    for (const auto& [id, job] : ledger.jobs) {
        const auto& spec = job.spec;
        std::optional<Seconds> slack;
        const auto consider = [&slack](Seconds s) { slack = slack ? std::min(*slack, s) : s; };
        for (const auto& objective : context_.settings.objectives) {
            if (objective.jobClass != spec.jobClass) continue;
            if (objective.kind == app::ObjectiveKind::wait) consider(objective.within);
            if (objective.kind == app::ObjectiveKind::finished)
                consider(objective.within - spec.estimate);
        }
        if (spec.deadline) consider(*spec.deadline - spec.estimate);
        auto& seen = classes[spec.jobClass];
        ++seen.jobs;
        bool inTime = !slack;
        for (const auto& type : context_.catalog) {
            if (!Placement::typeAllowed(spec, type, spec.zone.value_or(""), false)) continue;
            seen.types.insert(type.name);
            inTime = inTime || type.bootTime + Seconds(spec.imageSize / type.fetchRate) < *slack;
        }
        if (!inTime) ++seen.pressed;
    }
    for (auto& [name, seen] : classes) {
        if (seen.pressed * 2 <= seen.jobs) seen.types.clear();
        standing_[name] = {std::move(seen.types), context_.now()};
    }
}

bool Fleet::standsReady(const Machine& machine) const {
    return std::any_of(standing_.begin(), standing_.end(), [&](const auto& entry) {
        return entry.second.types.contains(machine.type) &&
               context_.now() - entry.second.lastSeen < classMemory;
    });
}

bool Fleet::mayEmpty(std::uint32_t part) {
    if (placement_.queueLength(part) > 0) return false;
    auto ledger = context_.ledger.lock();
    return std::none_of(ledger->machines.begin(), ledger->machines.end(), [&](const auto& m) {
        return m.second.part == part && standsReady(m.second);
    });
}

Duration Fleet::idleLimit(const Machine& machine, const MachineType& type) const {
    if (!standsReady(machine)) return ticks(context_.tuning.idleBeforeReturn);
    // Renting again costs a boot, the least charge and fetching the images anew. Waiting for work
    // as long as that costs at most twice what the best choice in hindsight would have.
    Seconds again = type.bootTime + leastCharge;
    for (const auto& image : machine.images) again += Seconds(image.size / type.fetchRate);
    return ticks(std::max(context_.tuning.idleBeforeReturn, again));
}

void Fleet::review(std::uint32_t part) {
    if (!membership_.leaseStands()) return;
    const auto now = context_.now();
    auto ledger = context_.ledger.lock();
    if (part == 0 && ledger->catalog.empty() && !context_.catalog.empty() && !committer_.busy(0))
        recordCatalog();
    noteClasses(*ledger);
    std::size_t live = 0;
    std::size_t silent = 0;
    for (const auto& [id, machine] : ledger->machines) {
        if (machine.part != part || machine.retired || !machine.heard) continue;
        ++live;
        if (now - *machine.heard > silentRelease) ++silent;
    }
    for (auto& [id, machine] : ledger->machines) {
        if (machine.part != part || machine.retired || machine.version == 0) continue;
        const auto* type = context_.type(machine.type);
        if (type == nullptr) continue;
        if (!machine.heard) {
            if (machine.claims.empty() &&
                now - machine.known > ticks(type->bootTime * neverBoots) + bootGrace)
                retire(machine, "never came up");
        } else if (machine.notBefore - now > 1min) {
            retire(machine, "faulty");
        } else if (now - *machine.heard > silentRelease) {
            // Many at once are behind a cut rather than dead.
            if (silent * 2 <= live || silent == 1) retire(machine, "silent");
        } else if (machine.emptying && machine.claims.empty()) {
            retire(machine, "emptied");
        } else if (machine.claims.empty() && !machine.noticeEnds &&
                   now - machine.idleSince > idleLimit(machine, *type)) {
            retire(machine, "idle");
        }
    }
    release();
}

}  // namespace fawnwheel::coordination
