#include "coordination/scheduling/quota_exchange.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "storage/records.h"

namespace fawnwheel::coordination {

void QuotaExchange::requestQuota(PartitionId partition,
                                 const std::vector<UnschedulableWork>& unschedulable) {
    auto clusterState = context_.clusterState.lock();
    for (const auto& entry : unschedulable) {
        if (!entry.overQuota) continue;
        const Job* job = clusterState->job(entry.job);
        if (job == nullptr || !throttle_.tryAcquire(entry.job, context_.now())) continue;
        for (std::uint32_t other = 0; other < context_.partitionCount(); ++other) {
            const auto& leader = clusterState->partitions[other].leader;
            if (other == partition || !clusterState->nodes.contains(leader)) continue;
            const auto left = quotas_.remainingQuota(*clusterState, job->spec.team, other);
            if (left.cpus <= 0 && left.gpus <= 0) continue;
            const protocol::QuotaRequest request{other, partition, entry.job};
            if (leader == context_.settings.name)
                onQuotaRequest(leader, request);
            else
                context_.network.sendFrame(leader,
                                           protocol::encodePeer({context_.settings.name, request}));
        }
        // Quota is requested for one job per run, the first in queue order that is not throttled.
        // The other jobs request theirs in later runs.
        return;
    }
}

void QuotaExchange::onQuotaRequest(const std::string& peer, const protocol::QuotaRequest& request) {
    auto clusterState = context_.clusterState.lock();
    const Job* job = clusterState->job(request.job);
    const auto partitions = context_.partitionCount();
    if (job == nullptr || job->cancelled || request.lender == request.borrower ||
        request.lender >= partitions || request.borrower >= partitions ||
        clusterState->partitions[request.borrower].leader != peer ||
        !membership_.isLeader(request.lender) || !membership_.isLeaseValid())
        return;
    const auto* team = context_.findTeam(job->spec.team);
    if (team == nullptr || clusterState->outgoingQuotas.contains(team->name)) return;
    const auto amount = computeGrant(*clusterState, *job, *team, request);
    if (isNeededByLender(*clusterState, *job, request.lender) ||
        (amount.cpus <= 0 && amount.gpus <= 0))
        return;
    const auto transfer =
        beginTransfer(*clusterState, *team, request.lender, request.borrower, amount);
    if (!transfer) return;
    spdlog::debug(
        "quota: transfer_started team={} job={} cpus={} gpus={} from_partition={} "
        "to_partition={}",
        team->name, request.job, amount.cpus, amount.gpus, request.lender, request.borrower);
    pipeline_.commit(request.lender,
                     {{transfer->compare,
                       {storage::keys::partition(request.borrower),
                        clusterState->partitions[request.borrower].version}},
                      {transfer->change}},
                     [this, transfer = *transfer](CommitResult result, std::uint64_t revision) {
                         finishTransfer(*context_.clusterState.lock(), transfer, result, revision);
                     });
}

storage::QuotaShare QuotaExchange::computeGrant(ClusterState& clusterState, const Job& job,
                                                const config::Team& team,
                                                const protocol::QuotaRequest& request) const {
    const std::uint32_t tasks =
        job.spec.tasks - std::min(job.spec.tasks, job.doneTasks() + job.allocatedTasks());
    const auto borrowerRemaining =
        quotas_.remainingQuota(clusterState, team.name, request.borrower);
    const auto lenderRemaining = quotas_.remainingQuota(clusterState, team.name, request.lender);
    const auto grantAmount = [tasks](double perTask, double borrowerLeft, double lenderLeft) {
        return std::clamp(perTask * tasks - std::max(0.0, borrowerLeft), 0.0,
                          std::max(0.0, lenderLeft));
    };
    storage::QuotaShare amount;
    if (team.cpusMax > 0)
        amount.cpus =
            grantAmount(job.spec.taskResources.cpus, borrowerRemaining.cpus, lenderRemaining.cpus);
    if (team.gpusMax > 0)
        amount.gpus =
            grantAmount(job.spec.taskResources.gpus, borrowerRemaining.gpus, lenderRemaining.gpus);
    return amount;
}

bool QuotaExchange::isNeededByLender(const ClusterState& clusterState, const Job& job,
                                     std::uint32_t lender) const {
    return std::any_of(clusterState.jobs.begin(), clusterState.jobs.end(), [&](const auto& entry) {
        const Job& other = entry.second;
        return &other != &job && other.partition == lender && other.spec.team == job.spec.team &&
               clusterState.schedulable(other) &&
               other.allocatedTasks() + other.doneTasks() < other.spec.tasks &&
               queueOrder_.precedes(other, job);
    });
}

std::optional<QuotaExchange::QuotaTransfer> QuotaExchange::beginTransfer(
    ClusterState& clusterState, const config::Team& team, std::uint32_t from, std::uint32_t to,
    storage::QuotaShare amount) {
    if (clusterState.outgoingQuotas.contains(team.name)) return std::nullopt;
    std::map<std::uint32_t, storage::QuotaShare> newShares;
    for (PartitionId partition = 0; partition < context_.partitionCount(); ++partition)
        newShares[partition] = quotas_.quotaShareOf(clusterState, team, partition);
    newShares[from].cpus -= amount.cpus;
    newShares[from].gpus -= amount.gpus;
    newShares[to].cpus += amount.cpus;
    newShares[to].gpus += amount.gpus;
    clusterState.outgoingQuotas[team.name] = {from, amount};
    const auto key = storage::keys::quota(team.name);
    return QuotaTransfer{team.name,
                         {key, clusterState.quotaVersions[team.name]},
                         {key, storage::quotaValue(newShares), 0}};
}

void QuotaExchange::finishTransfer(ClusterState& clusterState, const QuotaTransfer& transfer,
                                   CommitResult result, std::uint64_t revision) {
    if (result == CommitResult::committed)
        storage::applyAnswer(clusterState, {transfer.change.key, transfer.change.value, revision},
                             context_.now());
    clusterState.outgoingQuotas.erase(transfer.team);
}

}  // namespace fawnwheel::coordination
