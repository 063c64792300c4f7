#include "coordination/provisioning/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/scheduling/placement_constraints.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto minRefusalPause = 8s;
constexpr auto maxRefusalPause = 40s;
constexpr auto loanHeadStart = 2s;        // before machines are requested for a gang
constexpr auto refusalMemory = 30s;       // after a pause's end: there may be some again
constexpr double maxBootFactor = 2.0;     // times the stated boot time: no longer counted on
constexpr auto bootGrace = 20s;           // beyond that
constexpr int maxProvisionedAtOnce = 50;  // what one call may ask for
constexpr int maxTries = 3;
constexpr double otherZonePenalty = 1.02;  // factor of the price

Duration bootDeadline(const MachineType& type) {
    return toSteadyDuration(type.bootTime * maxBootFactor) + bootGrace;
}

}  // namespace

std::optional<double> Autoscaler::pricePerTask(const Job& job, std::uint32_t tasks,
                                               const MachineType& type,
                                               const MachinePoolId& pool) const {
    if (pool.spot && !context_.operatorSettings.useSpot) return std::nullopt;
    if (!typeAllowed(job.spec, type, pool.zone, pool.spot)) return std::nullopt;
    const auto refused = refused_.find(pool);
    if (refused != refused_.end() && context_.now() < refused->second.until) return std::nullopt;
    const double fit = countFittingTasks(job, type.capacity, tasks);
    double price = (pool.spot ? type.spotPrice : type.price) / std::max(1.0, fit);
    // Near the partition's own node, so that a cut between zones separates fewer of them.
    if (pool.zone != context_.settings.zone) price *= otherZonePenalty;
    return price;
}

std::optional<MachinePoolId> Autoscaler::cheapest(const Job& job, std::uint32_t tasks,
                                                  const std::string& inZone) const {
    std::optional<MachinePoolId> best;
    double bestPrice = 0;
    for (const auto& type : context_.catalog) {
        for (const auto& zone : type.zones) {
            if (!inZone.empty() && zone != inZone) continue;
            for (const bool spot : {true, false}) {
                const MachinePoolId pool{type.name, zone, spot};
                const auto price = pricePerTask(job, tasks, type, pool);
                if (!price || (best && *price >= bestPrice)) continue;
                best = pool;
                bestPrice = *price;
            }
        }
    }
    return best;
}

std::vector<Autoscaler::IncomingMachine> Autoscaler::incomingMachines(
    const ClusterState& clusterState, PartitionId partition) {
    std::vector<IncomingMachine> incoming;
    const auto now = context_.now();
    for (const auto* machine : clusterState.machinesOf(partition)) {
        const auto* type = context_.findMachineType(machine->type);
        // Those that are up and not yet recorded or acknowledged are as good as booting.
        const bool inUse =
            machine->lastHeartbeat && machine->version != 0 && machine->acknowledged();
        if (machine->decommissioned || inUse || type == nullptr ||
            now - machine->knownSince > bootDeadline(*type))
            continue;
        incoming.push_back({{machine->type, machine->zone, machine->spot}, type->capacity});
    }
    for (const auto& [pool, count] : inProgress_[partition])
        for (int i = 0; i < count; ++i)
            if (const auto* type = context_.findMachineType(pool.type))
                incoming.push_back({pool, type->capacity});
    return incoming;
}

void Autoscaler::scaleOutFor(PartitionId partition,
                             const std::vector<UnschedulableWork>& unschedulable) {
    // Calls are few: none is queued behind others, and each rests on the answers before it.
    if (unschedulable.empty() || !membership_.isLeaseValid() || context_.cloudClient.waiting() > 0)
        return;
    auto clusterState = context_.clusterState.lock();
    auto incoming = incomingMachines(*clusterState, partition);
    ProvisioningRequests requests;
    for (const auto& entry : unschedulable) {
        const Job* job = clusterState->job(entry.job);
        if (job == nullptr || entry.overQuota) continue;
        if (entry.gang)
            requestForGang(entry, *job, requests);
        else
            requestForArray(entry.tasks, *job, incoming, requests);
    }
    for (const auto& [pool, request] : requests)
        if (request.count > 0) scaleOut(partition, pool, request);
}

void Autoscaler::requestForArray(std::uint32_t tasks, const Job& job,
                                 std::vector<IncomingMachine>& incoming,
                                 ProvisioningRequests& requests) const {
    for (std::uint32_t left = tasks; left > 0; --left) {
        const auto fits =
            std::find_if(incoming.begin(), incoming.end(), [&](const IncomingMachine& c) {
                return typeAllowed(job.spec, *context_.findMachineType(c.pool.type), c.pool.zone,
                                   c.pool.spot) &&
                       job.spec.taskResources.fits(c.available);
            });
        if (fits != incoming.end()) {
            fits->available -= job.spec.taskResources;
            continue;
        }
        const auto pool = cheapest(job, left, {});
        // The answer to the last call tells whether the pool has more machines.
        if (!pool || isRequestInFlight(*pool) || requests[*pool].count >= maxProvisionedAtOnce)
            break;
        ++requests[*pool].count;
        incoming.push_back({*pool, context_.findMachineType(pool->type)->capacity});
        incoming.back().available -= job.spec.taskResources;
    }
}

