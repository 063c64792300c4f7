#include "coordination/migration/machine_lending.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto unusedLoan = 5s;          // then it goes back
constexpr auto reservationForPeer = 4s;  // of a busy machine, until the next request
constexpr auto loanPatience = 20s;       // for a gang that others go before
constexpr auto pauseAfterReturn = 15s;  // long enough for those others to be migrated to the lender

}  // namespace

void MachineLending::requestLoans(PartitionId partition,
                                  const std::vector<UnschedulableWork>& unschedulable) {
    auto clusterState = context_.clusterState.lock();
    for (const auto& entry : unschedulable) {
        // In the queue's order one gang of a zone is served before the next.
        if (!entry.gang || entry.blockedByEarlierGang || entry.tasksWithoutFreeMachine == 0)
            continue;
        const Job* job = clusterState->job(entry.job);
        if (job == nullptr || job->partition != partition) continue;
        if (restUntil_.contains(entry.job) || !throttle_.tryAcquire(entry.job, context_.now()))
            continue;
        auto lenders = findLenders(*clusterState, partition, entry, *job);
        divideRequest(lenders, entry, *job);
        for (const auto& lender : lenders) {
            if (lender.requested == 0) continue;
            sendRequest(clusterState->partitions[lender.partition].leader,
                        {lender.partition, partition, entry.job, entry.zone, lender.requested});
        }
    }
}

std::vector<MachineLending::Lender> MachineLending::findLenders(ClusterState& clusterState,
                                                                PartitionId partition,
                                                                const UnschedulableWork& entry,
                                                                const Job& gang) const {
    std::vector<Lender> lenders;
    for (std::uint32_t other = 0; other < context_.partitionCount(); ++other) {
        if (other == partition ||
            !clusterState.nodes.contains(clusterState.partitions[other].leader))
            continue;
        Lender lender{other, 0, 0, 0};
        for (const auto* machine : clusterState.machinesOf(other)) {
            const auto* type = context_.findMachineType(machine->type);
            if (machine->decommissioned || machine->version == 0 || type == nullptr ||
                (!entry.zone.empty() && machine->zone != entry.zone) ||
                !Placement::typeAllowed(gang.spec, *type, machine->zone, machine->spot))
                continue;
            ++(machine->allocations.empty() ? lender.idle : lender.busy);
        }
        lenders.push_back(lender);
    }
    return lenders;
}

void MachineLending::divideRequest(std::vector<Lender>& lenders, const UnschedulableWork& entry,
                                   const Job& gang) const {
    // Some of what it lacks is of no use to it unless the rest can come free or be provisioned, but
    // asking costs little and unused loans go back. A busy machine kept here does not spare the
    // request: two partitions with an idle machine each once left gangs of two waiting for minutes
    // (largest_gang_before_queued_small_gangs).
    auto missing = entry.tasksWithoutFreeMachine;
    std::sort(lenders.begin(), lenders.end(),
              [](const Lender& a, const Lender& b) { return a.idle > b.idle; });
    for (auto& lender : lenders) {
        lender.requested = std::min(lender.idle, missing);
        missing -= lender.requested;
    }
    // Under a load that never leaves a machine idle, peers have to keep some as they come free: a
    // gang larger than its partition else never began (scenario
    // largest_gang_before_queued_small_gangs).
    missing = std::min(missing, entry.tasks);
    if (placement_.canProvision(gang, entry.zone)) return;
    std::sort(lenders.begin(), lenders.end(),
              [](const Lender& a, const Lender& b) { return a.busy > b.busy; });
    for (auto& lender : lenders) {
        const auto more = std::min(lender.busy, missing);
        lender.requested += more;
        missing -= more;
    }
}

void MachineLending::sendRequest(const std::string& leader, const protocol::LoanRequest& request) {
    if (leader == context_.settings.name)
        onLoanRequest(leader, request);
    else
        context_.network.sendFrame(leader, protocol::encodePeer({context_.settings.name, request}));
}

bool MachineLending::neededHere(ClusterState& clusterState, const Machine& machine,
                                const Job& gang) const {
    // Work that comes later may be passed over, also a later gang that gathers: of two gangs that
    // each hold half of what both need, the earlier one gets all, so that neither waits for ever.
    const auto* type = context_.findMachineType(machine.type);
    return std::any_of(clusterState.jobs.begin(), clusterState.jobs.end(), [&](const auto& entry) {
        const Job& job = entry.second;
        if (&job == &gang || !clusterState.schedulable(job) || job.partition != machine.partition ||
            job.allocatedTasks() + job.doneTasks() >= job.spec.tasks)
            return false;
        return Placement::typeAllowed(job.spec, *type, machine.zone, machine.spot) &&
               placement_.precedes(job, gang);
    });
}

