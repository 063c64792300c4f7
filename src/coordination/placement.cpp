#include "coordination/placement.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;
using protocol::TaskState;

constexpr double silentReports = 2.5;  // no new work after so many missed reports
constexpr double unlimited = 1e12;
constexpr double shareSlack = 1e-6;
constexpr std::uint32_t placementsPerRun = 64;
constexpr double sharedFetch = 0.4;    // of a fetch that another task has begun
constexpr double idleGpuSeconds = 25;  // what using up a GPU machine's CPUs counts as
// What has no aim (left) is served as if it had to start this long after its submission.
constexpr Seconds patience{600};
constexpr Seconds largestBegin{240};  // what the operators ask of a class's largest jobs
constexpr Seconds largestLead{120};   // to gather for them
constexpr auto settledRun = std::chrono::seconds(32);
constexpr double leastLeftToMove = 20;  // seconds, by the estimate
constexpr double thinUse = 0.5;
constexpr Seconds riskMargin{10};
constexpr auto reservation = std::chrono::seconds(20);  // to save, report and be placed
constexpr double fetchWorth = 5;
constexpr double fetchThatCounts = 0.25;  // of the time that a task runs
constexpr double fetchesPassedOver = 3;
constexpr auto gatherRenewal = std::chrono::seconds(3);
constexpr auto gatherPatience = std::chrono::seconds(90);  // in one zone
constexpr std::uint32_t mostPreempted = 4;
constexpr double closedPlaceSeconds = 30;  // what closing a place for larger tasks counts as
constexpr double emptyMachineSeconds = 4;  // what breaking into an empty machine counts as

transport::WallTime plus(transport::WallTime at, Seconds by) {
    return at + std::chrono::duration_cast<transport::WallTime::duration>(by);
}

}  // namespace

std::map<std::string, std::uint32_t> zoneUseOf(const Ledger& ledger, const Job& job) {
    std::map<std::string, std::uint32_t> use;
    for (const auto& slice : job.slices) {
        for (const auto& claim : slice.claims) {
            // A machine we have lost sight of still counts, wherever it is.
            const auto found = ledger.machines.find(claim.machine);
            ++use[found == ledger.machines.end() ? std::string() : found->second.zone];
        }
    }
    return use;
}

bool Placement::typeAllowed(const protocol::JobSpec& spec, const MachineType& type,
                            const std::string& zone, bool spot) {
    if (spot && !spec.spot) return false;
    if (spec.zone && *spec.zone != zone) return false;
    if (spec.types &&
        std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end())
        return false;
    return spec.each.fits(type.capacity);
}

bool Placement::takesWork(const Machine& machine) const {
    return takesWork(machine, context_.now());
}

bool Placement::takesWork(const Machine& machine, SteadyTime now) const {
    return machine.version != 0 && machine.hears() && !machine.lending && !machine.retired &&
           !machine.emptying && !machine.noticeEnds && machine.heard &&
           now - *machine.heard < ticks(context_.settings.report * silentReports) &&
           now >= machine.notBefore;
}

transport::WallTime Placement::latestStart(const Job& job) const {
    // The next of the job's aims that can still be met. What has missed all of them goes behind,
    // since hurrying it helps nobody, but it grows old and is not passed over for ever.
    const auto now = context_.timers.wallNow();
    std::optional<transport::WallTime> next;
    const auto consider = [&](Seconds afterSubmission) {
        const auto latest = plus(job.submitted, afterSubmission);
        if (latest > now && (!next || latest < *next)) next = latest;
    };
    for (const auto& objective : context_.settings.objectives) {
        if (objective.jobClass != job.spec.jobClass) continue;
        if (objective.kind == app::ObjectiveKind::wait) consider(objective.within);
        if (objective.kind == app::ObjectiveKind::finished)
            consider(objective.within - job.spec.estimate);
    }
    if (job.spec.deadline) consider(*job.spec.deadline - job.spec.estimate);
    const auto latest = next ? *next : plus(job.submitted, patience);
    // A day on which a class's largest gangs don't begin in time is lost, and they need the most
    // machines at once: behind what is easier to place, under half of them began.
    if (isLargest(job) && now < plus(job.submitted, largestBegin))
        return std::min(latest, plus(job.submitted, largestBegin - largestLead));
    return latest;
}

bool Placement::isLargest(const Job& job) const {
    const auto largest = largestGang_.find(job.spec.jobClass);
    return job.spec.kind == JobKind::gang && job.spec.tasks > 1 && largest != largestGang_.end() &&
           job.spec.tasks >= largest->second;
}

Seconds Placement::fetchTime(const Job& job) const {
    std::optional<double> fetch;
    for (const auto& type : context_.catalog) {
        if (!typeAllowed(job.spec, type, job.spec.zone.value_or(""), false)) continue;
        const double here = job.spec.imageSize / type.fetchRate;
        fetch = fetch ? std::min(*fetch, here) : here;
    }
    return Seconds(fetch.value_or(0));
}

bool Placement::atRisk(const Job& job) const {
    const Seconds needed = fetchTime(job) + context_.settings.report * 2 + riskMargin;
    return latestStart(job) < plus(context_.timers.wallNow(), needed);
}

