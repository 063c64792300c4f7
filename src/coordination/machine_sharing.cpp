#include "coordination/machine_sharing.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr double heardRounds =
    3.5;  // a partition that has said nothing for so long is given nothing
constexpr std::size_t mostDemands = 16;  // of one partition, the most urgent
constexpr double thousandth = 0.001;
constexpr auto retryPause = 100ms;  // while records that go first are written
constexpr auto logPeriod = 60s;
constexpr double silentHeartbeats = 2.5;  // no machine that has missed so many goes
constexpr std::uint32_t placesCounted = 64;

std::uint64_t toThousandths(double amount) {
    return static_cast<std::uint64_t>(std::llround(std::max(0.0, amount) / thousandth));
}

protocol::DemandEntry encode(const sharing::Demand& demand) {
    const auto& [each, types, zone, spot] = demand.shape;
    return {toThousandths(each.cpus),
            toThousandths(each.gpus),
            toThousandths(each.memory),
            types,
            zone,
            spot,
            static_cast<std::uint32_t>(demand.tasks),
            demand.whole,
            demand.urgency,
            demand.since};
}

sharing::Demand decode(const protocol::DemandEntry& entry) {
    const auto amount = [](std::uint64_t value) { return static_cast<double>(value) * thousandth; };
    return {{{amount(entry.cpus), amount(entry.gpus), amount(entry.memory)},
             entry.types,
             entry.zone,
             entry.spot},
            static_cast<double>(entry.tasks),
            entry.whole,
            std::min(entry.urgency, sharing::highestUrgency),
            entry.since};
}

sharing::TaskShape shapeOf(const protocol::JobSpec& spec, const std::string& zone) {
    sharing::TaskShape shape{spec.each, spec.types.value_or(std::vector<std::string>{}), zone,
                             spec.spot};
    std::sort(shape.types.begin(), shape.types.end());
    return shape;
}

}  // namespace

void MachineSharing::start() {
    if (!context_.tuning.sharing.enabled) return;
    context_.timers.after(context_.jittered(ticks(context_.tuning.sharing.period)),
                          [this] { round(); });
}

bool MachineSharing::usable() const {
    return membership_.leaseStands() &&
           context_.machineTransfersEnabled(*context_.clusterState.lock());
}

void MachineSharing::recordUnschedulable(std::uint32_t partition,
                                         const std::vector<UnschedulableWork>& unschedulable) {
    if (context_.tuning.sharing.enabled) unschedulable_[partition] = unschedulable;
}

std::vector<sharing::Demand> MachineSharing::demandsOf(
    const std::vector<UnschedulableWork>& unschedulable) const {
    std::vector<sharing::Demand> demands;
    auto clusterState = context_.clusterState.lock();
    for (const auto& entry : unschedulable) {
        const Job* job = clusterState->job(entry.job);
        const auto tasks = entry.gang ? entry.lacking : entry.tasks;
        if (job == nullptr || entry.overQuota || entry.waitsTurn || tasks == 0) continue;
        // Work that can be divided, or is a single task, goes to the machines: a push takes one
        // change. With machines moved for it too, the arrays of best-effort jobs took them from all
        // other work and the changes from its records (docs/results.md).
        if (!job->undivided() || job->spec.tasks < 2 || context_.isBestEffort(*job)) continue;
        const auto urgency =
            sharing::urgencyOf(job->priority, placement_.withinGuarantee(*clusterState, *job));
        const auto zone = entry.gang ? entry.zone : job->spec.zone.value_or(std::string());
        demands.push_back({shapeOf(job->spec, zone), static_cast<double>(tasks), entry.gang,
                           urgency, sharing::millisOf(job->submitted)});
    }
    return demands;
}

void MachineSharing::subtractCapacity(const ClusterState& clusterState, std::uint32_t partition,
                                      const std::function<bool(const Machine&)>& counts,
                                      std::vector<sharing::Demand>& demands) const {
    for (const auto* machine : clusterState.machinesOf(partition)) {
        const auto* type = context_.type(machine->type);
        if (type == nullptr || machine->retired || !counts(*machine)) continue;
        auto free = type->capacity;
        free -= machine->used;
        for (auto& demand : demands) {
            const auto most = static_cast<std::uint32_t>(demand.tasks);
            const auto places =
                demand.shape.placesOn(machine->type, machine->zone, machine->spot, free, most);
            demand.tasks -= places;
            if (places > 0) break;
        }
    }
    std::erase_if(demands, [](const sharing::Demand& demand) { return demand.tasks <= 0; });
}

void MachineSharing::round() {
    context_.timers.after(context_.jittered(ticks(context_.tuning.sharing.period)),
                          [this] { round(); });
    gifts_.clear();
    if (!usable()) return;
    const auto own = membership_.ledPartitions();
    std::erase_if(averages_, [&own](const auto& entry) {
        return std::find(own.begin(), own.end(), entry.first) == own.end();
    });
    for (const auto partition : own) announceDemand(partition);
    const auto input = collectInput();
    if (input.wants.empty()) return;
    const auto plan = sharing::makePlan(input, context_.tuning.sharing.solverSteps);
    logPlan(input, plan);
    for (const auto& move : plan.moves) {
        const auto& supply = input.supplies[move.supply];
        const auto& want = input.wants[move.want];
        if (membership_.isLeader(supply.partition))
            gifts_.push_back(
                {supply.partition, want.partition, supply, want.demand, move.machines, {}});
    }
    const auto& tuning = context_.tuning.sharing;
    budget_.fill(context_.now(), {tuning.movesPerMinute / 60,
                                  context_.state.writeRate() * tuning.fractionOfWrites});
    if (!carryingOut_) carryOut();
}

