#include "coordination/migration/machine_lending.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto unusedLoan = 5s;         // then it goes back
constexpr auto keptForPeer = 4s;        // a busy machine, until the next ask
constexpr auto loanPatience = 20s;      // for a gang that others go before
constexpr auto pauseAfterReturn = 15s;  // long enough for those others to be migrated to the lender

}  // namespace

void MachineLending::requestLoans(std::uint32_t partition,
                                  const std::vector<UnschedulableWork>& unschedulable) {
    auto clusterState = context_.clusterState.lock();
    for (const auto& entry : unschedulable) {
        // In the queue's order one gang of a zone is served before the next.
        if (!entry.gang || entry.blockedByEarlierGang || entry.tasksWithoutFreeMachine == 0)
            continue;
        const Job* job = clusterState->job(entry.job);
        if (job == nullptr || job->partition != partition) continue;
        if (restUntil_.contains(entry.job) || !throttle_.isDue(entry.job, context_.now())) continue;
        struct Lender {
            std::uint32_t idle = 0;
            std::uint32_t busy = 0;  // of use to it once they are free
            std::uint32_t partition = 0;
            std::uint32_t asked = 0;
        };
        std::vector<Lender> lenders;
        for (std::uint32_t other = 0; other < context_.partitionCount(); ++other) {
            if (other == partition ||
                !clusterState->nodes.contains(clusterState->partitions[other].leader))
                continue;
            Lender lender{0, 0, other, 0};
            for (const auto* machine : clusterState->machinesOf(other)) {
                const auto* type = context_.type(machine->type);
                if (machine->decommissioned || machine->version == 0 || type == nullptr ||
                    (!entry.zone.empty() && machine->zone != entry.zone) ||
                    !Placement::typeAllowed(job->spec, *type, machine->zone, machine->spot))
                    continue;
                ++(machine->allocations.empty() ? lender.idle : lender.busy);
            }
            lenders.push_back(lender);
        }
        // Partition of what it lacks is of no use to it unless the rest can come free or be
        // provisioned, but asking costs little and unused loans go back. A busy machine kept here
        // does not spare the question: two partitions with an idle machine each once left gangs of
        // two waiting for minutes (largest_first).
        auto missing = entry.tasksWithoutFreeMachine;
        std::sort(lenders.begin(), lenders.end(),
                  [](const Lender& a, const Lender& b) { return a.idle > b.idle; });
        for (auto& lender : lenders) {
            lender.asked = std::min(lender.idle, missing);
            missing -= lender.asked;
        }
        // Under a load that never leaves a machine idle, peers have to keep some as they come free:
        // a gang larger than its partition else never began (scenario largest_first).
        missing = std::min(missing, entry.tasks);
        if (!placement_.canProvision(*job, entry.zone)) {
            std::sort(lenders.begin(), lenders.end(),
                      [](const Lender& a, const Lender& b) { return a.busy > b.busy; });
            for (auto& lender : lenders) {
                const auto more = std::min(lender.busy, missing);
                lender.asked += more;
                missing -= more;
            }
        }
        for (const auto& lender : lenders) {
            if (lender.asked == 0) continue;
            const protocol::LoanRequest request{lender.partition, partition, entry.job, entry.zone,
                                                lender.asked};
            const auto& leader = clusterState->partitions[lender.partition].leader;
            if (leader == context_.settings.name)
                onLoanRequest(leader, request);
            else
                context_.network.sendFrame(leader,
                                           protocol::encodePeer({context_.settings.name, request}));
        }
    }
}

bool MachineLending::neededHere(ClusterState& clusterState, const Machine& machine,
                                const Job& gang) const {
    // Work that comes later may be passed over, also a later gang that gathers: of two gangs that
    // each hold half of what both need, the earlier one gets all, so that neither waits for ever.
    const auto* type = context_.type(machine.type);
    return std::any_of(clusterState.jobs.begin(), clusterState.jobs.end(), [&](const auto& entry) {
        const Job& job = entry.second;
        if (&job == &gang || !clusterState.schedulable(job) || job.partition != machine.partition ||
            job.allocatedTasks() + job.doneTasks() >= job.spec.tasks)
            return false;
        return Placement::typeAllowed(job.spec, *type, machine.zone, machine.spot) &&
               placement_.before(job, gang);
    });
}