std::uint64_t Placement::nextAttempt(std::uint32_t part) {
    // Terms grow over all owners, so attempts do too, without a record of their own.
    return (membership_.term(part) << taskBits) | (++sequence_ & ((1U << taskBits) - 1));
}

bookkeeping::TeamShare Placement::shareOf(const Ledger& ledger, const app::Team& team,
                                          std::uint32_t part) const {
    const auto parts = static_cast<double>(context_.partCount());
    bookkeeping::TeamShare share{team.cpusMax / parts, team.gpusMax / parts};
    const auto known = ledger.shares.find(team.name);
    if (known == ledger.shares.end() || !known->second.contains(part)) return share;
    bookkeeping::TeamShare total;
    for (const auto& [number, recorded] : known->second) {
        total.cpus += recorded.cpus;
        total.gpus += recorded.gpus;
    }
    const auto& mine = known->second.at(part);
    // Recorded for another limit or other parts: the lesser of both never exceeds the limit.
    const bool fits = known->second.size() == context_.partCount() &&
                      std::abs(total.cpus - team.cpusMax) < shareSlack &&
                      std::abs(total.gpus - team.gpusMax) < shareSlack;
    return fits ? mine
                : bookkeeping::TeamShare{std::min(share.cpus, mine.cpus),
                                         std::min(share.gpus, mine.gpus)};
}

Resources Placement::teamLeft(Ledger& ledger, const std::string& name, std::uint32_t part) const {
    Resources left{unlimited, unlimited, unlimited};
    const auto* team = context_.team(name);
    if (team == nullptr) return left;
    const auto used = ledger.usedBy(name, part);
    auto share = shareOf(ledger, *team, part);
    if (const auto leaving = ledger.sharesLeaving.find(name);
        leaving != ledger.sharesLeaving.end() && leaving->second.first == part) {
        share.cpus -= leaving->second.second.cpus;
        share.gpus -= leaving->second.second.gpus;
    }
    if (team->cpusMax > 0) left.cpus = share.cpus - used.cpus;
    if (team->gpusMax > 0) left.gpus = share.gpus - used.gpus;
    return left;
}

bool Placement::before(const Job& one, const Job& other) const {
    return std::tuple(one.spec.priority, latestStart(one), one.spec.id) <
           std::tuple(other.spec.priority, latestStart(other), other.spec.id);
}

std::uint32_t Placement::waitingIn(const Slice& slice) {
    return static_cast<std::uint32_t>(slice.done.size()) - slice.doneCount -
           static_cast<std::uint32_t>(slice.claims.size());
}

std::vector<Placement::Ready> Placement::readyJobs(Ledger& ledger, std::uint32_t part) {
    std::vector<Ready> ready;
    const auto now = context_.now();
    for (const auto& [id, job] : ledger.jobs)
        if (job.spec.kind == JobKind::gang) {
            auto& largest = largestGang_[job.spec.jobClass];
            largest = std::max(largest, job.spec.tasks);
        }
    for (auto& [id, job] : ledger.jobs) {
        if (job.cancelled || job.finishing || now < job.notBefore) continue;
        if (job.spec.kind == JobKind::gang && job.anyClaim()) {
            if (job.part == part) stopBrokenGang(job);
            continue;
        }
        std::uint32_t tasks = 0;
        for (const auto& slice : job.slices)
            if (slice.part == part && !slice.leaving) tasks += waitingIn(slice);
        if (tasks > 0) ready.push_back({&job, tasks, latestStart(job)});
    }
    std::sort(ready.begin(), ready.end(), [](const Ready& a, const Ready& b) {
        return std::tie(a.job->spec.priority, a.latest, a.job->spec.id) <
               std::tie(b.job->spec.priority, b.latest, b.job->spec.id);
    });
    return ready;
}

void Placement::stopBrokenGang(Job& job) {
    if (job.complete() || job.claimedTasks() == job.spec.tasks) return;
    // The rest would wait for a task that does not come back under this attempt.
    for (auto& slice : job.slices) {
        for (auto& claim : slice.claims) {
            claim.giveUp = true;
            claim.stopGrace = Seconds(0);
        }
    }
}

std::vector<std::uint32_t> Placement::queueLengths() {
    std::vector<std::uint32_t> lengths(context_.partCount(), 0);
    const auto now = context_.now();
    auto ledger = context_.ledger.lock();
    for (const auto& [id, job] : ledger->jobs) {
        if (job.cancelled || job.finishing || now < job.notBefore ||
            (job.spec.kind == JobKind::gang && job.anyClaim()))
            continue;
        for (const auto& slice : job.slices)
            if (slice.part < lengths.size() && !slice.leaving)
                lengths[slice.part] += waitingIn(slice);
    }
    return lengths;
}

std::uint32_t Placement::queueLength(std::uint32_t part) {
    return queueLengths()[part];
}

