#include "coordination/provisioning/warm_pool.h"

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr Seconds minBilledTime{60};
constexpr auto classRetention = 5min;

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

void WarmPool::updateClassDemand(ClusterState& clusterState) {
    // A job class needs machines that are kept between its jobs if the objectives of most of its
    // jobs leave no time to boot a machine and fetch the image.
    for (auto& [id, job] : clusterState.jobs) {
        const auto& spec = job.spec;
        auto& demand = classDemand_[spec.jobClass];
        demand.lastSeen = context_.now();
        // Count each job once, over the whole run: the few jobs of a quiet hour must not decide
        // the majority.
        if (std::exchange(job.countedInClass, true)) continue;
        const auto slack = slackOf(spec);
        ++demand.jobs;
        bool canWaitForBoot = !slack;
        for (const auto& type : context_.catalog) {
            if (!typeAllowed(spec, type, spec.zone.value_or(""), false)) continue;
            demand.types.insert(type.name);
            canWaitForBoot =
                canWaitForBoot || type.bootTime + Seconds(spec.imageSize / type.fetchRate) < *slack;
        }
        if (!canWaitForBoot) ++demand.urgentJobs;
    }
}

void WarmPool::updateGuarantees(const ClusterState& clusterState) {
    guaranteed_ = {};
    for (const auto& team : context_.settings.teams) {
        guaranteed_.cpus += team.cpus;
        guaranteed_.gpus += team.gpus;
    }
    upGpus_ = upCpus_ = 0;
    if (guaranteed_.cpus <= 0 && guaranteed_.gpus <= 0) return;
    for (const auto& [id, machine] : clusterState.machines) {
        const auto* type = context_.findMachineType(machine.type);
        if (machine.decommissioned || !machine.recorded() || type == nullptr) continue;
        upGpus_ += type->capacity.gpus;
        if (type->capacity.gpus <= 0) upCpus_ += type->capacity.cpus;
    }
}

bool WarmPool::isWithinGuarantee(const Machine& machine) const {
    // Machines for guaranteed quotas are kept, so that a team within its quota waits neither for
    // other teams' tasks nor for a boot.
    const auto* type = context_.findMachineType(machine.type);
    return type != nullptr &&
           (type->capacity.gpus > 0 ? guaranteed_.gpus > 0 && upGpus_ <= guaranteed_.gpus
                                    : guaranteed_.cpus > 0 && upCpus_ <= guaranteed_.cpus);
}

bool WarmPool::isInWarmPool(const Machine& machine) const {
    return std::any_of(classDemand_.begin(), classDemand_.end(), [&](const auto& entry) {
        return entry.second.urgentJobs * 2 > entry.second.jobs &&
               entry.second.types.contains(machine.type) &&
               context_.now() - entry.second.lastSeen < classRetention;
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
    // A guaranteed quota alone only doubles the limit, as idle machines should not stay for
    // minutes.
    if (!isInWarmPool(machine))
        return toSteadyDuration(context_.operatorSettings.idleBeforeScaleIn *
                                (isWithinGuarantee(machine) ? 2 : 1));
    // Provisioning the machine again costs its boot time, the minimum billed time and the time to
    // fetch its images. Keeping it idle for that long costs at most twice the best choice in
    // hindsight.
    Seconds reprovisionTime = type.bootTime + minBilledTime;
    for (const auto& image : machine.images)
        reprovisionTime += Seconds(image.size / type.fetchRate);
    return toSteadyDuration(std::max(context_.operatorSettings.idleBeforeScaleIn, reprovisionTime));
}

}  // namespace fawnwheel::coordination
