#include "coordination/migration/machine_lending.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto unusedLoanTimeout = 5s;        // before it is returned
constexpr auto peerReservationDuration = 4s;  // of a busy machine; the next request renews it
constexpr auto blockingLoanTimeout = 20s;     // before a loan that blocks earlier work is returned
constexpr auto loanBackoff = 15s;  // enough for the blocked work to migrate to the lender

}  // namespace

void MachineLending::requestLoans(PartitionId partition,
                                  const std::vector<UnschedulableWork>& unschedulable) {
    auto clusterState = context_.clusterState.lock();
    for (const auto& entry : unschedulable) {
        // Gangs of a zone are served one at a time, in queue order.
        if (!entry.gang || entry.blockedByEarlierGang || entry.tasksWithoutFreeMachine == 0)
            continue;
        const Job* job = clusterState->job(entry.job);
        if (job == nullptr || job->partition != partition) continue;
        if (loanBackoffUntil_.contains(entry.job) ||
            !throttle_.tryAcquire(entry.job, context_.now()))
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
            if (machine->decommissioned || !machine->recorded() || type == nullptr ||
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
    // Request idle machines even if they don't complete the gang: a request costs little, and
    // unused loans are returned. A busy local machine reserved for the gang does not reduce the
    // request: otherwise two partitions with an idle machine each left gangs of two tasks waiting
    // for minutes (scenario largest_gang_before_queued_small_gangs).
    auto missing = entry.tasksWithoutFreeMachine;
    std::sort(lenders.begin(), lenders.end(),
              [](const Lender& a, const Lender& b) { return a.idle > b.idle; });
    for (auto& lender : lenders) {
        lender.requested = std::min(lender.idle, missing);
        missing -= lender.requested;
    }
    // Request busy machines too, so that peers reserve them as they become free. Under a load that
    // never leaves a machine idle, a gang larger than its partition otherwise never started
    // (scenario largest_gang_before_queued_small_gangs).
    missing = std::min(missing, entry.tasks);
    if (placement_.canProvision(gang, entry.zone)) return;
    std::sort(lenders.begin(), lenders.end(),
              [](const Lender& a, const Lender& b) { return a.busy > b.busy; });
    for (auto& lender : lenders) {
        const auto busyRequested = std::min(lender.busy, missing);
        lender.requested += busyRequested;
        missing -= busyRequested;
    }
}

void MachineLending::sendRequest(const std::string& leader, const protocol::LoanRequest& request) {
    if (leader == context_.settings.name)
        onLoanRequest(leader, request);
    else
        context_.network.sendFrame(leader, protocol::encodePeer({context_.settings.name, request}));
}

bool MachineLending::neededByEarlierWork(ClusterState& clusterState, const Machine& machine,
                                         const Job& gang) const {
    // Only work that precedes the gang keeps the machine. A later gang that is being assembled
    // gives way: of two gangs that each hold half of the machines they need, the earlier one gets
    // all of them, so that they don't deadlock.
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
            neededByEarlierWork(clusterState, *machine, gang))
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
        // Machines already reserved for this gang first, so that renewals keep the same ones; then
        // those with the fewest CPUs in use.
        std::sort(lendable.busy.begin(), lendable.busy.end(),
                  [&](const Machine* a, const Machine* b) {
                      return std::tuple(a->reservedFor != request.job, a->used.cpus, a->id) <
                             std::tuple(b->reservedFor != request.job, b->used.cpus, b->id);
                  });
        const auto reservationCount =
            std::min(request.machines - lendable.idle.size(), lendable.busy.size());
        for (std::size_t i = 0; i < reservationCount; ++i)
            placement_.reserve(*lendable.busy[i], gang, 1, peerReservationDuration);
    }
    if (lendable.idle.empty()) return;
    spdlog::info("lending: machines_lent job={} machines={} from={} to={}", request.job,
                 lendable.idle.size(), request.lender, request.borrower);
    transfers_.lend(request.lender, request.borrower, lendable.idle);
}

bool MachineLending::blocksEarlierWork(ClusterState& clusterState, const Machine& machine) const {
    // Without this check, a gang that could not get the rest of its machines kept a borrowed one
    // idle for minutes, while work that precedes it waited and may not use a borrowed machine
    // (scenario partly_started_slice_migrates).
    const Job* gang = clusterState.job(machine.reservedFor);
    const auto* type = context_.findMachineType(machine.type);
    if (gang == nullptr || type == nullptr ||
        context_.now() - machine.knownSince < blockingLoanTimeout)
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
    std::erase_if(loanBackoffUntil_, [now](const auto& entry) { return entry.second <= now; });
    std::map<std::uint32_t, std::vector<std::string>> returns;
    {
        auto clusterState = context_.clusterState.lock();
        for (auto* machine : clusterState->machinesOf(partition)) {
            if (!machine->lender || machine->transferring || machine->decommissioned) continue;
            const bool reserved = now < machine->reservedUntil;
            const bool isBlocking = reserved && machine->allocations.empty() &&
                                    blocksEarlierWork(*clusterState, *machine);
            if (isBlocking) loanBackoffUntil_[machine->reservedFor] = now + loanBackoff;
            if (!machine->allocations.empty() || (reserved && !isBlocking)) {
                machine->idleSince = now;
                continue;
            }
            auto& names = returns[*machine->lender];
            if ((isBlocking || now - machine->idleSince > unusedLoanTimeout) &&
                names.size() < context_.settings.maxTransactionWrites)
                names.push_back(machine->id);
        }
    }
    for (const auto& [lender, names] : returns)
        if (!names.empty()) transfers_.lend(partition, lender, names);
}

}  // namespace fawnwheel::coordination