bool Placement::allowed(const Job& job, const Machine& machine) const {
    const auto* type = context_.type(machine.type);
    if (type == nullptr || !typeAllowed(job.spec, *type, machine.zone, machine.spot)) return false;
    if (job.failedOn.contains(machine.id)) return false;
    // A loan is for a gang's start only.
    if (machine.lender && job.spec.kind != JobKind::gang) return false;
    Resources room = type->capacity;
    room -= machine.used;
    if (context_.now() < machine.reservedUntil && machine.reservedFor != job.spec.id)
        room -= machine.reservedRoom;
    return job.spec.each.fits(room);
}

Placement::Openings Placement::openingsOf(const Ledger& ledger, std::uint32_t part) const {
    Openings openings;
    const auto now = context_.now();
    for (auto* machine : ledger.machinesOf(part)) {
        if (!takesWork(*machine, now)) continue;
        auto kind = std::find_if(openings.begin(), openings.end(), [&](const OpenKind& k) {
            return k.type->name == machine->type && k.zone == machine->zone &&
                   k.spot == machine->spot;
        });
        if (kind == openings.end()) {
            const auto* type = context_.type(machine->type);
            if (type == nullptr) continue;
            kind = openings.insert(openings.end(), {type, machine->zone, machine->spot, {}});
        }
        Opening opening{machine, kind->type->capacity, {}};
        opening.free -= machine->used;
        opening.open = opening.free;
        if (now < machine->reservedUntil) opening.open -= machine->reservedRoom;
        kind->machines.push_back(opening);
    }
    return openings;
}

bool Placement::kindAllowed(const Job& job, const OpenKind& kind, const ZoneUse& zoneUse) {
    if (!typeAllowed(job.spec, *kind.type, kind.zone, kind.spot)) return false;
    if (job.spec.oneZone)
        for (const auto& [zone, count] : zoneUse)
            if (count > 0 && zone != kind.zone) return false;
    if (job.spec.spread) {
        const auto here = zoneUse.find(kind.zone);
        const auto lost = zoneUse.find(std::string());
        const auto count =
            (here == zoneUse.end() ? 0 : here->second) + (lost == zoneUse.end() ? 0 : lost->second);
        if (count + 1 > (job.spec.tasks + 1) / 2) return false;
    }
    return true;
}

Resources Placement::roomOn(const Opening& opening, const Job& job) const {
    const Machine& machine = *opening.machine;
    // A loan is for a gang's start only.
    if ((machine.lender && job.spec.kind != JobKind::gang) || job.failedOn.contains(machine.id))
        return {};
    return machine.reservedFor == job.spec.id ? opening.free : opening.open;
}

std::uint32_t Placement::placesFor(const Openings& openings, const Job& job,
                                   const ZoneUse& zoneUse) const {
    std::uint32_t places = 0;
    for (const auto& kind : openings) {
        if (!kindAllowed(job, kind, zoneUse)) continue;
        for (const auto& opening : kind.machines) {
            if (!job.spec.each.fits(opening.free)) continue;
            places += fitsIn(job, roomOn(opening, job), job.spec.tasks - places);
            if (places >= job.spec.tasks) return places;
        }
    }
    return places;
}

void Placement::take(Opening& opening, const Resources& each) {
    opening.free -= each;
    opening.open -= each;
}

void Placement::giveBack(Opening& opening, const Resources& each) {
    opening.free += each;
    opening.open += each;
}

std::uint32_t Placement::fitsIn(const Job& job, Resources room, std::uint32_t most) {
    std::uint32_t count = 0;
    for (; count < most && job.spec.each.fits(room); ++count) room -= job.spec.each;
    return count;
}

void Placement::reserve(Machine& machine, const Job& job, std::uint32_t tasks,
                        Duration length) const {
    machine.reservedFor = job.spec.id;
    machine.reservedTasks = tasks;
    machine.reservedRoom = {};
    for (std::uint32_t i = 0; i < tasks; ++i) machine.reservedRoom += job.spec.each;
    machine.reservedUntil = context_.now() + length;
}

void Placement::dropReservations(Ledger& ledger, std::uint32_t part) {
    const auto now = context_.now();
    for (auto* machine : ledger.machinesOf(part)) {
        if (now >= machine->reservedUntil) continue;
        const Job* job = ledger.job(machine->reservedFor);
        // What gangs gather is dealt out anew each time, in the queue's order: a later one never
        // holds what completes an earlier one.
        const bool gang = job != nullptr && job->spec.kind == JobKind::gang;
        // A peer's gang asks again and again for what is kept for it.
        const bool peers = gang && job->part != part && !job->anyClaim();
        if (job == nullptr || job->cancelled || (job->part != part && !peers) ||
            (gang && !peers && (job->anyClaim() || (machine->heard && now >= job->preemptedUntil))))
            machine->reservedUntil = now;
    }
}