void MachineLending::onLoanRequest(const std::string& peer, const protocol::LoanRequest& request) {
    std::vector<std::string> lent;
    {
        auto clusterState = context_.clusterState.lock();
        const Job* gang = clusterState->job(request.job);
        if (gang == nullptr || gang->cancelled || gang->partition != request.borrower ||
            gang->anyAllocation() || request.borrower >= context_.partitionCount() ||
            request.borrower == request.lender ||
            clusterState->partitions[request.borrower].leader != peer ||
            !membership_.isLeader(request.lender) || !membership_.isLeaseValid())
            return;
        std::vector<Machine*> busy;
        const auto now = context_.now();
        for (auto* machine : clusterState->machinesOf(request.lender)) {
            const auto* type = context_.type(machine->type);
            if (!placement_.takesWork(*machine) ||
                (!request.zone.empty() && machine->zone != request.zone) ||
                !Placement::typeAllowed(gang->spec, *type, machine->zone, machine->spot) ||
                neededHere(*clusterState, *machine, *gang))
                continue;
            if (!machine->allocations.empty()) {
                const Job* keeps = clusterState->job(machine->reservedFor);
                if (now >= machine->reservedUntil || machine->reservedFor == request.job ||
                    (keeps != nullptr && placement_.before(*gang, *keeps)))
                    busy.push_back(machine);
            } else if (lent.size() < std::min<std::size_t>(request.machines,
                                                           context_.settings.transactionChanges)) {
                lent.push_back(machine->id);
            }
        }
        // Kept ones first, so that they stay the same; then those with the least work.
        std::sort(busy.begin(), busy.end(), [&](const Machine* a, const Machine* b) {
            return std::tuple(a->reservedFor != request.job, a->used.cpus, a->id) <
                   std::tuple(b->reservedFor != request.job, b->used.cpus, b->id);
        });
        const auto toKeep = std::min(request.machines - lent.size(), busy.size());
        for (std::size_t i = 0; i < toKeep; ++i)
            placement_.reserve(*busy[i], *gang, 1, keptForPeer);
    }
    if (lent.empty()) return;
    spdlog::info("loan: {} machines for gang {}, part {} to {}", lent.size(), request.job,
                 request.lender, request.borrower);
    transfers_.lend(request.lender, request.borrower, lent);
}

bool MachineLending::keepsOthersWaiting(ClusterState& clusterState, const Machine& machine) const {
    // A gang that can't get the rest of its machines once kept a borrowed one idle for minutes,
    // while work that goes before it waited and may not use a loan (slice_left_behind).
    const Job* gang = clusterState.job(machine.reservedFor);
    const auto* type = context_.type(machine.type);
    if (gang == nullptr || type == nullptr || context_.now() - machine.known < loanPatience)
        return false;
    return std::any_of(clusterState.jobs.begin(), clusterState.jobs.end(), [&](const auto& entry) {
        const Job& job = entry.second;
        return job.spec.kind != protocol::JobKind::gang && clusterState.schedulable(job) &&
               std::any_of(job.slices.begin(), job.slices.end(),
                           [&](const Slice& slice) {
                               return slice.partition == machine.partition && slice.waiting() > 0;
                           }) &&
               Placement::typeAllowed(job.spec, *type, machine.zone, machine.spot) &&
               placement_.before(job, *gang);
    });
}

void MachineLending::returnIdleLoans(std::uint32_t partition) {
    const auto now = context_.now();
    std::erase_if(restUntil_, [now](const auto& entry) { return entry.second <= now; });
    std::map<std::uint32_t, std::vector<std::string>> back;
    {
        auto clusterState = context_.clusterState.lock();
        for (auto* machine : clusterState->machinesOf(partition)) {
            if (!machine->lender || machine->transferring || machine->decommissioned) continue;
            const bool kept = now < machine->reservedUntil;
            const bool inTheWay =
                kept && machine->allocations.empty() && keepsOthersWaiting(*clusterState, *machine);
            if (inTheWay) restUntil_[machine->reservedFor] = now + pauseAfterReturn;
            if (!machine->allocations.empty() || (kept && !inTheWay)) {
                machine->idleSince = now;
                continue;
            }
            auto& names = back[*machine->lender];
            if ((inTheWay || now - machine->idleSince > unusedLoan) &&
                names.size() < context_.settings.transactionChanges)
                names.push_back(machine->id);
        }
    }
    for (const auto& [lender, names] : back)
        if (!names.empty()) transfers_.lend(partition, lender, names);
}

}  // namespace fawnwheel::coordination
