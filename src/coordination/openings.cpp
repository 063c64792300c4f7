// Where a task could go: the room on a partition's machines, by kind, and what each choice costs.
#include <algorithm>
#include <limits>

#include "coordination/placement.h"

namespace fawnwheel::coordination {

namespace {

using protocol::JobKind;
using protocol::TaskState;

constexpr double sharedFetch = 0.4;        // of a fetch that another task has begun
constexpr double idleGpuSeconds = 25;      // what using up a GPU machine's CPUs counts as
constexpr double closedPlaceSeconds = 30;  // what closing a place for larger tasks counts as
// What a machine reports has to fit into 64 KiB, with those that have ended and are not recorded
// yet.
constexpr std::size_t mostTasks = 448;
constexpr std::size_t guestTasks = 32;  // of a job on a partition that may close places of hosts
constexpr auto guestPatience = std::chrono::seconds(60);  // until places of others may be closed
constexpr double emptyMachineSeconds = 4;  // what breaking into an empty machine counts as

}  // namespace

Placement::Openings Placement::openingsOf(const ClusterState& clusterState,
                                          std::uint32_t partition) const {
    Openings openings;
    const auto now = context_.now();
    for (auto* machine : clusterState.machinesOf(partition)) {
        if (!takesWork(*machine, now) || machine->claims.size() + machine->exited >= mostTasks)
            continue;
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
    if (!mayUseLoan(job, machine)) return {};
    if (!job.failures.machines.empty() && job.avoids(machine.id, context_.now())) return {};
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

double Placement::cost(ClusterState& clusterState, const Job& job, const Machine& machine,
                       const MachineType& type) const {
    double seconds = 0;
    const bool cached = std::any_of(machine.images.begin(), machine.images.end(),
                                    [&](const auto& i) { return i.name == job.spec.image; });
    if (!cached) {
        const double fetch = job.spec.imageSize / type.fetchRate;
        bool begun = false;
        std::set<std::string> others;
        for (const auto& ref : machine.claims) {
            const auto [other, slice, claim] = clusterState.held(ref);
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

bool Placement::hasImage(ClusterState& clusterState, const Machine& machine, const Job& job) {
    const auto& image = job.spec.image;
    return std::any_of(machine.images.begin(), machine.images.end(),
                       [&](const auto& i) { return i.name == image; }) ||
           // Under way for another task.
           std::any_of(machine.claims.begin(), machine.claims.end(), [&](const auto& ref) {
               const Job* other = clusterState.job(ref.job);
               return other != nullptr && other->spec.image == image;
           });
}

Placement::Rivals Placement::largestOfClasses(const ClusterState& clusterState) {
    Rivals largest;
    for (const auto& entry : clusterState.jobs) {
        const Job& job = entry.second;
        if (!clusterState.schedulable(job)) continue;
        const auto same = std::find_if(largest.begin(), largest.end(), [&](const Rival& other) {
            return other.job->spec.jobClass == job.spec.jobClass;
        });
        if (same == largest.end())
            largest.push_back({&job, 0});
        else if (job.spec.each.cpus > same->job->spec.each.cpus)
            same->job = &job;
    }
    return largest;
}

void Placement::countSpare(Rivals& rivals, const Openings& openings,
                           const ClusterState& clusterState, std::uint32_t partition) const {
    for (auto& rival : rivals) {
        const auto& spec = rival.job->spec;
        std::uint32_t needed = 0;
        std::uint32_t largest = 0;
        for (const auto& [id, job] : clusterState.jobs) {
            if (job.spec.jobClass != spec.jobClass || !clusterState.schedulable(job)) continue;
            // As much of a job as comes to one partition together.
            largest = std::max(largest, std::min(job.spec.tasks, job.sliceSize));
            for (const auto& slice : job.slices)
                if (slice.partition == partition) needed += slice.waiting();
        }
        needed += largest;
        std::uint32_t places = 0;
        for (const auto& kind : openings) {
            if (!typeAllowed(spec, *kind.type, kind.zone, kind.spot)) continue;
            for (const auto& opening : kind.machines)
                places += fitsIn(*rival.job, opening.open, spec.tasks);
        }
        rival.spare = places > needed ? places - needed : 0;
    }
}

bool Placement::mayLosePlaces(const Rival& rival, const Job& job) {
    return rival.job->spec.jobClass != job.spec.jobClass && rival.job->priority <= job.priority &&
           !rival.job->spec.each.fits(job.spec.each);
}

std::uint32_t Placement::placesClosed(const Rival& rival, const MachineType& type,
                                      const std::string& zone, bool spot, const Resources& free,
                                      const Job& job) {
    const auto& spec = rival.job->spec;
    if (!mayLosePlaces(rival, job) || !spec.each.fits(free) || !typeAllowed(spec, type, zone, spot))
        return 0;
    Resources after = free;
    after -= job.spec.each;
    return fitsIn(*rival.job, free, spec.tasks) - fitsIn(*rival.job, after, spec.tasks);
}

Placement::ClosedPlaces Placement::placesClosed(const Rivals& rivals, const MachineType& type,
                                                const std::string& zone, bool spot,
                                                const Resources& free, const Job& job) {
    // Small tasks spread over large machines left no room for a large one on any of them.
    ClosedPlaces closed;
    for (const auto& rival : rivals) {
        const auto count = placesClosed(rival, type, zone, spot, free, job);
        closed.all += count;
        const auto& spec = rival.job->spec;
        if (count > rival.spare && spec.team != job.spec.team && rival.job->priority < job.priority)
            closed.ofHosts += count;
    }
    return closed;
}

std::uint32_t Placement::guestAllowance(const Job& job, std::uint32_t partition) const {
    if (context_.timers.wallNow() - job.readySince < guestPatience) return 0;
    std::size_t claimed = 0;
    for (const auto& slice : job.slices)
        if (slice.partition == partition) claimed += slice.claims.size();
    return static_cast<std::uint32_t>(guestTasks - std::min(guestTasks, claimed));
}

Placement::Opening* Placement::choose(ClusterState& clusterState, Openings& openings,
                                      const Job& job, const Rivals& rivals, const ZoneUse& zoneUse,
                                      bool yields) const {
    Opening* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (auto& kind : openings) {
        if (!kindAllowed(job, kind, zoneUse)) continue;
        for (auto& opening : kind.machines) {
            if (!job.spec.each.fits(opening.free) || !job.spec.each.fits(roomOn(opening, job)))
                continue;
            const auto closed =
                placesClosed(rivals, *kind.type, kind.zone, kind.spot, opening.free, job);
            if (yields && closed.ofHosts > 0) continue;
            const double value = cost(clusterState, job, *opening.machine, *kind.type) +
                                 closedPlaceSeconds * closed.all;
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
    const Seconds waited = context_.timers.wallNow() - job.readySince;
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

}  // namespace fawnwheel::coordination
