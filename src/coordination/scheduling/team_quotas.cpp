#include "coordination/scheduling/team_quotas.h"

#include <algorithm>
#include <cmath>

namespace fawnwheel::coordination {

namespace {

constexpr double unlimited = 1e12;
constexpr double quotaTolerance = 1e-6;

}  // namespace

storage::QuotaShare TeamQuotas::quotaShareOf(const ClusterState& clusterState,
                                             const config::Team& team,
                                             PartitionId partition) const {
    const auto partitions = static_cast<double>(context_.partitionCount());
    storage::QuotaShare equalShare{team.cpusMax / partitions, team.gpusMax / partitions};
    const auto recordedShares = clusterState.quotas.find(team.name);
    if (recordedShares == clusterState.quotas.end() || !recordedShares->second.contains(partition))
        return equalShare;
    storage::QuotaShare total;
    for (const auto& [number, recorded] : recordedShares->second) {
        total.cpus += recorded.cpus;
        total.gpus += recorded.gpus;
    }
    const auto& own = recordedShares->second.at(partition);
    // The recorded shares may belong to another limit or number of partitions. Using the smaller of
    // the recorded and the equal share keeps the total within the limit.
    const bool isCurrent = recordedShares->second.size() == context_.partitionCount() &&
                           std::abs(total.cpus - team.cpusMax) < quotaTolerance &&
                           std::abs(total.gpus - team.gpusMax) < quotaTolerance;
    return isCurrent ? own
                     : storage::QuotaShare{std::min(equalShare.cpus, own.cpus),
                                           std::min(equalShare.gpus, own.gpus)};
}

Resources TeamQuotas::remainingQuota(ClusterState& clusterState, const std::string& name,
                                     PartitionId partition) const {
    Resources left{unlimited, unlimited, unlimited};
    const auto* team = context_.findTeam(name);
    if (team == nullptr) return left;
    const auto used = clusterState.usedBy(name, partition);
    auto quota = quotaShareOf(clusterState, *team, partition);
    if (const auto outgoing = clusterState.outgoingQuotas.find(name);
        outgoing != clusterState.outgoingQuotas.end() && outgoing->second.partition == partition) {
        quota.cpus -= outgoing->second.quota.cpus;
        quota.gpus -= outgoing->second.quota.gpus;
    }
    if (team->cpusMax > 0) left.cpus = quota.cpus - used.cpus;
    if (team->gpusMax > 0) left.gpus = quota.gpus - used.gpus;
    return left;
}

bool TeamQuotas::withinGuarantee(const ClusterState& clusterState, const Job& job) const {
    const auto* team = context_.findTeam(job.spec.team);
    if (team == nullptr || (team->cpus <= 0 && team->gpus <= 0)) return false;
    Resources used = job.spec.taskResources;
    for (PartitionId partition = 0; partition < context_.partitionCount(); ++partition)
        used += clusterState.usedBy(job.spec.team, partition);
    return (team->cpus <= 0 || used.cpus <= team->cpus) &&
           (team->gpus <= 0 || used.gpus <= team->gpus);
}

}  // namespace fawnwheel::coordination