void Placement::chooseZone(Ledger& ledger, std::uint32_t part, Job& job) {
    const auto now = context_.now();
    if (!job.spec.oneZone || (!job.gatherZone.empty() && now - job.gatherSince < gatherPatience))
        return;
    // Where most of it could start now; else where the part has most machines for it. A zone that
    // did not get it together for long gives way to the next best.
    std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> zones;
    for (const auto* machine : ledger.machinesOf(part)) {
        const auto* type = context_.type(machine->type);
        if (machine->retired || type == nullptr ||
            !typeAllowed(job.spec, *type, machine->zone, machine->spot))
            continue;
        auto& [free, all] = zones[machine->zone];
        ++all;
        if ((takesWork(*machine) && allowed(job, *machine)) ||
            (now < machine->reservedUntil && machine->reservedFor == job.spec.id))
            ++free;
    }
    for (const auto& type : context_.catalog)
        for (const auto& zone : type.zones)
            if (typeAllowed(job.spec, type, zone, false)) zones.try_emplace(zone);
    std::string best;
    std::tuple<std::uint32_t, bool, std::uint32_t> bestScore{};
    for (const auto& [zone, counts] : zones) {
        if (zone == job.gatherZone && zones.size() > 1) continue;
        const std::tuple score{std::min(counts.first, job.spec.tasks),
                               zone == context_.settings.zone, counts.second};
        if (best.empty() || score > bestScore) {
            best = zone;
            bestScore = score;
        }
    }
    job.gatherZone = best;
    job.gatherSince = now;
}

void Placement::keep(Opening& opening, const Job& job, std::uint32_t tasks) const {
    reserve(*opening.machine, job, tasks, gatherRenewal);
    opening.open = opening.free;
    opening.open -= opening.machine->reservedRoom;
}

std::uint32_t Placement::heldFor(const Ledger& ledger, std::uint32_t part, const Job& job) const {
    // Rented for it and booting, or others are being stopped there.
    const auto now = context_.now();
    std::uint32_t held = 0;
    for (const auto* machine : ledger.machinesOf(part))
        if (now < machine->reservedUntil && machine->reservedFor == job.spec.id &&
            (job.gatherZone.empty() || machine->zone == job.gatherZone))
            held += machine->reservedTasks;
    return held;
}

std::uint32_t Placement::gather(Ledger& ledger, std::uint32_t part, Job& job, Openings& openings,
                                std::set<std::string>& blockedZones) {
    // A gang would wait for ever behind small work that takes each machine as it comes free. In
    // the queue's order, each keeps what is free until it has enough; one that lacks machines
    // keeps later ones from gathering in its zone, so that no two hold half of what both need.
    const auto& zone = job.gatherZone;
    const auto now = context_.now();
    auto held = heldFor(ledger, part, job);
    for (auto& kind : openings) {
        if ((!zone.empty() && kind.zone != zone) || !kindAllowed(job, kind, {})) continue;
        for (auto& opening : kind.machines) {
            if (held >= job.spec.tasks) return 0;
            if (now < opening.machine->reservedUntil) continue;
            const auto fit = fitsIn(job, roomOn(opening, job), job.spec.tasks - held);
            if (fit == 0) continue;
            keep(opening, job, fit);
            held += fit;
        }
    }
    if (held >= job.spec.tasks) return 0;
    auto missing = job.spec.tasks - held;
    blockedZones.insert(zone);
    if (!rentable(job, zone)) missing -= drainFor(openings, job, missing);
    return missing;
}

std::uint32_t Placement::drainFor(Openings& openings, const Job& job, std::uint32_t missing) {
    struct Busy {
        double used = 0;
        Opening* opening = nullptr;
        const MachineType* type = nullptr;
    };
    std::vector<Busy> busy;
    const auto now = context_.now();
    for (auto& kind : openings) {
        if ((!job.gatherZone.empty() && kind.zone != job.gatherZone) || !kindAllowed(job, kind, {}))
            continue;
        for (auto& opening : kind.machines) {
            if (now < opening.machine->reservedUntil) continue;
            // Less used ones come free sooner.
            busy.push_back({opening.machine->used.cpus / std::max(1.0, kind.type->capacity.cpus),
                            &opening, kind.type});
        }
    }
    std::sort(busy.begin(), busy.end(), [](const Busy& a, const Busy& b) {
        return std::tie(a.used, a.opening->machine->id) < std::tie(b.used, b.opening->machine->id);
    });
    std::uint32_t kept = 0;
    for (const auto& entry : busy) {
        if (kept >= missing) break;
        const auto fit = fitsIn(job, entry.type->capacity, missing - kept);
        keep(*entry.opening, job, fit);
        kept += fit;
    }
    return kept;
}

double Placement::cost(Ledger& ledger, const Job& job, const Machine& machine,
                       const MachineType& type) const {
    double seconds = 0;
    const bool cached = std::any_of(machine.images.begin(), machine.images.end(),
                                    [&](const auto& i) { return i.name == job.spec.image; });
    if (!cached) {
        const double fetch = job.spec.imageSize / type.fetchRate;
        bool begun = false;
        std::set<std::string> others;
        for (const auto& ref : machine.claims) {
            const auto [other, slice, claim] = ledger.held(ref);
            if (claim == nullptr || claim->state != TaskState::fetching) continue;
            begun = begun || other->spec.image == job.spec.image;
            others.insert(other->spec.image);
        }
        seconds += begun ? fetch * sharedFetch : fetch * (1 + static_cast<double>(others.size()));
    }
    if (job.spec.each.gpus <= 0 && type.capacity.gpus > 0)
        seconds += idleGpuSeconds * job.spec.each.cpus / std::max(1.0, type.capacity.cpus) +
                   idleGpuSeconds;
    const double freeShare =
        1.0 - (machine.used.cpus + job.spec.each.cpus) / std::max(1.0, type.capacity.cpus);
    seconds += emptyMachineSeconds * freeShare;
    return seconds;
}

