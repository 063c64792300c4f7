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
constexpr double fetchThatCounts = 0.25;  // of the time that a task runs
constexpr double fetchesPassedOver = 3;

}  // namespace

std::map<std::string, std::uint32_t> zoneUseOf(const ClusterState& clusterState, const Job& job) {
    std::map<std::string, std::uint32_t> use;
    for (const auto& slice : job.slices) {
        for (const auto& claim : slice.claims) {
            // A machine we have lost sight of still counts, wherever it is.
            const auto found = clusterState.machines.find(claim.machine);
            ++use[found == clusterState.machines.end() ? std::string() : found->second.zone];
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
    return machine.version != 0 && machine.acknowledged() && !machine.transferring &&
           !machine.retired && !machine.emptying && !machine.noticeEnds && machine.lastReport &&
           now - *machine.lastReport < ticks(context_.settings.report * silentReports) &&
           now >= machine.notBefore;
}

std::uint64_t Placement::nextAttempt(std::uint32_t partition) {
    // Terms grow over all leaders, so attempts do too, without a record of their own.
    return (membership_.term(partition) << taskBits) | (++sequence_ & ((1U << taskBits) - 1));
}

bookkeeping::TeamShare Placement::shareOf(const ClusterState& clusterState, const app::Team& team,
                                          std::uint32_t partition) const {
    const auto partitions = static_cast<double>(context_.partitionCount());
    bookkeeping::TeamShare share{team.cpusMax / partitions, team.gpusMax / partitions};
    const auto known = clusterState.shares.find(team.name);
    if (known == clusterState.shares.end() || !known->second.contains(partition)) return share;
    bookkeeping::TeamShare total;
    for (const auto& [number, recorded] : known->second) {
        total.cpus += recorded.cpus;
        total.gpus += recorded.gpus;
    }
    const auto& mine = known->second.at(partition);
    // Recorded for another limit or other partitions: the lesser of both never exceeds the limit.
    const bool fits = known->second.size() == context_.partitionCount() &&
                      std::abs(total.cpus - team.cpusMax) < shareSlack &&
                      std::abs(total.gpus - team.gpusMax) < shareSlack;
    return fits ? mine
                : bookkeeping::TeamShare{std::min(share.cpus, mine.cpus),
                                         std::min(share.gpus, mine.gpus)};
}

Resources Placement::teamLeft(ClusterState& clusterState, const std::string& name,
                              std::uint32_t partition) const {
    Resources left{unlimited, unlimited, unlimited};
    const auto* team = context_.team(name);
    if (team == nullptr) return left;
    const auto used = clusterState.usedBy(name, partition);
    auto share = shareOf(clusterState, *team, partition);
    if (const auto leaving = clusterState.sharesLeaving.find(name);
        leaving != clusterState.sharesLeaving.end() && leaving->second.first == partition) {
        share.cpus -= leaving->second.second.cpus;
        share.gpus -= leaving->second.second.gpus;
    }
    if (team->cpusMax > 0) left.cpus = share.cpus - used.cpus;
    if (team->gpusMax > 0) left.gpus = share.gpus - used.gpus;
    return left;
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

Placement::Placed Placement::placeArray(ClusterState& clusterState, std::uint32_t partition,
                                        Job& job, Openings& openings, Rivals& rivals,
                                        Resources& left, bool& overShare, bool cachedOnly,
                                        std::uint32_t most) {
    // Counted in each round, the places of thousands of tasks took half of a round's time.
    ZoneUse zoneUse;
    if (job.spec.oneZone || job.spec.spread) zoneUse = zoneUseOf(clusterState, job);
    // The hosts' places stay open for what comes next. What finds no other place takes a few of
    // them, so that a guest never waits for good.
    const bool guest = context_.isGuest(job);
    auto allowance = guest ? guestAllowance(job, partition) : 0;
    Placed placed;
    std::optional<std::uint32_t> mayWait;  // worked out when the first would have to fetch
    for (auto& slice : job.slices) {
        if (slice.partition != partition || slice.waiting() == 0) continue;
        for (std::uint32_t i = 0; i < slice.done.size(); ++i) {
            const auto task = slice.first + i;
            if (!slice.unstarted(task) || slice.isLeaving(task)) continue;
            if (placed.tasks >= most) return placed;
            if (!job.spec.each.fits(left)) {
                overShare = true;
                return placed;
            }
            Opening* opening = choose(clusterState, openings, job, rivals, zoneUse, guest);
            if (opening == nullptr && allowance > 0) {
                --allowance;
                opening = choose(clusterState, openings, job, rivals, zoneUse, false);
            }
            if (opening == nullptr) return placed;
            const Machine* machine = opening->machine;
            if (!hasImage(clusterState, *machine, job)) {
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
            claim.attempt = nextAttempt(partition);
            claim.made = context_.now();
            ++zoneUse[machine->zone];
            left -= job.spec.each;
            spdlog::debug("task {}/{}: to {} ({}), class {}, {:.1f} s after submission",
                          job.spec.id, task, machine->id, machine->type, job.spec.jobClass,
                          Seconds(context_.timers.wallNow() - job.submitted).count());
            clusterState.addClaim(job, slice, std::move(claim));
            if (guest) useSpare(rivals, *opening, job);
            take(*opening, job.spec.each);
            ++placed.tasks;
        }
    }
    return placed;
}

bool Placement::placeGang(ClusterState& clusterState, std::uint32_t partition, Job& job,
                          Openings& openings, Resources& left, bool& overShare) {
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
        const auto attempt = nextAttempt(partition);
        std::vector<Opening*> taken;
        std::vector<bool> dirty;
        for (auto& slice : job.slices) {
            dirty.push_back(slice.dirty);
            for (std::uint32_t i = 0; i < slice.done.size(); ++i) {
                Opening* opening = choose(clusterState, openings, job, {}, use, false);
                if (opening == nullptr) break;
                Claim claim;
                claim.task = slice.first + i;
                claim.machine = opening->machine->id;
                claim.attempt = attempt;
                claim.made = context_.now();
                ++use[opening->machine->zone];
                clusterState.addClaim(job, slice, std::move(claim));
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
            while (!slice.claims.empty())
                clusterState.removeClaim(job, slice, slice.claims.front().task);
            // As it was: the ends of the attempt before may still wait to be recorded. Once they
            // never were, and peers took the gang for running (scenario gang_lending).
            slice.dirty = dirty[slice.index];
        }
    }
    return false;
}

std::vector<Unplaced> Placement::run(std::uint32_t partition) {
    std::vector<Unplaced> unplaced;
    auto clusterState = context_.clusterState.lock();
    std::map<std::string, Resources> left;
    std::set<std::string> blockedZones;
    dropReservations(*clusterState, partition);
    auto openings = openingsOf(*clusterState, partition);
    auto rivals = largestOfClasses(*clusterState);
    auto queue = readyJobs(*clusterState, partition);
    const auto leftFor = [&](const Job& job) -> Resources& {
        const auto [entry, fresh] = left.try_emplace(job.spec.team);
        if (fresh) entry->second = teamLeft(*clusterState, job.spec.team, partition);
        return entry->second;
    };
    std::vector<Ready> toFetch;
    bool spareCounted = false;
    const bool recordsLag = claimsWait(*clusterState, partition);
    for (auto& ready : queue) {
        Job& job = *ready.job;
        bool overShare = false;
        if (job.spec.kind != JobKind::gang) {
            const bool guest = context_.isGuest(job);
            if (guest && recordsLag) continue;
            // Guests come last, so that what the hosts have just taken counts.
            if (guest && !std::exchange(spareCounted, true))
                countSpare(rivals, openings, *clusterState, partition);
            const bool cachedOnly = !ready.probe && letsCachedGoFirst(job);
            const auto placed = placeArray(*clusterState, partition, job, openings, rivals,
                                           leftFor(job), overShare, cachedOnly, mostToPlace(ready));
            ready.tasks -= placed.tasks + placed.waiting;
            if (ready.tasks == 0) continue;
            if (ready.probe) continue;
            if (cachedOnly && !overShare)
                toFetch.push_back(ready);
            else
                unplaced.push_back({job.spec.id, ready.tasks, overShare, false, {}, false, 0});
            continue;
        }
        if (placeGang(*clusterState, partition, job, openings, leftFor(job), overShare) ||
            ready.probe)
            continue;
        // One task alone gathers nothing and lies in one zone anyway.
        if (job.spec.tasks == 1 || overShare) {
            unplaced.push_back({job.spec.id, ready.tasks, overShare, false, {}, false, 0});
            continue;
        }
        chooseZone(*clusterState, partition, job);
        const bool waitsTurn = blockedZones.contains(job.gatherZone);
        // What waits for its turn has machines rented for it, but only once: each round it once
        // asked for all of them again.
        auto lacking = job.spec.tasks;
        const auto missing =
            waitsTurn
                ? job.spec.tasks - std::min(job.spec.tasks, heldFor(*clusterState, partition, job))
                : gather(*clusterState, partition, job, openings, blockedZones, lacking);
        unplaced.push_back({job.spec.id, missing, false, true, job.gatherZone, waitsTurn, lacking});
    }
    for (auto& ready : toFetch) {
        Job& job = *ready.job;
        bool overShare = false;
        const auto placed = placeArray(*clusterState, partition, job, openings, rivals,
                                       leftFor(job), overShare, false, mostToPlace(ready));
        ready.tasks -= placed.tasks + placed.waiting;
        if (ready.tasks > 0)
            unplaced.push_back({job.spec.id, ready.tasks, overShare, false, {}, false, 0});
    }
    return unplaced;
}

}  // namespace fawnwheel::coordination