void MachineSharing::announceDemand(std::uint32_t partition) {
    const auto& tuning = context_.tuning.sharing;
    const sharing::DemandThresholds thresholds{tuning.low, tuning.high, tuning.weight};
    auto& average = averages_.try_emplace(partition, thresholds).first->second;
    auto demands = demandsOf(unschedulable_[partition]);
    // What was rented for a gang has been counted as no longer lacking.
    const auto isComing = [now = context_.now()](const Machine& machine) {
        return (!machine.lastHeartbeat || !machine.acknowledged()) && now >= machine.reservedUntil;
    };
    subtractCapacity(*context_.clusterState.lock(), partition, isComing, demands);
    average.sample(demands);
    auto asked = average.asked();
    std::stable_sort(asked.begin(), asked.end(), [](const auto& one, const auto& other) {
        return one.urgency > other.urgency;
    });
    if (asked.size() > mostDemands) asked.resize(mostDemands);
    protocol::DemandUpdate message{partition, {}};
    for (const auto& demand : asked) message.demands.push_back(encode(demand));
    for (const auto& peer : context_.settings.peers)
        context_.network.sendFrame(peer.name,
                                   protocol::encodePeer({context_.settings.name, message}));
    demands_[partition] = {std::move(asked), context_.now()};
}

void MachineSharing::onDemand(const std::string& peer, const protocol::DemandUpdate& update) {
    if (!context_.tuning.sharing.enabled || update.partition >= context_.partitionCount()) return;
    // Whoever is not the leader any more, or not yet, would ask for another's partition.
    if (context_.clusterState.lock()->partitions[update.partition].leader != peer) return;
    PartitionDemand demand{{}, context_.now()};
    for (const auto& entry : update.demands) {
        if (demand.demands.size() >= mostDemands) break;
        demand.demands.push_back(decode(entry));
    }
    demands_[update.partition] = std::move(demand);
}

bool MachineSharing::spare(const ClusterState& clusterState, const Machine& machine,
                           const sharing::Taker& taker) const {
    return machine.version != 0 && !machine.retired && !machine.lender && !machine.transferring &&
           !machine.emptying && !machine.interruptionAt &&
           !sharing::keptForOthers(clusterState, machine, taker, context_.now()) &&
           context_.now() - machine.known >= ticks(context_.tuning.sharing.minTenure) &&
           (context_.tuning.sharing.busyMachines || machine.allocations.empty());
}

sharing::Taker MachineSharing::takerOf(const Gift& gift) {
    return {gift.to, gift.demand.urgency, gift.demand.since};
}

void MachineSharing::addSupplies(const ClusterState& clusterState, std::uint32_t partition,
                                 sharing::PlanInput& input) const {
    const auto first = input.supplies.size();
    for (const auto* machine : clusterState.machinesOf(partition)) {
        const auto* type = context_.type(machine->type);
        if (type == nullptr || machine->retired) continue;
        const bool wanted =
            std::any_of(input.wants.begin(), input.wants.end(), [&](const sharing::Want& want) {
                return spare(clusterState, *machine,
                             {want.partition, want.demand.urgency, want.demand.since});
            });
        if (!wanted) continue;
        sharing::Supply supply{partition,
                               machine->type,
                               machine->zone,
                               machine->spot,
                               !machine->allocations.empty(),
                               type->capacity,
                               1};
        supply.free -= machine->used;
        const bool useful =
            std::any_of(input.wants.begin(), input.wants.end(), [&](const sharing::Want& want) {
                return want.demand.shape.placesOn(supply.type, supply.zone, supply.spot,
                                                  supply.free, 1) > 0;
            });
        if (!useful) continue;
        const auto same = std::find_if(
            input.supplies.begin() + static_cast<std::ptrdiff_t>(first), input.supplies.end(),
            [&](const sharing::Supply& other) {
                return std::tie(other.type, other.zone, other.spot, other.busy) ==
                           std::tie(supply.type, supply.zone, supply.spot, supply.busy) &&
                       other.free.fits(supply.free) && supply.free.fits(other.free);
            });
        if (same == input.supplies.end())
            input.supplies.push_back(std::move(supply));
        else
            ++same->machines;
    }
}