bool MachineLending::isValid(ClusterState& clusterState, const std::string& peer,
                             const protocol::LoanRequest& request) {
    const Job* gang = clusterState.job(request.job);
    return gang != nullptr && !gang->cancelled && gang->partition == request.borrower &&
           !gang->hasAllocations() && request.borrower < context_.partitionCount() &&
           request.borrower != request.lender &&
           clusterState.partitions[request.borrower].leader == peer &&
           membership_.isLeader(request.lender) && membership_.isLeaseValid();
}

MachineLending::Lendable MachineLending::findLendable(ClusterState& clusterState,
                                                      const protocol::LoanRequest& request,
                                                      const Job& gang) const {
    Lendable lendable;
    const auto now = context_.now();
    for (auto* machine : clusterState.machinesOf(request.lender)) {
        const auto* type = context_.findMachineType(machine->type);
        if (!placement_.acceptsTasks(*machine) ||
            (!request.zone.empty() && machine->zone != request.zone) ||
            !Placement::typeAllowed(gang.spec, *type, machine->zone, machine->spot) ||
            neededHere(clusterState, *machine, gang))
            continue;
        if (!machine->allocations.empty()) {
            const Job* reserving = clusterState.job(machine->reservedFor);
            if (now >= machine->reservedUntil || machine->reservedFor == request.job ||
                (reserving != nullptr && placement_.precedes(gang, *reserving)))
                lendable.busy.push_back(machine);
        } else if (lendable.idle.size() <
                   std::min<std::size_t>(request.machines,
                                         context_.settings.maxTransactionWrites)) {
            lendable.idle.push_back(machine->id);
        }
    }
    return lendable;
}

void MachineLending::onLoanRequest(const std::string& peer, const protocol::LoanRequest& request) {
    Lendable lendable;
    {
        auto clusterState = context_.clusterState.lock();
        if (!isValid(*clusterState, peer, request)) return;
        const Job& gang = *clusterState->job(request.job);
        lendable = findLendable(*clusterState, request, gang);
        // Reserved ones first, so that they stay the same; then those with the least work.
        std::sort(lendable.busy.begin(), lendable.busy.end(),
                  [&](const Machine* a, const Machine* b) {
                      return std::tuple(a->reservedFor != request.job, a->used.cpus, a->id) <
                             std::tuple(b->reservedFor != request.job, b->used.cpus, b->id);
                  });
        const auto toReserve =
            std::min(request.machines - lendable.idle.size(), lendable.busy.size());
        for (std::size_t i = 0; i < toReserve; ++i)
            placement_.reserve(*lendable.busy[i], gang, 1, reservationForPeer);
    }
    if (lendable.idle.empty()) return;
    spdlog::info("lending: machines_lent job={} machines={} from={} to={}", request.job,
                 lendable.idle.size(), request.lender, request.borrower);
    transfers_.lend(request.lender, request.borrower, lendable.idle);
}

bool MachineLending::keepsOthersWaiting(ClusterState& clusterState, const Machine& machine) const {
    // A gang that can't get the rest of its machines once kept a borrowed one idle for minutes,
    // while work that goes before it waited and may not use a loan (partly_started_slice_migrates).
    const Job* gang = clusterState.job(machine.reservedFor);
    const auto* type = context_.findMachineType(machine.type);
    if (gang == nullptr || type == nullptr || context_.now() - machine.knownSince < loanPatience)
        return false;
    return std::any_of(clusterState.jobs.begin(), clusterState.jobs.end(), [&](const auto& entry) {
        const Job& job = entry.second;
        return job.spec.kind != protocol::JobKind::gang && clusterState.schedulable(job) &&
               std::any_of(job.slices.begin(), job.slices.end(),
                           [&](const Slice& slice) {
                               return slice.partition == machine.partition &&
                                      slice.waitingTasks() > 0;
                           }) &&
               Placement::typeAllowed(job.spec, *type, machine.zone, machine.spot) &&
               placement_.precedes(job, *gang);
    });
}

void MachineLending::returnIdleLoans(PartitionId partition) {
    const auto now = context_.now();
    std::erase_if(restUntil_, [now](const auto& entry) { return entry.second <= now; });
    std::map<std::uint32_t, std::vector<std::string>> back;
    {
        auto clusterState = context_.clusterState.lock();
        for (auto* machine : clusterState->machinesOf(partition)) {
            if (!machine->lender || machine->transferring || machine->decommissioned) continue;
            const bool reserved = now < machine->reservedUntil;
            const bool inTheWay = reserved && machine->allocations.empty() &&
                                  keepsOthersWaiting(*clusterState, *machine);
            if (inTheWay) restUntil_[machine->reservedFor] = now + pauseAfterReturn;
            if (!machine->allocations.empty() || (reserved && !inTheWay)) {
                machine->idleSince = now;
                continue;
            }
            auto& names = back[*machine->lender];
            if ((inTheWay || now - machine->idleSince > unusedLoan) &&
                names.size() < context_.settings.maxTransactionWrites)
                names.push_back(machine->id);
        }
    }
    for (const auto& [lender, names] : back)
        if (!names.empty()) transfers_.lend(partition, lender, names);
}

}  // namespace fawnwheel::coordination
