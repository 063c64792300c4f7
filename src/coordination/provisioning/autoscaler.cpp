#include "coordination/provisioning/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/scheduling/placement_constraints.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto minRefusalPause = 8s;
constexpr auto maxRefusalPause = 40s;
constexpr auto gangLoanGracePeriod = 2s;  // peers may lend idle machines to a gang first
constexpr auto refusalRetention = 30s;    // after the pause; then capacity may be back
// A machine that boots for longer than this factor times its stated boot time plus `bootGrace` no
// longer counts as incoming.
constexpr double bootTimeoutFactor = 2.0;
constexpr auto bootGrace = 20s;
constexpr int maxMachinesPerRequest = 50;
constexpr int maxAttempts = 3;
constexpr double otherZonePenalty = 1.02;  // factor on the price

Duration bootTimeout(const MachineType& type) {
    return toSteadyDuration(type.bootTime * bootTimeoutFactor) + bootGrace;
}

}  // namespace

std::optional<double> Autoscaler::pricePerTask(const Job& job, std::uint32_t tasks,
                                               const MachineType& type,
                                               const MachinePoolId& pool) const {
    if (pool.spot && !context_.operatorSettings.useSpot) return std::nullopt;
    if (!typeAllowed(job.spec, type, pool.zone, pool.spot)) return std::nullopt;
    const auto refused = refusals_.find(pool);
    if (refused != refusals_.end() && context_.now() < refused->second.until) return std::nullopt;
    const double fit = countFittingTasks(job, type.capacity, tasks);
    double price = (pool.spot ? type.spotPrice : type.price) / std::max(1.0, fit);
    // Prefer the node's own zone: a network partition between zones then separates fewer machines
    // from the leader.
    if (pool.zone != context_.settings.zone) price *= otherZonePenalty;
    return price;
}

std::optional<MachinePoolId> Autoscaler::cheapestPool(const Job& job, std::uint32_t tasks,
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
        // A machine that is up but not yet recorded or acknowledged takes no tasks yet, so it
        // counts as booting.
        const bool inUse = machine->lastHeartbeat && machine->recorded() && machine->acknowledged();
        if (machine->decommissioned || inUse || type == nullptr ||
            now - machine->knownSince > bootTimeout(*type))
            continue;
        incoming.push_back({{machine->type, machine->zone, machine->spot}, type->capacity});
    }
    for (const auto& [pool, count] : requestedMachines_[partition])
        for (int i = 0; i < count; ++i)
            if (const auto* type = context_.findMachineType(pool.type))
                incoming.push_back({pool, type->capacity});
    return incoming;
}

void Autoscaler::scaleOutFor(PartitionId partition,
                             const std::vector<UnschedulableWork>& unschedulable) {
    // Cloud calls are rate-limited: do not queue a request behind others, and decide each one on
    // the responses to the earlier ones.
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
        const auto machine =
            std::find_if(incoming.begin(), incoming.end(), [&](const IncomingMachine& candidate) {
                return typeAllowed(job.spec, *context_.findMachineType(candidate.pool.type),
                                   candidate.pool.zone, candidate.pool.spot) &&
                       job.spec.taskResources.fits(candidate.available);
            });
        if (machine != incoming.end()) {
            machine->available -= job.spec.taskResources;
            continue;
        }
        const auto pool = cheapestPool(job, left, {});
        // The response to the request in flight shows whether the pool has more machines.
        if (!pool || isRequestInFlight(*pool) || requests[*pool].count >= maxMachinesPerRequest)
            break;
        ++requests[*pool].count;
        incoming.push_back({*pool, context_.findMachineType(pool->type)->capacity});
        incoming.back().available -= job.spec.taskResources;
    }
}