sharing::PlanInput MachineSharing::collectInput() const {
    sharing::PlanInput input;
    auto clusterState = context_.clusterState.lock();
    const auto fresh = ticks(context_.tuning.sharing.period * heardRounds);
    for (const auto& [partition, demand] : demands_) {
        const auto record = clusterState->partitions.find(partition);
        if (record == clusterState->partitions.end() || context_.now() - demand.heard > fresh ||
            !clusterState->nodes.contains(record->second.leader))
            continue;
        input.zones[partition] = context_.settings.zoneOf(record->second.leader);
        // What the partition has got since it said so: two givers once served the same lack.
        auto lacking = demand.demands;
        const auto isNew = [heard = demand.heard](const Machine& machine) {
            return machine.known > heard;
        };
        subtractCapacity(*clusterState, partition, isNew, lacking);
        for (auto& entry : lacking) input.wants.push_back({partition, std::move(entry)});
    }
    if (input.wants.empty()) return input;
    // Also what is given comes only from partitions that share.
    for (const auto& [partition, zone] : input.zones) addSupplies(*clusterState, partition, input);
    return input;
}

void MachineSharing::logPlan(const sharing::PlanInput& input, const sharing::SharePlan& plan) {
    const auto now = context_.now();
    if (plan.moves.empty() || now - logged_ < logPeriod) return;
    logged_ = now;
    std::map<std::uint32_t, std::int64_t> held;
    {
        auto clusterState = context_.clusterState.lock();
        for (std::uint32_t partition = 0; partition < context_.partitionCount(); ++partition)
            held[partition] = static_cast<std::int64_t>(clusterState->machinesOf(partition).size());
    }
    for (const auto& [partition, target] : sharing::targets(input, plan, held))
        spdlog::info("sharing: part {} holds {} machines, target {}{}", partition, held[partition],
                     target,
                     plan.method == sharing::PlanMethod::greedy ? ", planned greedily" : "");
}

void MachineSharing::carryOut() {
    carryingOut_ = false;
    if (!usable()) return;
    bool waits = false;
    std::set<std::uint32_t> sent;
    for (auto& gift : gifts_) {
        if (gift.machines == 0 || !membership_.isLeader(gift.from) || !budget_.allows()) continue;
        // Allocations, ends and cancellations go first: the transaction pipeline rests only when
        // none is left.
        if (pipeline_.busy(gift.from) || sent.contains(gift.from)) {
            waits = true;
            continue;
        }
        if (giveSome(gift)) sent.insert(gift.from);
        waits = waits || gift.machines > 0;
    }
    if (!waits) return;
    carryingOut_ = true;
    context_.timers.after(retryPause, [this] { carryOut(); });
}

std::vector<std::string> MachineSharing::candidates(const Gift& gift) {
    std::vector<const Machine*> found;
    auto clusterState = context_.clusterState.lock();
    const auto wanted = gift.demand.shape.placesOn(gift.kind.type, gift.kind.zone, gift.kind.spot,
                                                   gift.kind.free, placesCounted);
    for (const auto* machine : clusterState->machinesOf(gift.from)) {
        const auto* type = context_.type(machine->type);
        if (type == nullptr || gift.refused.contains(machine->id) ||
            !spare(*clusterState, *machine, takerOf(gift)) ||
            std::tie(machine->type, machine->zone, machine->spot) !=
                std::tie(gift.kind.type, gift.kind.zone, gift.kind.spot) ||
            machine->allocations.empty() == gift.kind.busy)
            continue;
        auto free = type->capacity;
        free -= machine->used;
        if (gift.demand.shape.placesOn(machine->type, machine->zone, machine->spot, free, wanted) >=
            wanted)
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

bool MachineSharing::giveSome(Gift& gift) {
    const auto& tuning = context_.tuning.sharing;
    const sharing::HandoverRules rules{
        gift.from,
        takerOf(gift),
        context_.settings.transactionChanges,
        context_.now(),
        ticks(tuning.minTenure),
        ticks(context_.settings.heartbeatInterval * silentHeartbeats),
        tuning.busyMachines};
    for (const auto& machine : candidates(gift)) {
        gift.refused.insert(machine);
        const auto plan = sharing::planHandover(*context_.clusterState.lock(), machine, rules);
        if (const auto* refusal = std::get_if<sharing::Refusal>(&plan)) {
            logRefusal(machine, *refusal);
            continue;
        }
        const auto& handover = std::get<sharing::Handover>(plan);
        const auto refusal = transfers_.give(
            gift.from, gift.to, handover,
            [this, machine, gift, tasks = handover.tasks(),
             machines = handover.machines.size()](bool given) {
                spdlog::info("sharing: machine {}{} with {} tasks, part {} to {}{}", machine,
                             machines > 1 ? " and others of its gang" : "", tasks, gift.from,
                             gift.to, given ? "" : ", not carried out");
                onChange();
            });
        if (refusal) {
            logRefusal(machine, *refusal);
            continue;
        }
        const auto moved = static_cast<std::uint32_t>(handover.machines.size());
        gift.machines -= std::min(gift.machines, moved);
        budget_.consume(moved, handover.writes);
        return true;
    }
    // Nothing of it can go in this round.
    gift.machines = 0;
    return false;
}

void MachineSharing::logRefusal(const std::string& machine, sharing::Refusal refusal) {
    spdlog::debug("sharing: machine {} stays, {}", machine, sharing::describe(refusal));
}

}  // namespace fawnwheel::coordination
