// Which idle machines in the warm pool, and for how long: for classes that can't wait for a boot,
// and for what teams are guaranteed.
#include <algorithm>

#include "coordination/provisioning/fleet.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr Seconds leastCharge{60};
constexpr auto classMemory = 5min;

}  // namespace

void Fleet::recordClasses(ClusterState& clusterState) {
    // A class most of whose jobs have objectives that leave no time to boot a machine and fetch the
    // image needs machines that in the warm pool between its jobs.
    for (auto& [id, job] : clusterState.jobs) {
        const auto& spec = job.spec;
        auto& seen = classDemand_[spec.jobClass];
        seen.lastSeen = context_.now();
        // Each counts once: the few jobs of a quiet hour are no majority.
        if (std::exchange(job.classed, true)) continue;
        std::optional<Seconds> slack;
        const auto consider = [&slack](Seconds s) { slack = slack ? std::min(*slack, s) : s; };
        for (const auto& objective : context_.settings.objectives) {
            if (objective.jobClass != spec.jobClass) continue;
            if (objective.kind == config::ObjectiveKind::wait) consider(objective.within);
            if (objective.kind == config::ObjectiveKind::finished)
                consider(objective.within - spec.estimate);
        }
        if (spec.deadline) consider(*spec.deadline - spec.estimate);
        ++seen.jobs;
        bool inTime = !slack;
        for (const auto& type : context_.catalog) {
            if (!typeAllowed(spec, type, spec.zone.value_or(""), false)) continue;
            seen.types.insert(type.name);
            inTime = inTime || type.bootTime + Seconds(spec.imageSize / type.fetchRate) < *slack;
        }
        if (!inTime) ++seen.pressed;
    }
}

void Fleet::recordGuaranteed(const ClusterState& clusterState) {
    guaranteed_ = {};
    for (const auto& team : context_.settings.teams) {
        guaranteed_.cpus += team.cpus;
        guaranteed_.gpus += team.gpus;
    }
    upGpus_ = upCpus_ = 0;
    if (guaranteed_.cpus <= 0 && guaranteed_.gpus <= 0) return;
    for (const auto& [id, machine] : clusterState.machines) {
        const auto* type = context_.type(machine.type);
        if (machine.decommissioned || machine.version == 0 || type == nullptr) continue;
        upGpus_ += type->capacity.gpus;
        if (type->capacity.gpus <= 0) upCpus_ += type->capacity.cpus;
    }
}

bool Fleet::withinGuarantee(const Machine& machine) const {
    // What a team is guaranteed is kept at hand: it need not wait for others, nor for a boot.
    const auto* type = context_.type(machine.type);
    return type != nullptr &&
           (type->capacity.gpus > 0 ? guaranteed_.gpus > 0 && upGpus_ <= guaranteed_.gpus
                                    : guaranteed_.cpus > 0 && upCpus_ <= guaranteed_.cpus);
}

bool Fleet::isInWarmPool(const Machine& machine) const {
    return std::any_of(classDemand_.begin(), classDemand_.end(), [&](const auto& entry) {
        return entry.second.pressed * 2 > entry.second.jobs &&
               entry.second.types.contains(machine.type) &&
               context_.now() - entry.second.lastSeen < classMemory;
    });
}

bool Fleet::mayConsolidate(std::uint32_t partition) {
    if (queueOrder_.queueLength(partition) > 0) return false;
    auto clusterState = context_.clusterState.lock();
    const auto& machines = clusterState->machinesOf(partition);
    return std::none_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        return isInWarmPool(*machine) || withinGuarantee(*machine);
    });
}

Duration Fleet::idleLimit(const Machine& machine, const MachineType& type) const {
    // For a guarantee alone they stand twice as long: nobody wants idle ones for minutes.
    if (!isInWarmPool(machine))
        return ticks(context_.tuning.idleBeforeScaleIn * (withinGuarantee(machine) ? 2 : 1));
    // Renting again costs a boot, the least charge and fetching the images anew. Waiting for work
    // as long as that costs at most twice what the best choice in hindsight would have.
    Seconds again = type.bootTime + leastCharge;
    for (const auto& image : machine.images) again += Seconds(image.size / type.fetchRate);
    return ticks(std::max(context_.tuning.idleBeforeScaleIn, again));
}

}  // namespace fawnwheel::coordination