bool Placement::hasImage(Ledger& ledger, const Machine& machine, const Job& job) {
    const auto& image = job.spec.image;
    return std::any_of(machine.images.begin(), machine.images.end(),
                       [&](const auto& i) { return i.name == image; }) ||
           // Under way for another task.
           std::any_of(machine.claims.begin(), machine.claims.end(), [&](const auto& ref) {
               const Job* other = ledger.job(ref.job);
               return other != nullptr && other->spec.image == image;
           });
}

Placement::Rivals Placement::largestOfClasses(const Ledger& ledger) {
    Rivals largest;
    for (const auto& [id, job] : ledger.jobs) {
        if (job.cancelled) continue;
        const auto same = std::find_if(largest.begin(), largest.end(), [&](const Job* other) {
            return other->spec.jobClass == job.spec.jobClass;
        });
        if (same == largest.end())
            largest.push_back(&job);
        else if (job.spec.each.cpus > (*same)->spec.each.cpus)
            *same = &job;
    }
    return largest;
}

std::uint32_t Placement::placesClosed(const Rivals& rivals, const OpenKind& kind,
                                      const Opening& opening, const Job& job) {
    // Small tasks spread over large machines left no room for a large one on any of them.
    std::uint32_t closed = 0;
    Resources after = opening.free;
    after -= job.spec.each;
    for (const auto* rival : rivals) {
        if (rival->spec.jobClass == job.spec.jobClass || rival->spec.priority > job.spec.priority ||
            rival->spec.each.fits(job.spec.each) || !rival->spec.each.fits(opening.free) ||
            !typeAllowed(rival->spec, *kind.type, kind.zone, kind.spot))
            continue;
        closed += fitsIn(*rival, opening.free, rival->spec.tasks) -
                  fitsIn(*rival, after, rival->spec.tasks);
    }
    return closed;
}

Placement::Opening* Placement::choose(Ledger& ledger, Openings& openings, const Job& job,
                                      const Rivals& rivals, const ZoneUse& zoneUse) const {
    Opening* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (auto& kind : openings) {
        if (!kindAllowed(job, kind, zoneUse)) continue;
        for (auto& opening : kind.machines) {
            if (!job.spec.each.fits(opening.free) || !job.spec.each.fits(roomOn(opening, job)))
                continue;
            const double value = cost(ledger, job, *opening.machine, *kind.type) +
                                 closedPlaceSeconds * placesClosed(rivals, kind, opening, job);
            if (value < bestCost) {
                bestCost = value;
                best = &opening;
            }
        }
    }
    return best;
}

std::uint32_t Placement::worthWaiting(const Openings& openings, const Job& job) const {
    const auto fetch = fetchTime(job);
    const Seconds waited = context_.timers.wallNow() - job.submitted;
    if (waited >= fetch || job.spec.estimate.count() <= 0) return 0;
    // Places on machines that have the image come free at this rate.
    double places = 0;
    for (const auto& kind : openings) {
        if (!kindAllowed(job, kind, {})) continue;
        const auto each = fitsIn(job, kind.type->capacity, job.spec.tasks);
        for (const auto& opening : kind.machines)
            if (std::any_of(opening.machine->images.begin(), opening.machine->images.end(),
                            [&](const auto& i) { return i.name == job.spec.image; }))
                places += each;
    }
    return static_cast<std::uint32_t>(places * (fetch / job.spec.estimate));
}

bool Placement::letsCachedGoFirst(const Job& job) const {
    // In a backlog every job has waited long. Each machine that came free then fetched the image of
    // the first in the queue, while later ones had theirs there: half of the GPUs' time went into
    // fetches, and the backlog stayed (day zone of a fleet). What finds no place at all for long
    // takes one wherever it is.
    const auto fetch = fetchTime(job);
    const Seconds waited = context_.timers.wallNow() - job.submitted;
    return fetch > job.spec.estimate * fetchThatCounts &&
           (job.anyClaim() || waited < fetch * fetchesPassedOver);
}