void Autoscaler::requestForGang(const UnschedulableWork& entry, const Job& job,
                                ProvisioningRequests& requests) const {
    // Request all missing machines in the zone where the gang is assembled, and reserve them for it
    // at once: machines provisioned task by task were in several zones and were given to other work
    // as they came up. Peers are asked to lend idle machines first.
    if (entry.tasks == 0 || gangsInProvisioning_.contains(entry.job) ||
        context_.now() - job.assemblySince < gangLoanGracePeriod)
        return;
    const auto pool = cheapestPool(job, entry.tasks, entry.zone);
    if (!pool || isRequestInFlight(*pool)) return;
    const auto tasksPerMachine =
        countFittingTasks(job, context_.findMachineType(pool->type)->capacity, entry.tasks);
    const auto machines =
        std::min(maxMachinesPerRequest,
                 static_cast<int>((entry.tasks + tasksPerMachine - 1) / tasksPerMachine));
    // One call serves many gangs: with one call per gang, provisioning for a morning's gangs took a
    // minute.
    auto& request = requests[*pool];
    if (request.count + machines > maxMachinesPerRequest) return;
    request.count += machines;
    request.gangs.push_back({entry.job, machines});
}

void Autoscaler::scaleOut(PartitionId partition, const MachinePoolId& pool,
                          const ProvisioningRequest& request) {
    for (const auto& entry : request.gangs) gangsInProvisioning_.insert(entry.gang);
    requestedMachines_[partition][pool] += request.count;
    // No request id is ever reused: a term is assigned only once, and the counter only grows.
    const auto requestId = "r-" + context_.settings.name + "-" +
                           std::to_string(membership_.term(partition)) + "-" +
                           std::to_string(++requestCount_);
    spdlog::debug("autoscaler: scale_out request={} count={} type={} zone={} spot={} gangs={}",
                  requestId, request.count, pool.type, pool.zone, pool.spot, request.gangs.size());
    send({requestId, partition, pool, request}, maxAttempts);
}

void Autoscaler::send(const PendingRequest& pending, int attemptsLeft) {
    context_.cloudClient.provision(
        pending.requestId, pending.pool.type, pending.pool.zone, pending.pool.spot,
        pending.request.count,
        [this, pending, attemptsLeft](protocol::ProvisioningResult result,
                                      const std::vector<std::string>& machines) {
            if (result == protocol::ProvisioningResult::unknown && attemptsLeft > 1)
                return send(pending, attemptsLeft - 1);
            onProvisioned(pending, machines);
        });
}

void Autoscaler::onProvisioned(const PendingRequest& pending,
                               const std::vector<std::string>& machines) {
    const auto& [requestId, partition, pool, request] = pending;
    requestedMachines_[partition][pool] -= request.count;
    roundScheduler_.scheduleRound();
    auto clusterState = context_.clusterState.lock();
    const auto* type = context_.findMachineType(pool.type);
    auto next = machines.begin();
    for (const auto& [gang, count] : request.gangs) {
        gangsInProvisioning_.erase(gang);
        const Job* job = clusterState->job(gang);
        for (int i = 0; i < count && next != machines.end(); ++i, ++next) {
            Machine* machine = inventory_.addMachine(pool, *next, partition);
            if (machine == nullptr || job == nullptr || type == nullptr) continue;
            reserve(context_, *machine, *job,
                    countFittingTasks(*job, type->capacity, job->spec.tasks), bootTimeout(*type));
        }
    }
    for (; next != machines.end(); ++next) inventory_.addMachine(pool, *next, partition);
    for (const auto& id : machines)
        if (clusterState->machine(id) != nullptr)
            records_.write(MachineRecords::Change::record, partition, id);
    if (static_cast<int>(machines.size()) < request.count)
        recordRefusal(pool);
    else
        refusals_.erase(pool);
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
                const auto refused = refusals_.find({type.name, zone, spot});
                if (refused == refusals_.end() || now - refused->second.until > refusalRetention)
                    return true;
            }
    return false;
}

void Autoscaler::recordRefusal(const MachinePoolId& pool) {
    auto& refusal = refusals_[pool];
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
    auto& refusal = refusals_[{message.type, message.zone, message.spot}];
    refusal.pause = std::max(refusal.pause, pause);
    refusal.until = std::max(refusal.until, context_.now() + pause);
}

bool Autoscaler::isRequestInFlight(const MachinePoolId& pool) const {
    return std::any_of(requestedMachines_.begin(), requestedMachines_.end(),
                       [&](const auto& entry) {
                           const auto found = entry.second.find(pool);
                           return found != entry.second.end() && found->second > 0;
                       });
}

}  // namespace fawnwheel::coordination
