#include "coordination/provisioning/warm_pool.h"

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr Seconds minBilledTime{60};
constexpr auto classMemory = 5min;

}  // namespace

std::optional<Seconds> WarmPool::slackOf(const protocol::JobSpec& spec) const {
    std::optional<Seconds> slack;
    const auto consider = [&slack](Seconds s) { slack = slack ? std::min(*slack, s) : s; };
    for (const auto& objective : context_.settings.objectives) {
        if (objective.jobClass != spec.jobClass) continue;
        if (objective.kind == config::ObjectiveKind::wait) consider(objective.within);
        if (objective.kind == config::ObjectiveKind::finished)
            consider(objective.within - spec.estimate);
    }
    if (spec.deadline) consider(*spec.deadline - spec.estimate);
    return slack;
}

void WarmPool::recordClasses(ClusterState& clusterState) {
    // A class most of whose jobs have objectives that leave no time to boot a machine and fetch the
    // image needs machines that are kept up between its jobs.
    for (auto& [id, job] : clusterState.jobs) {
        const auto& spec = job.spec;
        auto& demand = classDemand_[spec.jobClass];
        demand.lastSeen = context_.now();
        // Each counts once: the few jobs of a quiet hour are no majority.
        if (std::exchange(job.countedInClass, true)) continue;
        const auto slack = slackOf(spec);
        ++demand.jobs;
        bool inTime = !slack;
        for (const auto& type : context_.catalog) {
            if (!typeAllowed(spec, type, spec.zone.value_or(""), false)) continue;
            demand.types.insert(type.name);
            inTime = inTime || type.bootTime + Seconds(spec.imageSize / type.fetchRate) < *slack;
        }
        if (!inTime) ++demand.urgentJobs;
    }
}

void WarmPool::recordGuaranteed(const ClusterState& clusterState) {
    guaranteed_ = {};
    for (const auto& team : context_.settings.teams) {
        guaranteed_.cpus += team.cpus;
        guaranteed_.gpus += team.gpus;
    }
    upGpus_ = upCpus_ = 0;
    if (guaranteed_.cpus <= 0 && guaranteed_.gpus <= 0) return;
    for (const auto& [id, machine] : clusterState.machines) {
        const auto* type = context_.findMachineType(machine.type);
        if (machine.decommissioned || machine.version == 0 || type == nullptr) continue;
        upGpus_ += type->capacity.gpus;
        if (type->capacity.gpus <= 0) upCpus_ += type->capacity.cpus;
    }
}

bool WarmPool::isWithinGuarantee(const Machine& machine) const {
    // What a team is guaranteed is kept up: it need not wait for others, nor for a boot.
    const auto* type = context_.findMachineType(machine.type);
    return type != nullptr &&
           (type->capacity.gpus > 0 ? guaranteed_.gpus > 0 && upGpus_ <= guaranteed_.gpus
                                    : guaranteed_.cpus > 0 && upCpus_ <= guaranteed_.cpus);
}

bool WarmPool::isInWarmPool(const Machine& machine) const {
    return std::any_of(classDemand_.begin(), classDemand_.end(), [&](const auto& entry) {
        return entry.second.urgentJobs * 2 > entry.second.jobs &&
               entry.second.types.contains(machine.type) &&
               context_.now() - entry.second.lastSeen < classMemory;
    });
}

bool WarmPool::mayConsolidate(PartitionId partition) {
    if (queueOrder_.queueLength(partition) > 0) return false;
    auto clusterState = context_.clusterState.lock();
    const auto& machines = clusterState->machinesOf(partition);
    return std::none_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        return isInWarmPool(*machine) || isWithinGuarantee(*machine);
    });
}

Duration WarmPool::idleLimit(const Machine& machine, const MachineType& type) const {
    // For a guarantee alone they stay twice as long: nobody wants idle ones for minutes.
    if (!isInWarmPool(machine))
        return toSteadyDuration(context_.operatorSettings.idleBeforeScaleIn *
                                (isWithinGuarantee(machine) ? 2 : 1));
    // Provisioning again costs a boot, the least time that is billed and fetching the images anew.
    // Waiting for work as long as that costs at most twice what the best choice in hindsight would
    // have.
    Seconds again = type.bootTime + minBilledTime;
    for (const auto& image : machine.images) again += Seconds(image.size / type.fetchRate);
    return toSteadyDuration(std::max(context_.operatorSettings.idleBeforeScaleIn, again));
}

}  // namespace fawnwheel::coordination
