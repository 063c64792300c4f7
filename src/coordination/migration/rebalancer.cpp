#include "coordination/migration/rebalancer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

// A partition that has not announced its demand for this many periods takes no part.
constexpr double maxDemandAgePeriods = 3.5;
constexpr std::size_t maxDemands = 16;  // per partition; the most urgent ones
constexpr double thousandth = 0.001;
constexpr auto transferredFormat =
    "rebalancer: machine_transferred machine={} machines={} tasks={} from={} to={} done={}";
constexpr auto retryPause = 100ms;  // while other records of the partition are in flight
constexpr auto logInterval = 60s;
constexpr double maxHeartbeatAgeIntervals = 2.5;  // a machine silent for longer is not moved
constexpr std::uint32_t maxTasksPerMachine = 64;

std::uint64_t toThousandths(double amount) {
    return static_cast<std::uint64_t>(std::llround(std::max(0.0, amount) / thousandth));
}

protocol::DemandEntry encode(const rebalancing::Demand& demand) {
    const auto& [each, types, zone, spot] = demand.shape;
    return {toThousandths(each.cpus),
            toThousandths(each.gpus),
            toThousandths(each.memory),
            types,
            zone,
            spot,
            static_cast<std::uint32_t>(demand.tasks),
            demand.indivisible,
            demand.urgency,
            demand.since};
}

rebalancing::Demand decode(const protocol::DemandEntry& entry) {
    const auto amount = [](std::uint64_t value) { return static_cast<double>(value) * thousandth; };
    return {{{amount(entry.cpus), amount(entry.gpus), amount(entry.memory)},
             entry.types,
             entry.zone,
             entry.spot},
            static_cast<double>(entry.tasks),
            entry.indivisible,
            std::min(entry.urgency, rebalancing::highestUrgency),
            entry.since};
}

rebalancing::TaskShape shapeOf(const protocol::JobSpec& spec, const std::string& zone) {
    rebalancing::TaskShape shape{spec.taskResources,
                                 spec.types.value_or(std::vector<std::string>{}), zone, spec.spot};
    std::sort(shape.types.begin(), shape.types.end());
    return shape;
}

}  // namespace

void Rebalancer::start() {
    if (!context_.operatorSettings.rebalancing.enabled) return;
    context_.timers.after(
        context_.jittered(toSteadyDuration(context_.operatorSettings.rebalancing.period)),
        [this] { rebalance(); });
}

bool Rebalancer::canRebalance() const {
    return membership_.isLeaseValid() &&
           context_.machineTransfersEnabled(*context_.clusterState.lock());
}

void Rebalancer::recordUnschedulable(PartitionId partition,
                                     const std::vector<UnschedulableWork>& unschedulable) {
    if (context_.operatorSettings.rebalancing.enabled) unschedulable_[partition] = unschedulable;
}

std::vector<rebalancing::Demand> Rebalancer::demandsOf(
    const std::vector<UnschedulableWork>& unschedulable) const {
    std::vector<rebalancing::Demand> demands;
    auto clusterState = context_.clusterState.lock();
    for (const auto& entry : unschedulable) {
        const Job* job = clusterState->job(entry.job);
        const auto tasks = entry.gang ? entry.tasksWithoutFreeMachine : entry.tasks;
        if (job == nullptr || entry.overQuota || entry.blockedByEarlierGang || tasks == 0) continue;
        // Divisible work and single tasks migrate to the machines instead, which takes one write.
        // When machines were transferred for such work too, the arrays of best-effort jobs took
        // machines and writes from all other work (docs/results.md).
        if (!job->requiresSingleLeader() || job->spec.tasks < 2 || context_.isBestEffort(*job))
            continue;
        const auto urgency =
            rebalancing::urgencyOf(job->priority, placement_.withinGuarantee(*clusterState, *job));
        const auto zone = entry.gang ? entry.zone : job->spec.zone.value_or(std::string());
        demands.push_back({shapeOf(job->spec, zone), static_cast<double>(tasks), entry.gang,
                           urgency, rebalancing::millisOf(job->submitted)});
    }
    return demands;
}

