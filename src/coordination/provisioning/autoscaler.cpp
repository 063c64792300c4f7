// Renting: what kinds of machines are asked for, for which jobs, and what the cloud refused.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/provisioning/fleet.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto firstRefusalPause = 8s;
constexpr auto longestRefusalPause = 40s;
constexpr auto loansFirst = 2s;
constexpr auto refusalMemory = 30s;       // after a pause's end: there may be some again
constexpr double lateBoot = 2.0;          // no longer counted on
constexpr int maxProvisionedAtOnce = 50;  // what one call may ask for
constexpr int rentalTries = 3;

}  // namespace

std::optional<Fleet::Kind> Fleet::cheapest(const Job& job, std::uint32_t tasks,
                                           const std::string& inZone) const {
    std::optional<Kind> best;
    double bestPrice = 0;
    const auto now = context_.now();
    for (const auto& type : context_.catalog) {
        for (const auto& zone : type.zones) {
            if (!inZone.empty() && zone != inZone) continue;
            for (const bool spot : {true, false}) {
                if (spot && !context_.tuning.useSpot) continue;
                if (!typeAllowed(job.spec, type, zone, spot)) continue;
                const Kind kind{type.name, zone, spot};
                const auto refused = refused_.find(kind);
                if (refused != refused_.end() && now < refused->second.until) continue;
                const double fit = countThatFit(job, type.capacity, tasks);
                double price = (spot ? type.spotPrice : type.price) / std::max(1.0, fit);
                // Near the partition's own node, so that a cut between zones separates fewer of
                // them.
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

void Fleet::scaleOutFor(std::uint32_t partition,
                        const std::vector<UnschedulableWork>& unschedulable) {
    // Calls are few: none is queued behind others, and each rests on the answers before it.
    if (unschedulable.empty() || !membership_.isLeaseValid() || context_.cloud.waiting() > 0)
        return;
    const auto now = context_.now();
    struct Coming {
        Kind kind;
        Resources available;
    };
    std::vector<Coming> coming;
    std::map<Kind, ProvisioningRequest> wanted;
    auto clusterState = context_.clusterState.lock();
    for (const auto* machine : clusterState->machinesOf(partition)) {
        const auto* type = context_.type(machine->type);
        // Those that are up and not yet recorded or proved are as good as booting.
        const bool inUse =
            machine->lastHeartbeat && machine->version != 0 && machine->acknowledged();
        if (machine->decommissioned || inUse || type == nullptr ||
            now - machine->known > ticks(type->bootTime * lateBoot) + bootGrace)
            continue;
        coming.push_back({{machine->type, machine->zone, machine->spot}, type->capacity});
    }
    for (const auto& [kind, count] : inProgress_[partition])
        for (int i = 0; i < count; ++i)
            if (const auto* type = context_.type(kind.type))
                coming.push_back({kind, type->capacity});
    for (const auto& entry : unschedulable) {
        const Job* job = clusterState->job(entry.job);
        if (job == nullptr || entry.overQuota) continue;
        if (entry.gang) {
            requestForGang(entry, *job, wanted);
            continue;
        }
        for (std::uint32_t left = entry.tasks; left > 0; --left) {
            const auto fits = std::find_if(coming.begin(), coming.end(), [&](const Coming& c) {
                return typeAllowed(job->spec, *context_.type(c.kind.type), c.kind.zone,
                                   c.kind.spot) &&
                       job->spec.each.fits(c.available);
            });
            if (fits != coming.end()) {
                fits->available -= job->spec.each;
                continue;
            }
            const auto kind = cheapest(*job, left, {});
            // The answer to the last call tells whether there are more of this kind.
            if (!kind || asking(*kind) || wanted[*kind].count >= maxProvisionedAtOnce) break;
            ++wanted[*kind].count;
            coming.push_back({*kind, context_.type(kind->type)->capacity});
            coming.back().available -= job->spec.each;
        }
    }
    for (const auto& [kind, request] : wanted)
        if (request.count > 0) scaleOut(partition, kind, request);
}

void Fleet::requestForGang(const UnschedulableWork& entry, const Job& job,
                           std::map<Kind, ProvisioningRequest>& wanted) const {
    // What it lacks, in the zone where it gathers, and kept for it from the start: machines
    // provisioned task by task lay in several zones and went to other work as they came up. Peers
    // are asked for idle machines first.
    if (entry.tasks == 0 || provisioningFor_.contains(entry.job) ||
        context_.now() - job.assemblySince < loansFirst)
        return;
    const auto kind = cheapest(job, entry.tasks, entry.zone);
    if (!kind || asking(*kind)) return;
    const auto each = countThatFit(job, context_.type(kind->type)->capacity, entry.tasks);
    const auto machines =
        std::min(maxProvisionedAtOnce, static_cast<int>((entry.tasks + each - 1) / each));
    // Many gangs in one call: with a call for each, a morning's gangs took a minute to provision
    // for.
    auto& request = wanted[*kind];
    if (request.count + machines > maxProvisionedAtOnce) return;
    request.count += machines;
    request.gangs.emplace_back(entry.job, machines);
}

void Fleet::scaleOut(std::uint32_t partition, const Kind& kind,
                     const ProvisioningRequest& request) {
    for (const auto& [gang, machines] : request.gangs) provisioningFor_.insert(gang);
    inProgress_[partition][kind] += request.count;
    // Terms are given out once and the number grows, so no name is ever used again.
    const auto name = "r-" + context_.settings.name + "-" +
                      std::to_string(membership_.term(partition)) + "-" +
                      std::to_string(++provisioningRequests_);
    spdlog::debug("rental {}: {} {} in {}{}, {} gangs", name, request.count, kind.type, kind.zone,
                  kind.spot ? ", spot" : "", request.gangs.size());
    sendProvisioningRequest(partition, kind, request, name, rentalTries);
}

void Fleet::sendProvisioningRequest(std::uint32_t partition, const Kind& kind,
                                    const ProvisioningRequest& request, const std::string& name,
                                    int tries) {
    context_.cloud.provision(
        name, kind.type, kind.zone, kind.spot, request.count,
        [this, partition, kind, request, name, tries](protocol::ProvisioningResult result,
                                                      const std::vector<std::string>& machines) {
            if (result == protocol::ProvisioningResult::unknown && tries > 1)
                return sendProvisioningRequest(partition, kind, request, name, tries - 1);
            onProvisioned(partition, kind, request, machines);
        });
}

void Fleet::onProvisioned(std::uint32_t partition, const Kind& kind,
                          const ProvisioningRequest& request,
                          const std::vector<std::string>& machines) {
    inProgress_[partition][kind] -= request.count;
    rounds_.scheduleRound();
    auto clusterState = context_.clusterState.lock();
    const auto* type = context_.type(kind.type);
    auto next = machines.begin();
    for (const auto& [gang, count] : request.gangs) {
        provisioningFor_.erase(gang);
        const Job* job = clusterState->job(gang);
        for (int i = 0; i < count && next != machines.end(); ++i, ++next) {
            Machine* machine = ensureMachine(*next, kind.type, kind.zone, kind.spot, partition);
            if (machine == nullptr || job == nullptr || type == nullptr) continue;
            reserve(context_, *machine, *job, countThatFit(*job, type->capacity, job->spec.tasks),
                    ticks(type->bootTime * lateBoot) + bootGrace);
        }
    }
    for (; next != machines.end(); ++next)
        ensureMachine(*next, kind.type, kind.zone, kind.spot, partition);
    for (const auto& id : machines)
        if (clusterState->machine(id) != nullptr) write(recording_, partition, id);
    if (static_cast<int>(machines.size()) < request.count)
        recordRefusal(kind);
    else
        refused_.erase(kind);
}

bool Fleet::canProvision(const Job& job, const std::string& inZone) const {
    const auto now = context_.now();
    for (const auto& type : context_.catalog)
        for (const auto& zone : type.zones)
            for (const bool spot : {true, false}) {
                if ((!inZone.empty() && zone != inZone) || (spot && !context_.tuning.useSpot) ||
                    !typeAllowed(job.spec, type, zone, spot))
                    continue;
                const auto refused = refused_.find({type.name, zone, spot});
                if (refused == refused_.end() || now - refused->second.until > refusalMemory)
                    return true;
            }
    return false;
}

void Fleet::recordRefusal(const Kind& kind) {
    auto& refusal = refused_[kind];
    refusal.pause = std::clamp<Duration>(refusal.pause * 2, firstRefusalPause, longestRefusalPause);
    refusal.until = context_.now() + context_.jittered(refusal.pause);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(refusal.pause);
    const protocol::CapacityExhausted message{kind.type, kind.zone, kind.spot,
                                              static_cast<std::uint64_t>(millis.count())};
    for (const auto& peer : context_.settings.peers)
        context_.network.sendFrame(peer.name,
                                   protocol::encodePeer({context_.settings.name, message}));
}

void Fleet::onCapacityExhausted(const protocol::CapacityExhausted& message) {
    const auto pause = std::min<Duration>(
        std::chrono::milliseconds(std::min<std::uint64_t>(message.pauseMillis, 1'000'000)),
        longestRefusalPause);
    auto& refusal = refused_[{message.type, message.zone, message.spot}];
    refusal.pause = std::max(refusal.pause, pause);
    refusal.until = std::max(refusal.until, context_.now() + pause);
}

bool Fleet::asking(const Kind& kind) const {
    return std::any_of(inProgress_.begin(), inProgress_.end(), [&](const auto& entry) {
        const auto found = entry.second.find(kind);
        return found != entry.second.end() && found->second > 0;
    });
}

}  // namespace fawnwheel::coordination