void Autoscaler::requestForGang(const UnschedulableWork& entry, const Job& job,
                                ProvisioningRequests& requests) const {
    // What it lacks, in the zone where it is assembled, and reserved for it from the start:
    // machines provisioned task by task lay in several zones and went to other work as they came
    // up. Peers are asked for idle machines first.
    if (entry.tasks == 0 || provisioningFor_.contains(entry.job) ||
        context_.now() - job.assemblySince < loanHeadStart)
        return;
    const auto pool = cheapest(job, entry.tasks, entry.zone);
    if (!pool || isRequestInFlight(*pool)) return;
    const auto each =
        countFittingTasks(job, context_.findMachineType(pool->type)->capacity, entry.tasks);
    const auto machines =
        std::min(maxProvisionedAtOnce, static_cast<int>((entry.tasks + each - 1) / each));
    // Many gangs in one call: with a call for each, a morning's gangs took a minute to provision
    // for.
    auto& request = requests[*pool];
    if (request.count + machines > maxProvisionedAtOnce) return;
    request.count += machines;
    request.gangs.push_back({entry.job, machines});
}

void Autoscaler::scaleOut(PartitionId partition, const MachinePoolId& pool,
                          const ProvisioningRequest& request) {
    for (const auto& entry : request.gangs) provisioningFor_.insert(entry.gang);
    inProgress_[partition][pool] += request.count;
    // Terms are given out once and the number grows, so no name is ever used again.
    const auto name = "r-" + context_.settings.name + "-" +
                      std::to_string(membership_.term(partition)) + "-" +
                      std::to_string(++requestCount_);
    spdlog::debug("autoscaler: scale_out request={} count={} type={} zone={} spot={} gangs={}",
                  name, request.count, pool.type, pool.zone, pool.spot, request.gangs.size());
    send({name, partition, pool, request}, maxTries);
}

void Autoscaler::send(const PendingRequest& pending, int tries) {
    context_.cloudClient.provision(
        pending.name, pending.pool.type, pending.pool.zone, pending.pool.spot,
        pending.request.count,
        [this, pending, tries](protocol::ProvisioningResult result,
                               const std::vector<std::string>& machines) {
            if (result == protocol::ProvisioningResult::unknown && tries > 1)
                return send(pending, tries - 1);
            onProvisioned(pending, machines);
        });
}

void Autoscaler::onProvisioned(const PendingRequest& pending,
                               const std::vector<std::string>& machines) {
    const auto& [name, partition, pool, request] = pending;
    inProgress_[partition][pool] -= request.count;
    rounds_.scheduleRound();
    auto clusterState = context_.clusterState.lock();
    const auto* type = context_.findMachineType(pool.type);
    auto next = machines.begin();
    for (const auto& [gang, count] : request.gangs) {
        provisioningFor_.erase(gang);
        const Job* job = clusterState->job(gang);
        for (int i = 0; i < count && next != machines.end(); ++i, ++next) {
            Machine* machine = inventory_.addMachine(pool, *next, partition);
            if (machine == nullptr || job == nullptr || type == nullptr) continue;
            reserve(context_, *machine, *job,
                    countFittingTasks(*job, type->capacity, job->spec.tasks), bootDeadline(*type));
        }
    }
    for (; next != machines.end(); ++next) inventory_.addMachine(pool, *next, partition);
    for (const auto& id : machines)
        if (clusterState->machine(id) != nullptr)
            records_.write(MachineRecords::Change::record, partition, id);
    if (static_cast<int>(machines.size()) < request.count)
        recordRefusal(pool);
    else
        refused_.erase(pool);
}

bool Autoscaler::canProvision(const Job& job, const std::string& inZone) const {
    const auto now = context_.now();
    for (const auto& type : context_.catalog)
        for (const auto& zone : type.zones)
            for (const bool spot : {true, false}) {
                if ((!inZone.empty() && zone != inZone) ||
                    (spot && !context_.operatorSettings.useSpot) ||
                    !typeAllowed(job.spec, type, zone, spot))
                    continue;
                const auto refused = refused_.find({type.name, zone, spot});
                if (refused == refused_.end() || now - refused->second.until > refusalMemory)
                    return true;
            }
    return false;
}

void Autoscaler::recordRefusal(const MachinePoolId& pool) {
    auto& refusal = refused_[pool];
    refusal.pause = std::clamp<Duration>(refusal.pause * 2, minRefusalPause, maxRefusalPause);
    refusal.until = context_.now() + context_.jittered(refusal.pause);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(refusal.pause);
    const protocol::CapacityExhausted message{pool.type, pool.zone, pool.spot,
                                              static_cast<std::uint64_t>(millis.count())};
    for (const auto& peer : context_.settings.peers)
        context_.network.sendFrame(peer.name,
                                   protocol::encodePeer({context_.settings.name, message}));
}

void Autoscaler::onCapacityExhausted(const protocol::CapacityExhausted& message) {
    const auto pause = std::min<Duration>(
        std::chrono::milliseconds(std::min<std::uint64_t>(message.pauseMillis, 1'000'000)),
        maxRefusalPause);
    auto& refusal = refused_[{message.type, message.zone, message.spot}];
    refusal.pause = std::max(refusal.pause, pause);
    refusal.until = std::max(refusal.until, context_.now() + pause);
}

bool Autoscaler::isRequestInFlight(const MachinePoolId& pool) const {
    return std::any_of(inProgress_.begin(), inProgress_.end(), [&](const auto& entry) {
        const auto found = entry.second.find(pool);
        return found != entry.second.end() && found->second > 0;
    });
}

}  // namespace fawnwheel::coordination