void Rebalancer::subtractCapacity(const ClusterState& clusterState, PartitionId partition,
                                  const std::function<bool(const Machine&)>& counts,
                                  std::vector<rebalancing::Demand>& demands) const {
    for (const auto* machine : clusterState.machinesOf(partition)) {
        const auto* type = context_.findMachineType(machine->type);
        if (type == nullptr || machine->decommissioned || !counts(*machine)) continue;
        auto free = type->capacity;
        free -= machine->used;
        for (auto& demand : demands) {
            const auto maxFitting = static_cast<std::uint32_t>(demand.tasks);
            const auto fitting = demand.shape.countFitting(machine->type, machine->zone,
                                                           machine->spot, free, maxFitting);
            demand.tasks -= fitting;
            if (fitting > 0) break;
        }
    }
    std::erase_if(demands, [](const rebalancing::Demand& demand) { return demand.tasks <= 0; });
}

void Rebalancer::rebalance() {
    context_.timers.after(
        context_.jittered(toSteadyDuration(context_.operatorSettings.rebalancing.period)),
        [this] { rebalance(); });
    plannedTransfers_.clear();
    if (!canRebalance()) return;
    const auto ledPartitions = membership_.ledPartitions();
    std::erase_if(averages_, [&ledPartitions](const auto& entry) {
        return std::find(ledPartitions.begin(), ledPartitions.end(), entry.first) ==
               ledPartitions.end();
    });
    for (const auto partition : ledPartitions) announceDemand(partition);
    const auto input = collectInput();
    if (input.machineDemands.empty()) return;
    const auto plan =
        rebalancing::makePlan(input, context_.operatorSettings.rebalancing.solverSteps);
    logPlan(input, plan);
    for (const auto& transfer : plan.transfers) {
        const auto& supply = input.supplies[transfer.supply];
        const auto& machineDemand = input.machineDemands[transfer.machineDemand];
        if (membership_.isLeader(supply.partition))
            plannedTransfers_.push_back({supply.partition,
                                         machineDemand.partition,
                                         supply,
                                         machineDemand.demand,
                                         transfer.machines,
                                         {}});
    }
    const auto& tuning = context_.operatorSettings.rebalancing;
    rateLimiter_.fill(context_.now(), {tuning.transfersPerMinute / 60,
                                       context_.stateClient.writeRate() * tuning.fractionOfWrites});
    if (!retryScheduled_) executePlan();
}

void Rebalancer::announceDemand(PartitionId partition) {
    const auto& tuning = context_.operatorSettings.rebalancing;
    const rebalancing::DemandThresholds thresholds{tuning.lowThreshold, tuning.highThreshold,
                                                   tuning.latestSampleWeight};
    auto& average = averages_.try_emplace(partition, thresholds).first->second;
    auto demands = demandsOf(unschedulable_[partition]);
    // Skip machines reserved for a gang: the gang's missing tasks already exclude them.
    const auto isIncoming = [now = context_.now()](const Machine& machine) {
        return (!machine.lastHeartbeat || !machine.acknowledged()) && now >= machine.reservedUntil;
    };
    subtractCapacity(*context_.clusterState.lock(), partition, isIncoming, demands);
    average.sample(demands);
    auto requested = average.requested();
    std::stable_sort(requested.begin(), requested.end(), [](const auto& one, const auto& other) {
        return one.urgency > other.urgency;
    });
    if (requested.size() > maxDemands) requested.resize(maxDemands);
    protocol::DemandUpdate message{partition, {}};
    for (const auto& demand : requested) message.demands.push_back(encode(demand));
    for (const auto& peer : context_.settings.peers)
        context_.network.sendFrame(peer.name,
                                   protocol::encodePeer({context_.settings.name, message}));
    demands_[partition] = {std::move(requested), context_.now()};
}

void Rebalancer::onDemand(const std::string& peer, const protocol::DemandUpdate& update) {
    if (!context_.operatorSettings.rebalancing.enabled ||
        update.partition >= context_.partitionCount())
        return;
    // Ignore a former leader, or one whose term this node has not seen yet.
    if (context_.clusterState.lock()->partitions[update.partition].leader != peer) return;
    PartitionDemand demand{{}, context_.now()};
    for (const auto& entry : update.demands) {
        if (demand.demands.size() >= maxDemands) break;
        demand.demands.push_back(decode(entry));
    }
    demands_[update.partition] = std::move(demand);
}

bool Rebalancer::isTransferable(const ClusterState& clusterState, const Machine& machine,
                                const rebalancing::Recipient& recipient) const {
    return machine.recorded() && !machine.decommissioned && !machine.lender &&
           !machine.transferring && !machine.consolidating && !machine.interruptionAt &&
           !rebalancing::isReservedForOtherWork(clusterState, machine, recipient, context_.now()) &&
           context_.now() - machine.knownSince >=
               toSteadyDuration(context_.operatorSettings.rebalancing.minTenure) &&
           (context_.operatorSettings.rebalancing.busyMachines || machine.allocations.empty());
}

