#include "coordination/placement.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr double silentReports = 2.5;  // no new work after so many missed reports
constexpr double unlimited = 1e12;
constexpr double shareSlack = 1e-6;
constexpr std::uint32_t placementsPerRun = 64;
constexpr std::chrono::seconds longestRecording{3};  // of claims, for more of guests to be made
constexpr std::uint32_t unprovenTasks = 256;  // at a time, of a job that has shown no task to run
// What has no aim (left) is served as if it had to start this long after its submission.
constexpr Seconds patience{600};
constexpr Seconds largestBegin{240};  // what the operators ask of a class's largest jobs
constexpr Seconds largestLead{120};   // to gather for them
constexpr Seconds riskMargin{10};
constexpr Seconds loanClosedToOthers{45};  // to work that has waited for less
constexpr double fetchThatCounts = 0.25;   // of the time that a task runs
constexpr double fetchesPassedOver = 3;

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
    return machine.version != 0 && machine.acknowledged() && !machine.lending && !machine.retired &&
           !machine.emptying && !machine.noticeEnds && machine.lastReport &&
           now - *machine.lastReport < ticks(context_.settings.report * silentReports) &&
           now >= machine.notBefore;
}

transport::WallTime Placement::latestStart(const Job& job) const {
    // The next of the job's aims that can still be met. What has missed all of them goes behind,
    // since hurrying it helps nobody, but it grows old and is not passed over for ever.
    const auto now = context_.timers.wallNow();
    std::optional<transport::WallTime> next;
    const auto consider = [&](transport::WallTime latest) {
        if (latest > now && (!next || latest < *next)) next = latest;
    };
    // A job that had to wait for others is late only from when it could have begun.
    const auto sinceReady = [&job](Seconds time) { return plus(job.readySince, time); };
    for (const auto& objective : context_.settings.objectives) {
        if (objective.jobClass != job.spec.jobClass) continue;
        if (objective.kind == app::ObjectiveKind::wait) consider(sinceReady(objective.within));
        if (objective.kind == app::ObjectiveKind::finished)
            consider(sinceReady(objective.within - job.spec.estimate));
    }
    if (job.spec.deadline) consider(plus(job.submitted, *job.spec.deadline - job.spec.estimate));
    if (job.latestEnd) consider(plus(*job.latestEnd, -job.spec.estimate));
    const auto latest = next ? *next : sinceReady(patience);
    // A day on which a class's largest gangs don't begin in time is lost, and they need the most
    // machines at once: behind what is easier to place, under half of them began.
    if (isLargest(job) && now < sinceReady(largestBegin))
        return std::min(latest, sinceReady(largestBegin - largestLead));
    return latest;
}

bool Placement::isLargest(const Job& job) const {
    const auto largest = largestGang_.find(job.spec.jobClass);
    return job.spec.kind == JobKind::gang && job.spec.tasks > 1 && largest != largestGang_.end() &&
           job.spec.tasks >= largest->second;
}

Seconds Placement::stepTime(const protocol::JobSpec& spec) const {
    // A start waits for a worker's report, and so may an end that was reported while one was under
    // way.
    return spec.estimate + fetchTime(spec) + context_.settings.report;
}