Placement::Placed Placement::placeArray(Ledger& ledger, std::uint32_t part, Job& job,
                                        Openings& openings, const Rivals& rivals, Resources& left,
                                        bool& overShare, bool cachedOnly) {
    auto zoneUse = zoneUseOf(ledger, job);
    Placed placed;
    std::optional<std::uint32_t> mayWait;  // worked out when the first would have to fetch
    for (auto& slice : job.slices) {
        if (slice.part != part || slice.leaving ||
            slice.doneCount + slice.claims.size() >= slice.done.size())
            continue;
        for (std::uint32_t i = 0; i < slice.done.size(); ++i) {
            const auto task = slice.first + i;
            if (slice.done[i] || slice.claimOf(task) != nullptr) continue;
            if (placed.tasks >= placementsPerRun) return placed;
            if (!job.spec.each.fits(left)) {
                overShare = true;
                return placed;
            }
            Opening* opening = choose(ledger, openings, job, rivals, zoneUse);
            if (opening == nullptr) return placed;
            const Machine* machine = opening->machine;
            if (!hasImage(ledger, *machine, job)) {
                if (cachedOnly) return placed;
                if (!mayWait) mayWait = worthWaiting(openings, job);
                if (*mayWait > 0) {
                    --*mayWait;
                    ++placed.waiting;
                    continue;
                }
            }
            Claim claim;
            claim.task = task;
            claim.machine = machine->id;
            claim.attempt = nextAttempt(part);
            claim.made = context_.now();
            ++zoneUse[machine->zone];
            left -= job.spec.each;
            spdlog::debug("task {}/{}: to {} ({}), class {}, {:.1f} s after submission",
                          job.spec.id, task, machine->id, machine->type, job.spec.jobClass,
                          Seconds(context_.timers.wallNow() - job.submitted).count());
            ledger.addClaim(job, slice, std::move(claim));
            take(*opening, job.spec.each);
            ++placed.tasks;
        }
    }
    return placed;
}

bool Placement::placeGang(Ledger& ledger, std::uint32_t part, Job& job, Openings& openings,
                          Resources& left, bool& overShare) {
    Resources all;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) all += job.spec.each;
    if (!all.fits(left)) {
        overShare = true;
        return false;
    }
    // One zone after the other for a gang that must stay together; else all at once.
    std::vector<std::string> zones{std::string()};
    if (job.spec.oneZone) {
        std::set<std::string> found;
        for (const auto& kind : openings) found.insert(kind.zone);
        zones.clear();
        for (const auto& zone : found) zones.push_back(zone);
    }
    for (const auto& zone : zones) {
        ZoneUse use;
        if (!zone.empty()) use[zone] = 1;  // holds the choice to this zone
        if (placesFor(openings, job, use) < job.spec.tasks) continue;
        const auto attempt = nextAttempt(part);
        std::vector<Opening*> taken;
        std::vector<bool> dirty;
        for (auto& slice : job.slices) {
            dirty.push_back(slice.dirty);
            for (std::uint32_t i = 0; i < slice.done.size(); ++i) {
                Opening* opening = choose(ledger, openings, job, {}, use);
                if (opening == nullptr) break;
                Claim claim;
                claim.task = slice.first + i;
                claim.machine = opening->machine->id;
                claim.attempt = attempt;
                claim.made = context_.now();
                ++use[opening->machine->zone];
                ledger.addClaim(job, slice, std::move(claim));
                take(*opening, job.spec.each);
                taken.push_back(opening);
            }
        }
        if (taken.size() == job.spec.tasks) {
            left -= all;
            spdlog::debug("gang {}: placed, first on {}, class {}, {:.1f} s after submission",
                          job.spec.id, job.slices.front().claims.front().machine, job.spec.jobClass,
                          Seconds(context_.timers.wallNow() - job.submitted).count());
            return true;
        }
        for (auto* opening : taken) giveBack(*opening, job.spec.each);
        for (auto& slice : job.slices) {
            while (!slice.claims.empty()) ledger.removeClaim(job, slice, slice.claims.front().task);
            // As it was: the ends of the attempt before may still wait to be recorded. Once they
            // never were, and peers took the gang for running (scenario gang_lending).
            slice.dirty = dirty[slice.index];
        }
    }
    return false;
}

std::vector<Unplaced> Placement::run(std::uint32_t part) {
    std::vector<Unplaced> unplaced;
    auto ledger = context_.ledger.lock();
    std::map<std::string, Resources> left;
    std::set<std::string> blockedZones;
    dropReservations(*ledger, part);
    auto openings = openingsOf(*ledger, part);
    const auto rivals = largestOfClasses(*ledger);
    auto queue = readyJobs(*ledger, part);
    const auto leftFor = [&](const Job& job) -> Resources& {
        const auto [entry, fresh] = left.try_emplace(job.spec.team);
        if (fresh) entry->second = teamLeft(*ledger, job.spec.team, part);
        return entry->second;
    };
    std::vector<Ready> toFetch;
    for (auto& ready : queue) {
        Job& job = *ready.job;
        bool overShare = false;
        if (job.spec.kind != JobKind::gang) {
            const bool cachedOnly = letsCachedGoFirst(job);
            const auto placed = placeArray(*ledger, part, job, openings, rivals, leftFor(job),
                                           overShare, cachedOnly);
            ready.tasks -= placed.tasks + placed.waiting;
            if (ready.tasks == 0) continue;
            if (cachedOnly && !overShare)
                toFetch.push_back(ready);
            else
                unplaced.push_back({job.spec.id, ready.tasks, overShare, false, {}, false});
            continue;
        }
        if (placeGang(*ledger, part, job, openings, leftFor(job), overShare)) continue;
        // One task alone gathers nothing and lies in one zone anyway.
        if (job.spec.tasks == 1 || overShare) {
            unplaced.push_back({job.spec.id, ready.tasks, overShare, false, {}, false});
            continue;
        }
        chooseZone(*ledger, part, job);
        const bool waitsTurn = blockedZones.contains(job.gatherZone);
        // What waits for its turn has machines rented for it, but only once: each round it once
        // asked for all of them again.
        const auto missing =
            waitsTurn ? job.spec.tasks - std::min(job.spec.tasks, heldFor(*ledger, part, job))
                      : gather(*ledger, part, job, openings, blockedZones);
        unplaced.push_back({job.spec.id, missing, false, true, job.gatherZone, waitsTurn});
    }
    for (auto& ready : toFetch) {
        Job& job = *ready.job;
        bool overShare = false;
        const auto placed =
            placeArray(*ledger, part, job, openings, rivals, leftFor(job), overShare, false);
        ready.tasks -= placed.tasks + placed.waiting;
        if (ready.tasks > 0)
            unplaced.push_back({job.spec.id, ready.tasks, overShare, false, {}, false});
    }
    return unplaced;
}