rebalancing::Recipient Rebalancer::recipientOf(const Transfer& transfer) {
    return {transfer.to, transfer.demand.urgency, transfer.demand.since};
}

bool Rebalancer::isWanted(const ClusterState& clusterState, const Machine& machine,
                          const rebalancing::PlanInput& input) const {
    return std::any_of(input.machineDemands.begin(), input.machineDemands.end(),
                       [&](const rebalancing::MachineDemand& wanted) {
                           return isTransferable(
                               clusterState, machine,
                               {wanted.partition, wanted.demand.urgency, wanted.demand.since});
                       });
}

bool Rebalancer::isUseful(const rebalancing::Supply& supply, const rebalancing::PlanInput& input) {
    return std::any_of(input.machineDemands.begin(), input.machineDemands.end(),
                       [&](const rebalancing::MachineDemand& wanted) {
                           return wanted.demand.shape.countFitting(supply.type, supply.zone,
                                                                   supply.spot, supply.free, 1) > 0;
                       });
}

void Rebalancer::addSupplies(const ClusterState& clusterState, PartitionId partition,
                             rebalancing::PlanInput& input) const {
    const auto first = input.supplies.size();
    for (const auto* machine : clusterState.machinesOf(partition)) {
        const auto* type = context_.findMachineType(machine->type);
        if (type == nullptr || machine->decommissioned) continue;
        if (!isWanted(clusterState, *machine, input)) continue;
        rebalancing::Supply supply{partition,
                                   machine->type,
                                   machine->zone,
                                   machine->spot,
                                   !machine->allocations.empty(),
                                   type->capacity,
                                   1};
        supply.free -= machine->used;
        if (!isUseful(supply, input)) continue;
        const auto equal = std::find_if(
            input.supplies.begin() + static_cast<std::ptrdiff_t>(first), input.supplies.end(),
            [&](const rebalancing::Supply& other) {
                return std::tie(other.type, other.zone, other.spot, other.busy) ==
                           std::tie(supply.type, supply.zone, supply.spot, supply.busy) &&
                       other.free.fits(supply.free) && supply.free.fits(other.free);
            });
        if (equal == input.supplies.end())
            input.supplies.push_back(std::move(supply));
        else
            ++equal->machines;
    }
}

rebalancing::PlanInput Rebalancer::collectInput() const {
    rebalancing::PlanInput input;
    auto clusterState = context_.clusterState.lock();
    const auto maxDemandAge =
        toSteadyDuration(context_.operatorSettings.rebalancing.period * maxDemandAgePeriods);
    for (const auto& [partition, demand] : demands_) {
        const auto record = clusterState->partitions.find(partition);
        if (record == clusterState->partitions.end() ||
            context_.now() - demand.announcedAt > maxDemandAge ||
            !clusterState->nodes.contains(record->second.leader))
            continue;
        input.zones[partition] = context_.settings.zoneOf(record->second.leader);
        // Subtract machines that the partition has got since its announcement: otherwise two
        // partitions serve the same demand.
        auto lacking = demand.demands;
        const auto isNew = [announcedAt = demand.announcedAt](const Machine& machine) {
            return machine.knownSince > announcedAt;
        };
        subtractCapacity(*clusterState, partition, isNew, lacking);
        for (auto& entry : lacking) input.machineDemands.push_back({partition, std::move(entry)});
    }
    if (input.machineDemands.empty()) return input;
    // Supplies too come only from partitions that announce their demand.
    for (const auto& [partition, zone] : input.zones) addSupplies(*clusterState, partition, input);
    return input;
}

void Rebalancer::logPlan(const rebalancing::PlanInput& input,
                         const rebalancing::TransferPlan& plan) {
    const auto now = context_.now();
    if (plan.transfers.empty() || now - lastPlanLog_ < logInterval) return;
    lastPlanLog_ = now;
    std::map<std::uint32_t, std::int64_t> held;
    {
        auto clusterState = context_.clusterState.lock();
        for (PartitionId partition = 0; partition < context_.partitionCount(); ++partition)
            held[partition] = static_cast<std::int64_t>(clusterState->machinesOf(partition).size());
    }
    for (const auto& [partition, target] : rebalancing::targets(input, plan, held))
        spdlog::info("rebalancer: planned partition={} machines={} target={} method={}", partition,
                     held[partition], target,
                     plan.method == rebalancing::PlanMethod::greedy ? "greedy" : "flow");
}

