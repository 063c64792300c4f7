// Stopping work: for jobs of higher priority, and to empty thinly used machines.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

#include "coordination/placement.h"

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;

constexpr auto settledRun = std::chrono::seconds(32);
constexpr double leastLeftToMove = 20;  // seconds, by the estimate
constexpr double thinUse = 0.5;
constexpr auto reservation = std::chrono::seconds(20);  // to save, report and be placed
constexpr double fetchWorth = 5;
constexpr std::uint32_t mostPreempted = 4;

}  // namespace

bool Placement::makeRoom(ClusterState& clusterState, const Openings& openings, const Job& job,
                         std::set<std::string>& machines) {
    struct Victim {
        Claim* claim = nullptr;
        const Job* job = nullptr;
        double loss = 0;
    };
    const auto now = context_.now();
    auto use = zoneUseOf(clusterState, job);
    if (!job.gatherZone.empty()) use[job.gatherZone] = 1;
    Machine* best = nullptr;
    std::vector<Victim> bestVictims;
    double bestLoss = std::numeric_limits<double>::max();
    const auto consider = [&](const Opening& opening) {
        Machine& machine = *opening.machine;
        if (now < machine.reservedUntil || job.avoids(machine.id, now) ||
            (machine.lender && job.spec.kind != JobKind::gang))
            return;
        std::vector<Victim> candidates;
        Resources room = opening.free;
        for (const auto& ref : machine.claims) {
            const auto [other, slice, claim] = clusterState.held(ref);
            if (claim == nullptr || !claim->durable) continue;
            if (claim->stopGrace) {
                room += other->spec.each;  // on its way out already
                continue;
            }
            // Strictly lower priority only; a gang would lose all its tasks for one.
            if (other->priority <= job.priority || other->spec.kind == JobKind::gang) continue;
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

protocol::Priority Placement::lowestRunning(const ClusterState& clusterState,
                                            std::uint32_t partition) {
    auto lowest = protocol::Priority::production;
    for (const auto& [id, job] : clusterState.jobs)
        if (job.priority > lowest && job.spec.kind != JobKind::gang &&
            std::any_of(job.slices.begin(), job.slices.end(), [partition](const Slice& slice) {
                return slice.partition == partition && !slice.claims.empty();
            }))
            lowest = job.priority;
    return lowest;
}

std::set<std::string> Placement::preemptFor(std::uint32_t partition,
                                            const std::vector<Unplaced>& unplaced) {
    std::set<std::string> machines;
    auto clusterState = context_.clusterState.lock();
    std::optional<protocol::Priority> lowest;  // that could give way
    std::optional<Openings> openings;
    for (const auto& entry : unplaced) {
        Job* job = clusterState->job(entry.job);
        if (job == nullptr || entry.overShare || entry.waitsTurn || !atRisk(*job) ||
            context_.now() < job->preemptedUntil)
            continue;
        if (!lowest) lowest = lowestRunning(*clusterState, partition);
        if (*lowest <= job->priority) continue;
        if (!openings) openings = openingsOf(*clusterState, partition);
        // A gang gets nothing from a partition of the room it needs.
        const auto most = entry.gang ? entry.tasks : std::min(entry.tasks, mostPreempted);
        for (std::uint32_t i = 0; i < most; ++i) {
            if (!makeRoom(*clusterState, *openings, *job, machines)) break;
            job->preemptedUntil = context_.now() + reservation;
        }
    }
    return machines;
}

bool Placement::canEmpty(ClusterState& clusterState, const Machine& machine,
                         std::vector<Claim*>& claims) {
    const auto now = context_.now();
    std::map<std::string, Resources> taken;
    double longestLeft = 0;
    for (const auto& ref : machine.claims) {
        const auto [job, slice, claim] = clusterState.held(ref);
        // Only what saves its progress, runs long enough to have counted as started, and is not
        // tied to other tasks.
        if (claim == nullptr || !claim->durable || claim->stopGrace || !claim->ran ||
            now - *claim->ran < settledRun || job->spec.checkpoint.count() <= 0 || job->cancelled ||
            (job->spec.tasks > 1 && job->undivided()))
            return false;
        longestLeft =
            std::max(longestLeft, Seconds(job->spec.estimate - Seconds(now - *claim->ran)).count());
        bool fits = false;
        for (const auto* other : clusterState.machinesOf(machine.partition)) {
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

std::optional<std::string> Placement::emptyOne(std::uint32_t partition) {
    auto clusterState = context_.clusterState.lock();
    Machine* best = nullptr;
    std::vector<Claim*> bestClaims;
    double bestWaste = 0;
    for (auto* entry : clusterState->machinesOf(partition)) {
        Machine& machine = *entry;
        if (machine.emptying && !machine.claims.empty()) return std::nullopt;  // one at a time
        const auto* type = context_.type(machine.type);
        if (type == nullptr || machine.claims.empty() || !takesWork(machine)) continue;
        const double share = std::max(machine.used.cpus / std::max(1.0, type->capacity.cpus),
                                      machine.used.gpus / std::max(1.0, type->capacity.gpus));
        if (share > thinUse) continue;
        const double waste = (machine.spot ? type->spotPrice : type->price) * (1 - share);
        std::vector<Claim*> claims;
        if (waste <= bestWaste || !canEmpty(*clusterState, machine, claims)) continue;
        best = &machine;
        bestClaims = std::move(claims);
        bestWaste = waste;
    }
    if (best == nullptr) return std::nullopt;
    spdlog::debug("machine {}: emptying, {} tasks", best->id, bestClaims.size());
    best->emptying = true;
    for (std::size_t i = 0; i < bestClaims.size(); ++i)
        bestClaims[i]->stopGrace = clusterState->job(best->claims[i].job)->spec.save;
    return best->id;
}

}  // namespace fawnwheel::coordination