Seconds Placement::fetchTime(const protocol::JobSpec& spec) const {
    std::optional<double> fetch;
    for (const auto& type : context_.catalog) {
        if (!typeAllowed(spec, type, spec.zone.value_or(""), false)) continue;
        const double here = spec.imageSize / type.fetchRate;
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
    return std::tuple(one.priority, latestStart(one), one.spec.id) <
           std::tuple(other.priority, latestStart(other), other.spec.id);
}

std::vector<Placement::Ready> Placement::readyJobs(Ledger& ledger, std::uint32_t part) {
    std::vector<Ready> ready;
    const auto now = context_.now();
    for (const auto& [id, job] : ledger.jobs)
        if (job.spec.kind == JobKind::gang && ledger.schedulable(job)) {
            auto& largest = largestGang_[job.spec.jobClass];
            largest = std::max(largest, job.spec.tasks);
        }
    for (auto& [id, job] : ledger.jobs) {
        if (!ledger.startable(job) || now < job.notBefore) continue;
        if (job.spec.kind == JobKind::gang && job.anyClaim()) {
            if (job.part == part) stopBrokenGang(job);
            continue;
        }
        if (job.failing()) {
            if (mayProbe(job, part)) ready.push_back({&job, 1, latestStart(job), true});
            continue;
        }
        std::uint32_t tasks = 0;
        for (const auto& slice : job.slices)
            if (slice.part == part) tasks += slice.waiting();
        if (tasks > 0) ready.push_back({&job, tasks, latestStart(job)});
    }
    std::sort(ready.begin(), ready.end(), [](const Ready& a, const Ready& b) {
        return std::tie(a.probe, a.job->priority, a.latest, a.job->spec.id) <
               std::tie(b.probe, b.job->priority, b.latest, b.job->spec.id);
    });
    return ready;
}

bool Placement::mayProbe(const Job& job, std::uint32_t part) {
    // One task at a time for the whole job, wherever its slices lie: by the first that waits.
    if (job.anyClaim()) return false;
    const auto first = std::find_if(job.slices.begin(), job.slices.end(),
                                    [](const Slice& slice) { return slice.waiting() > 0; });
    return first != job.slices.end() && first->part == part;
}

std::uint32_t Placement::mostToPlace(const Ready& ready) const {
    if (ready.probe) return 1;
    const Job& job = *ready.job;
    if (job.spec.tasks <= unprovenTasks || job.doneTasks() > 0) return placementsPerRun;
    // Of a large array with a mistake not all tasks have to fail to show it.
    const auto now = context_.now();
    std::uint32_t claimed = 0;
    for (const auto& slice : job.slices)
        for (const auto& claim : slice.claims) {
            if (claim.ran && now - *claim.ran > ticks(context_.settings.report * 2))
                return placementsPerRun;
            ++claimed;
        }
    return std::min(placementsPerRun, unprovenTasks - std::min(unprovenTasks, claimed));
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

bool Placement::claimsWait(const Ledger& ledger, std::uint32_t part) const {
    // Beyond what the state service writes, the claims of a guest's thousands of short tasks once
    // waited for 150 s for their records and held their machines, and those of the hosts behind
    // them (day fresh-5728 of vatback).
    const auto oldest = context_.now() - longestRecording;
    return std::any_of(ledger.jobs.begin(), ledger.jobs.end(), [&](const auto& entry) {
        const auto& slices = entry.second.slices;
        return std::any_of(slices.begin(), slices.end(), [&](const Slice& slice) {
            return slice.part == part && slice.dirty &&
                   std::any_of(slice.claims.begin(), slice.claims.end(), [&](const Claim& claim) {
                       return !claim.durable && claim.made < oldest;
                   });
        });
    });
}

std::vector<std::uint32_t> Placement::queueLengths() {
    std::vector<std::uint32_t> lengths(context_.partCount(), 0);
    const auto now = context_.now();
    auto ledger = context_.ledger.lock();
    for (const auto& [id, job] : ledger->jobs) {
        if (!ledger->schedulable(job) || now < job.notBefore ||
            (job.spec.kind == JobKind::gang && job.anyClaim()))
            continue;
        for (const auto& slice : job.slices)
            if (slice.part < lengths.size()) lengths[slice.part] += slice.waiting();
    }
    return lengths;
}

std::uint32_t Placement::queueLength(std::uint32_t part) {
    return queueLengths()[part];
}

bool Placement::mayUseLoan(const Job& job, const Machine& machine) const {
    // A loan is for a gang's start only. But beside the gang's tasks there may be the only room
    // that is left, and work that waits on and on beside it is not served (slice_left_behind).
    if (!machine.lender || job.spec.kind == JobKind::gang) return true;
    return !machine.claims.empty() &&
           context_.timers.wallNow() > plus(job.readySince, loanClosedToOthers);
}

bool Placement::allowed(const Job& job, const Machine& machine) const {
    const auto* type = context_.type(machine.type);
    if (type == nullptr || !typeAllowed(job.spec, *type, machine.zone, machine.spot)) return false;
    if (job.avoids(machine.id, context_.now())) return false;
    if (!mayUseLoan(job, machine)) return false;
    Resources room = type->capacity;
    room -= machine.used;
    if (context_.now() < machine.reservedUntil && machine.reservedFor != job.spec.id)
        room -= machine.reservedRoom;
    return job.spec.each.fits(room);
}

std::uint32_t Placement::fitsIn(const Job& job, Resources room, std::uint32_t most) {
    std::uint32_t count = 0;
    for (; count < most && job.spec.each.fits(room); ++count) room -= job.spec.each;
    return count;
}

bool Placement::letsCachedGoFirst(const Job& job) const {
    // In a backlog every job has waited long. Each machine that came free then fetched the image of
    // the first in the queue, while later ones had theirs there: half of the GPUs' time went into
    // fetches, and the backlog stayed (day zone of a fleet). What finds no place at all for long
    // takes one wherever it is.
    const auto fetch = fetchTime(job);
    const Seconds waited = context_.timers.wallNow() - job.readySince;
    return fetch > job.spec.estimate * fetchThatCounts &&
           (job.anyClaim() || waited < fetch * fetchesPassedOver);
}

void Placement::useSpare(Rivals& rivals, const Opening& opening, const Job& job) const {
    const Machine& machine = *opening.machine;
    const auto* type = context_.type(machine.type);
    for (auto& rival : rivals)
        rival.spare -= std::min(
            rival.spare, placesClosed(rival, *type, machine.zone, machine.spot, opening.free, job));
}

Placement::Placed Placement::placeArray(Ledger& ledger, std::uint32_t part, Job& job,
                                        Openings& openings, Rivals& rivals, Resources& left,
                                        bool& overShare, bool cachedOnly, std::uint32_t most) {
    auto zoneUse = zoneUseOf(ledger, job);
    // The hosts' places stay open for what comes next. What finds no other place takes a few of
    // them, so that a guest never waits for good.
    const bool guest = context_.isGuest(job);
    auto allowance = guest ? guestAllowance(job, part) : 0;
    Placed placed;
    std::optional<std::uint32_t> mayWait;  // worked out when the first would have to fetch
    for (auto& slice : job.slices) {
        if (slice.part != part || slice.waiting() == 0) continue;
        for (std::uint32_t i = 0; i < slice.done.size(); ++i) {
            const auto task = slice.first + i;
            if (!slice.unstarted(task) || slice.isLeaving(task)) continue;
            if (placed.tasks >= most) return placed;
            if (!job.spec.each.fits(left)) {
                overShare = true;
                return placed;
            }
            Opening* opening = choose(ledger, openings, job, rivals, zoneUse, guest);
            if (opening == nullptr && allowance > 0) {
                --allowance;
                opening = choose(ledger, openings, job, rivals, zoneUse, false);
            }
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
            if (guest) useSpare(rivals, *opening, job);
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
                Opening* opening = choose(ledger, openings, job, {}, use, false);
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
    auto rivals = largestOfClasses(*ledger);
    auto queue = readyJobs(*ledger, part);
    const auto leftFor = [&](const Job& job) -> Resources& {
        const auto [entry, fresh] = left.try_emplace(job.spec.team);
        if (fresh) entry->second = teamLeft(*ledger, job.spec.team, part);
        return entry->second;
    };
    std::vector<Ready> toFetch;
    bool spareCounted = false;
    const bool recordsLag = claimsWait(*ledger, part);
    for (auto& ready : queue) {
        Job& job = *ready.job;
        bool overShare = false;
        if (job.spec.kind != JobKind::gang) {
            const bool guest = context_.isGuest(job);
            if (guest && recordsLag) continue;
            // Guests come last, so that what the hosts have just taken counts.
            if (guest && !std::exchange(spareCounted, true))
                countSpare(rivals, openings, *ledger, part);
            const bool cachedOnly = !ready.probe && letsCachedGoFirst(job);
            const auto placed = placeArray(*ledger, part, job, openings, rivals, leftFor(job),
                                           overShare, cachedOnly, mostToPlace(ready));
            ready.tasks -= placed.tasks + placed.waiting;
            if (ready.tasks == 0) continue;
            if (ready.probe) continue;
            if (cachedOnly && !overShare)
                toFetch.push_back(ready);
            else
                unplaced.push_back({job.spec.id, ready.tasks, overShare, false, {}, false, 0});
            continue;
        }
        if (placeGang(*ledger, part, job, openings, leftFor(job), overShare) || ready.probe)
            continue;
        // One task alone gathers nothing and lies in one zone anyway.
        if (job.spec.tasks == 1 || overShare) {
            unplaced.push_back({job.spec.id, ready.tasks, overShare, false, {}, false, 0});
            continue;
        }
        chooseZone(*ledger, part, job);
        const bool waitsTurn = blockedZones.contains(job.gatherZone);
        // What waits for its turn has machines rented for it, but only once: each round it once
        // asked for all of them again.
        auto lacking = job.spec.tasks;
        const auto missing =
            waitsTurn ? job.spec.tasks - std::min(job.spec.tasks, heldFor(*ledger, part, job))
                      : gather(*ledger, part, job, openings, blockedZones, lacking);
        unplaced.push_back({job.spec.id, missing, false, true, job.gatherZone, waitsTurn, lacking});
    }
    for (auto& ready : toFetch) {
        Job& job = *ready.job;
        bool overShare = false;
        const auto placed = placeArray(*ledger, part, job, openings, rivals, leftFor(job),
                                       overShare, false, mostToPlace(ready));
        ready.tasks -= placed.tasks + placed.waiting;
        if (ready.tasks > 0)
            unplaced.push_back({job.spec.id, ready.tasks, overShare, false, {}, false, 0});
    }
    return unplaced;
}

std::uint32_t Placement::roomFor(const Job& job, std::uint32_t part, std::uint32_t most) {
    auto ledger = context_.ledger.lock();
    if (job.spec.kind == JobKind::gang) return gangRoom(*ledger, part, job);
    std::uint32_t room = 0;
    // Of a peer's machines only the records are known, not whether they report.
    const bool own = membership_.active(part);
    const auto rivals = context_.isGuest(job) ? largestOfClasses(*ledger) : Rivals();
    for (const auto* machine : ledger->machinesOf(part)) {
        if (machine->retired || (own && !takesWork(*machine)) || !mayUseLoan(job, *machine))
            continue;
        const auto* type = context_.type(machine->type);
        if (type == nullptr || !typeAllowed(job.spec, *type, machine->zone, machine->spot))
            continue;
        Resources free = type->capacity;
        free -= machine->used;
        const auto fits = fitsIn(job, free, most - room);
        for (std::uint32_t i = 0; i < fits; ++i, free -= job.spec.each, ++room)
            if (!rivals.empty() &&
                placesClosed(rivals, *type, machine->zone, machine->spot, free, job).ofHosts > 0)
                break;
        if (room >= most) break;
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