bool Placement::makeRoom(Ledger& ledger, const Openings& openings, const Job& job,
                         std::set<std::string>& machines) {
    struct Victim {
        Claim* claim = nullptr;
        const Job* job = nullptr;
        double loss = 0;
    };
    const auto now = context_.now();
    auto use = zoneUseOf(ledger, job);
    if (!job.gatherZone.empty()) use[job.gatherZone] = 1;
    Machine* best = nullptr;
    std::vector<Victim> bestVictims;
    double bestLoss = std::numeric_limits<double>::max();
    const auto consider = [&](const Opening& opening) {
        Machine& machine = *opening.machine;
        if (now < machine.reservedUntil || job.failedOn.contains(machine.id) ||
            (machine.lender && job.spec.kind != JobKind::gang))
            return;
        std::vector<Victim> candidates;
        Resources room = opening.free;
        for (const auto& ref : machine.claims) {
            const auto [other, slice, claim] = ledger.held(ref);
            if (claim == nullptr || !claim->durable) continue;
            if (claim->stopGrace) {
                room += other->spec.each;  // on its way out already
                continue;
            }
            // Strictly lower priority only; a gang would lose all its tasks for one.
            if (other->spec.priority <= job.spec.priority || other->spec.kind == JobKind::gang)
                continue;
            const bool saves = other->spec.checkpoint.count() > 0;
            const double ran = claim->ran ? Seconds(now - *claim->ran).count() : 0;
            candidates.push_back(
                {claim, other,
                 other->spec.save.count() + (saves ? 0 : ran) + (claim->ran ? 0 : fetchWorth)});
        }
        std::sort(candidates.begin(), candidates.end(),
                  [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
        std::vector<Victim> victims;
        double loss = 0;
        for (const auto& candidate : candidates) {
            if (job.spec.each.fits(room)) break;
            room += candidate.job->spec.each;
            victims.push_back(candidate);
            loss += candidate.loss;
        }
        if (!job.spec.each.fits(room) || loss >= bestLoss) return;
        best = &machine;
        bestVictims = std::move(victims);
        bestLoss = loss;
    };
    for (const auto& kind : openings)
        if (kindAllowed(job, kind, use))
            for (const auto& opening : kind.machines) consider(opening);
    if (best == nullptr) return false;
    for (const auto& victim : bestVictims) {
        if (!victim.claim->seen) victim.claim->giveUp = true;
        victim.claim->stopGrace = victim.job->spec.save;
        spdlog::debug("task {}/{}: stopped on {} for job {}", victim.job->spec.id,
                      victim.claim->task, best->id, job.spec.id);
    }
    reserve(*best, job, 1, reservation);
    machines.insert(best->id);
    return true;
}

protocol::Priority Placement::lowestRunning(const Ledger& ledger, std::uint32_t part) {
    auto lowest = protocol::Priority::production;
    for (const auto& [id, job] : ledger.jobs)
        if (job.spec.priority > lowest && job.spec.kind != JobKind::gang &&
            std::any_of(job.slices.begin(), job.slices.end(), [part](const Slice& slice) {
                return slice.part == part && !slice.claims.empty();
            }))
            lowest = job.spec.priority;
    return lowest;
}

std::set<std::string> Placement::preemptFor(std::uint32_t part,
                                            const std::vector<Unplaced>& unplaced) {
    std::set<std::string> machines;
    auto ledger = context_.ledger.lock();
    std::optional<protocol::Priority> lowest;  // that could give way
    std::optional<Openings> openings;
    for (const auto& entry : unplaced) {
        Job* job = ledger->job(entry.job);
        if (job == nullptr || entry.overShare || entry.waitsTurn || !atRisk(*job) ||
            context_.now() < job->preemptedUntil)
            continue;
        if (!lowest) lowest = lowestRunning(*ledger, part);
        if (*lowest <= job->spec.priority) continue;
        if (!openings) openings = openingsOf(*ledger, part);
        // A gang gets nothing from a part of the room it needs.
        const auto most = entry.gang ? entry.tasks : std::min(entry.tasks, mostPreempted);
        for (std::uint32_t i = 0; i < most; ++i) {
            if (!makeRoom(*ledger, *openings, *job, machines)) break;
            job->preemptedUntil = context_.now() + reservation;
        }
    }
    return machines;
}

bool Placement::canEmpty(Ledger& ledger, const Machine& machine, std::vector<Claim*>& claims) {
    const auto now = context_.now();
    std::map<std::string, Resources> taken;
    double longestLeft = 0;
    for (const auto& ref : machine.claims) {
        const auto [job, slice, claim] = ledger.held(ref);
        // Only what saves its progress, runs long enough to have counted as started, and is not
        // tied to other tasks.
        if (claim == nullptr || !claim->durable || claim->stopGrace || !claim->ran ||
            now - *claim->ran < settledRun || job->spec.checkpoint.count() <= 0 || job->cancelled ||
            (job->spec.tasks > 1 && job->undivided()))
            return false;
        longestLeft =
            std::max(longestLeft, Seconds(job->spec.estimate - Seconds(now - *claim->ran)).count());
        bool fits = false;
        for (const auto* other : ledger.machinesOf(machine.part)) {
            // Into machines in use only: an empty one might be the next to go.
            if (other == &machine || other->claims.empty() || !takesWork(*other)) continue;
            Machine after = *other;
            after.used += taken[other->id];
            if (!allowed(*job, after)) continue;
            taken[other->id] += job->spec.each;
            fits = true;
            break;
        }
        if (!fits) return false;
        claims.push_back(claim);
    }
    return longestLeft > leastLeftToMove;
}

std::optional<std::string> Placement::emptyOne(std::uint32_t part) {
    auto ledger = context_.ledger.lock();
    Machine* best = nullptr;
    std::vector<Claim*> bestClaims;
    double bestWaste = 0;
    for (auto* entry : ledger->machinesOf(part)) {
        Machine& machine = *entry;
        if (machine.emptying && !machine.claims.empty()) return std::nullopt;  // one at a time
        const auto* type = context_.type(machine.type);
        if (type == nullptr || machine.claims.empty() || !takesWork(machine)) continue;
        const double share = std::max(machine.used.cpus / std::max(1.0, type->capacity.cpus),
                                      machine.used.gpus / std::max(1.0, type->capacity.gpus));
        if (share > thinUse) continue;
        const double waste = (machine.spot ? type->spotPrice : type->price) * (1 - share);
        std::vector<Claim*> claims;
        if (waste <= bestWaste || !canEmpty(*ledger, machine, claims)) continue;
        best = &machine;
        bestClaims = std::move(claims);
        bestWaste = waste;
    }
    if (best == nullptr) return std::nullopt;
    spdlog::debug("machine {}: emptying, {} tasks", best->id, bestClaims.size());
    best->emptying = true;
    for (std::size_t i = 0; i < bestClaims.size(); ++i)
        bestClaims[i]->stopGrace = ledger->job(best->claims[i].job)->spec.save;
    return best->id;
}

std::uint32_t Placement::roomFor(const Job& job, std::uint32_t part, std::uint32_t most) {
    auto ledger = context_.ledger.lock();
    if (job.spec.kind == JobKind::gang) return gangRoom(*ledger, part, job);
    std::uint32_t room = 0;
    // Of a peer's machines only the records are known, not whether they report.
    const bool own = membership_.active(part);
    for (const auto* machine : ledger->machinesOf(part)) {
        if (machine->retired || (own && !takesWork(*machine))) continue;
        const auto* type = context_.type(machine->type);
        if (type == nullptr || !typeAllowed(job.spec, *type, machine->zone, machine->spot))
            continue;
        Resources free = type->capacity;
        free -= machine->used;
        room += fitsIn(job, free, most - room);
    }
    return room;
}

std::uint32_t Placement::gangRoom(Ledger& ledger, std::uint32_t part, const Job& job) {
    // All of it or nothing: a part with room for some of its tasks is of no use to it.
    const bool own = membership_.active(part);
    std::map<std::string, std::uint32_t> zones;
    for (const auto* machine : ledger.machinesOf(part)) {
        const auto* type = context_.type(machine->type);
        if (machine->retired || (own && !takesWork(*machine)) || type == nullptr ||
            !typeAllowed(job.spec, *type, machine->zone, machine->spot))
            continue;
        Resources free = type->capacity;
        free -= machine->used;
        if (context_.now() < machine->reservedUntil && machine->reservedFor != job.spec.id)
            free -= machine->reservedRoom;
        zones[job.spec.oneZone ? machine->zone : std::string()] +=
            fitsIn(job, free, job.spec.tasks);
    }
    const bool fits = std::any_of(zones.begin(), zones.end(), [&](const auto& entry) {
        return entry.second >= job.spec.tasks;
    });
    return fits ? job.spec.tasks : 0;
}

bool Placement::everFits(const Job& job, std::uint32_t part) {
    auto ledger = context_.ledger.lock();
    const auto& machines = ledger->machinesOf(part);
    return std::any_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        const auto* type = context_.type(machine->type);
        return !machine->retired && type != nullptr &&
               typeAllowed(job.spec, *type, machine->zone, machine->spot);
    });
}

}  // namespace fawnwheel::coordination
