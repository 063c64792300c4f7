#include "coordination/migration/rebalancer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

// A partition that has announced nothing for so many periods is given nothing.
constexpr double freshPeriods = 3.5;
constexpr std::size_t maxDemands = 16;  // of one partition, the most urgent
constexpr double thousandth = 0.001;
constexpr auto transferredFormat =
    "rebalancer: machine_transferred machine={} machines={} tasks={} from={} to={} done={}";
constexpr auto retryPause = 100ms;  // while records that go first are written
constexpr auto logInterval = 60s;
constexpr double silentHeartbeats = 2.5;  // no machine that has missed so many goes
constexpr std::uint32_t maxPlacesCounted = 64;

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
        [this] { round(); });
}

bool Rebalancer::usable() const {
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
        // Work that can be divided, or is a single task, goes to the machines: a migration takes
        // one change. With machines moved for it too, the arrays of best-effort jobs took them from
        // all other work and the changes from its records (docs/results.md).
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
            const auto maxPlaces = static_cast<std::uint32_t>(demand.tasks);
            const auto places =
                demand.shape.placesOn(machine->type, machine->zone, machine->spot, free, maxPlaces);
            demand.tasks -= places;
            if (places > 0) break;
        }
    }
    std::erase_if(demands, [](const rebalancing::Demand& demand) { return demand.tasks <= 0; });
}

void Rebalancer::round() {
    context_.timers.after(
        context_.jittered(toSteadyDuration(context_.operatorSettings.rebalancing.period)),
        [this] { round(); });
    planned_.clear();
    if (!usable()) return;
    const auto own = membership_.ledPartitions();
    std::erase_if(averages_, [&own](const auto& entry) {
        return std::find(own.begin(), own.end(), entry.first) == own.end();
    });
    for (const auto partition : own) announceDemand(partition);
    const auto input = collectInput();
    if (input.machineDemands.empty()) return;
    const auto plan =
        rebalancing::makePlan(input, context_.operatorSettings.rebalancing.solverSteps);
    logPlan(input, plan);
    for (const auto& transfer : plan.transfers) {
        const auto& supply = input.supplies[transfer.supply];
        const auto& machineDemand = input.machineDemands[transfer.machineDemand];
        if (membership_.isLeader(supply.partition))
            planned_.push_back({supply.partition,
                                machineDemand.partition,
                                supply,
                                machineDemand.demand,
                                transfer.machines,
                                {}});
    }
    const auto& tuning = context_.operatorSettings.rebalancing;
    rateLimiter_.fill(context_.now(), {tuning.transfersPerMinute / 60,
                                       context_.stateClient.writeRate() * tuning.fractionOfWrites});
    if (!carryingOut_) carryOut();
}

void Rebalancer::announceDemand(PartitionId partition) {
    const auto& tuning = context_.operatorSettings.rebalancing;
    const rebalancing::DemandThresholds thresholds{tuning.lowThreshold, tuning.highThreshold,
                                                   tuning.latestSampleWeight};
    auto& average = averages_.try_emplace(partition, thresholds).first->second;
    auto demands = demandsOf(unschedulable_[partition]);
    // What was provisioned for a gang has been counted as no longer lacking.
    const auto isComing = [now = context_.now()](const Machine& machine) {
        return (!machine.lastHeartbeat || !machine.acknowledged()) && now >= machine.reservedUntil;
    };
    subtractCapacity(*context_.clusterState.lock(), partition, isComing, demands);
    average.sample(demands);
    auto asked = average.requested();
    std::stable_sort(asked.begin(), asked.end(), [](const auto& one, const auto& other) {
        return one.urgency > other.urgency;
    });
    if (asked.size() > maxDemands) asked.resize(maxDemands);
    protocol::DemandUpdate message{partition, {}};
    for (const auto& demand : asked) message.demands.push_back(encode(demand));
    for (const auto& peer : context_.settings.peers)
        context_.network.sendFrame(peer.name,
                                   protocol::encodePeer({context_.settings.name, message}));
    demands_[partition] = {std::move(asked), context_.now()};
}

void Rebalancer::onDemand(const std::string& peer, const protocol::DemandUpdate& update) {
    if (!context_.operatorSettings.rebalancing.enabled ||
        update.partition >= context_.partitionCount())
        return;
    // Whoever is not the leader any more, or not yet, would ask for another's partition.
    if (context_.clusterState.lock()->partitions[update.partition].leader != peer) return;
    PartitionDemand demand{{}, context_.now()};
    for (const auto& entry : update.demands) {
        if (demand.demands.size() >= maxDemands) break;
        demand.demands.push_back(decode(entry));
    }
    demands_[update.partition] = std::move(demand);
}

bool Rebalancer::spare(const ClusterState& clusterState, const Machine& machine,
                       const rebalancing::Recipient& recipient) const {
    return machine.version != 0 && !machine.decommissioned && !machine.lender &&
           !machine.transferring && !machine.consolidating && !machine.interruptionAt &&
           !rebalancing::keptForOthers(clusterState, machine, recipient, context_.now()) &&
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
                           return spare(
                               clusterState, machine,
                               {wanted.partition, wanted.demand.urgency, wanted.demand.since});
                       });
}