void Rebalancer::executePlan() {
    retryScheduled_ = false;
    if (!canRebalance()) return;
    bool retryNeeded = false;
    std::set<std::uint32_t> sent;
    for (auto& transfer : plannedTransfers_) {
        if (transfer.machines == 0 || !membership_.isLeader(transfer.from) ||
            !rateLimiter_.allows())
            continue;
        // Allocations, completions and cancellations go first: the transaction pipeline is idle
        // only when none is left.
        if (pipeline_.busy(transfer.from) || sent.contains(transfer.from)) {
            retryNeeded = true;
            continue;
        }
        if (transferOne(transfer)) sent.insert(transfer.from);
        retryNeeded = retryNeeded || transfer.machines > 0;
    }
    if (!retryNeeded) return;
    retryScheduled_ = true;
    context_.timers.after(retryPause, [this] { executePlan(); });
}

std::vector<std::string> Rebalancer::candidates(const Transfer& transfer) {
    std::vector<const Machine*> found;
    auto clusterState = context_.clusterState.lock();
    const auto wanted = transfer.demand.shape.countFitting(
        transfer.supply.type, transfer.supply.zone, transfer.supply.spot, transfer.supply.free,
        maxTasksPerMachine);
    for (const auto* machine : clusterState->machinesOf(transfer.from)) {
        const auto* type = context_.findMachineType(machine->type);
        if (type == nullptr || transfer.attempted.contains(machine->id) ||
            !isTransferable(*clusterState, *machine, recipientOf(transfer)) ||
            std::tie(machine->type, machine->zone, machine->spot) !=
                std::tie(transfer.supply.type, transfer.supply.zone, transfer.supply.spot) ||
            machine->allocations.empty() == transfer.supply.busy)
            continue;
        auto free = type->capacity;
        free -= machine->used;
        if (transfer.demand.shape.countFitting(machine->type, machine->zone, machine->spot, free,
                                               wanted) >= wanted)
            found.push_back(machine);
    }
    // Machines with the fewest tasks first: fewer records change with them.
    std::sort(found.begin(), found.end(), [](const Machine* one, const Machine* other) {
        return std::pair(one->allocations.size(), one->id) <
               std::pair(other->allocations.size(), other->id);
    });
    std::vector<std::string> names;
    names.reserve(found.size());
    for (const auto* machine : found) names.push_back(machine->id);
    return names;
}

bool Rebalancer::transferOne(Transfer& transfer) {
    const auto& tuning = context_.operatorSettings.rebalancing;
    const rebalancing::HandoverRules rules{
        transfer.from,
        recipientOf(transfer),
        context_.settings.maxTransactionWrites,
        context_.now(),
        toSteadyDuration(tuning.minTenure),
        toSteadyDuration(context_.settings.heartbeatInterval * maxHeartbeatAgeIntervals),
        tuning.busyMachines};
    for (const auto& machine : candidates(transfer)) {
        transfer.attempted.insert(machine);
        const auto plan = rebalancing::planHandover(*context_.clusterState.lock(), machine, rules);
        if (const auto* refusal = std::get_if<rebalancing::Refusal>(&plan)) {
            logRefusal(machine, *refusal);
            continue;
        }
        const auto& handover = std::get<rebalancing::Handover>(plan);
        const auto refusal = transfers_.transferWithWork(
            transfer.from, transfer.to, handover,
            [this, machine, from = transfer.from, to = transfer.to, tasks = handover.tasks(),
             machines = handover.machines.size()](bool done) {
                spdlog::info(transferredFormat, machine, machines, tasks, from, to, done);
                roundScheduler_.scheduleRound();
            });
        if (refusal) {
            logRefusal(machine, *refusal);
            continue;
        }
        const auto moved = static_cast<std::uint32_t>(handover.machines.size());
        transfer.machines -= std::min(transfer.machines, moved);
        rateLimiter_.consume(moved, handover.writes);
        return true;
    }
    // No machine can be transferred in this period.
    transfer.machines = 0;
    return false;
}

void Rebalancer::logRefusal(const std::string& machine, rebalancing::Refusal refusal) {
    spdlog::debug("rebalancer: transfer_refused machine={} reason=\"{}\"", machine,
                  rebalancing::toString(refusal));
}

}  // namespace fawnwheel::coordination