bool Rebalancer::isUseful(const rebalancing::Supply& supply, const rebalancing::PlanInput& input) {
    return std::any_of(input.machineDemands.begin(), input.machineDemands.end(),
                       [&](const rebalancing::MachineDemand& wanted) {
                           return wanted.demand.shape.placesOn(supply.type, supply.zone,
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
    const auto fresh =
        toSteadyDuration(context_.operatorSettings.rebalancing.period * freshPeriods);
    for (const auto& [partition, demand] : demands_) {
        const auto record = clusterState->partitions.find(partition);
        if (record == clusterState->partitions.end() || context_.now() - demand.heard > fresh ||
            !clusterState->nodes.contains(record->second.leader))
            continue;
        input.zones[partition] = context_.settings.zoneOf(record->second.leader);
        // What the partition has got since it said so: two givers once served the same lack.
        auto lacking = demand.demands;
        const auto isNew = [heard = demand.heard](const Machine& machine) {
            return machine.knownSince > heard;
        };
        subtractCapacity(*clusterState, partition, isNew, lacking);
        for (auto& entry : lacking) input.machineDemands.push_back({partition, std::move(entry)});
    }
    if (input.machineDemands.empty()) return input;
    // Also what is given comes only from partitions that share.
    for (const auto& [partition, zone] : input.zones) addSupplies(*clusterState, partition, input);
    return input;
}

void Rebalancer::logPlan(const rebalancing::PlanInput& input,
                         const rebalancing::TransferPlan& plan) {
    const auto now = context_.now();
    if (plan.transfers.empty() || now - logged_ < logInterval) return;
    logged_ = now;
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

void Rebalancer::carryOut() {
    carryingOut_ = false;
    if (!usable()) return;
    bool waits = false;
    std::set<std::uint32_t> sent;
    for (auto& transfer : planned_) {
        if (transfer.machines == 0 || !membership_.isLeader(transfer.from) ||
            !rateLimiter_.allows())
            continue;
        // Allocations, ends and cancellations go first: the transaction pipeline rests only when
        // none is left.
        if (pipeline_.busy(transfer.from) || sent.contains(transfer.from)) {
            waits = true;
            continue;
        }
        if (transferSome(transfer)) sent.insert(transfer.from);
        waits = waits || transfer.machines > 0;
    }
    if (!waits) return;
    carryingOut_ = true;
    context_.timers.after(retryPause, [this] { carryOut(); });
}

std::vector<std::string> Rebalancer::candidates(const Transfer& transfer) {
    std::vector<const Machine*> found;
    auto clusterState = context_.clusterState.lock();
    const auto wanted =
        transfer.demand.shape.placesOn(transfer.kind.type, transfer.kind.zone, transfer.kind.spot,
                                       transfer.kind.free, maxPlacesCounted);
    for (const auto* machine : clusterState->machinesOf(transfer.from)) {
        const auto* type = context_.findMachineType(machine->type);
        if (type == nullptr || transfer.refused.contains(machine->id) ||
            !spare(*clusterState, *machine, recipientOf(transfer)) ||
            std::tie(machine->type, machine->zone, machine->spot) !=
                std::tie(transfer.kind.type, transfer.kind.zone, transfer.kind.spot) ||
            machine->allocations.empty() == transfer.kind.busy)
            continue;
        auto free = type->capacity;
        free -= machine->used;
        if (transfer.demand.shape.placesOn(machine->type, machine->zone, machine->spot, free,
                                           wanted) >= wanted)
            found.push_back(machine);
    }
    // Those whose tasks are few first: less changes hands with them.
    std::sort(found.begin(), found.end(), [](const Machine* one, const Machine* other) {
        return std::pair(one->allocations.size(), one->id) <
               std::pair(other->allocations.size(), other->id);
    });
    std::vector<std::string> names;
    names.reserve(found.size());
    for (const auto* machine : found) names.push_back(machine->id);
    return names;
}

bool Rebalancer::transferSome(Transfer& transfer) {
    const auto& tuning = context_.operatorSettings.rebalancing;
    const rebalancing::HandoverRules rules{
        transfer.from,
        recipientOf(transfer),
        context_.settings.maxTransactionWrites,
        context_.now(),
        toSteadyDuration(tuning.minTenure),
        toSteadyDuration(context_.settings.heartbeatInterval * silentHeartbeats),
        tuning.busyMachines};
    for (const auto& machine : candidates(transfer)) {
        transfer.refused.insert(machine);
        const auto plan = rebalancing::planHandover(*context_.clusterState.lock(), machine, rules);
        if (const auto* refusal = std::get_if<rebalancing::Refusal>(&plan)) {
            logRefusal(machine, *refusal);
            continue;
        }
        const auto& handover = std::get<rebalancing::Handover>(plan);
        const auto refusal = transfers_.give(
            transfer.from, transfer.to, handover,
            [this, machine, from = transfer.from, to = transfer.to, tasks = handover.tasks(),
             machines = handover.machines.size()](bool done) {
                spdlog::info(transferredFormat, machine, machines, tasks, from, to, done);
                rounds_.scheduleRound();
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
    // Nothing of it can go in this round.
    transfer.machines = 0;
    return false;
}

void Rebalancer::logRefusal(const std::string& machine, rebalancing::Refusal refusal) {
    spdlog::debug("rebalancer: transfer_refused machine={} reason=\"{}\"", machine,
                  rebalancing::toString(refusal));
}

}  // namespace fawnwheel::coordination
