#include "coordination/controller.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto roundDelay = 30ms;  // collects the changes of many events into one round
// The pause between rounds, as a multiple of the last round's duration.
constexpr int roundPauseFactor = 3;
// Upper bound of the round duration in that product; a longer round means that the process was
// suspended.
constexpr auto maxRoundDuration = 150ms;
constexpr auto maintenanceInterval = 500ms;

}  // namespace

Controller::Controller(const config::Settings& settings,
                       const config::OperatorSettings& operatorSettings, transport::Timers& timers,
                       transport::Network& network, std::uint64_t seed)
    : context_(settings, operatorSettings, timers, network, seed),
      pipeline_(context_),
      replica_(context_, pipeline_, *this),
      reachability_(context_, *this),
      membership_(context_, replica_, reachability_, pipeline_, *this),
      stateWriter_(context_, pipeline_, *this),
      queueOrder_(context_),
      teamQuotas_(context_),
      heartbeats_(context_, membership_, *this),
      machineRecords_(context_, pipeline_, *this),
      catalog_(context_, membership_, pipeline_),
      decommissioner_(context_, membership_, heartbeats_, machineRecords_),
      inventory_(context_, membership_, heartbeats_, machineRecords_, decommissioner_),
      warmPool_(context_, queueOrder_),
      reconciler_(context_, membership_, machineRecords_, catalog_, decommissioner_, inventory_,
                  warmPool_),
      autoscaler_(context_, membership_, machineRecords_, inventory_, *this),
      placement_(context_, membership_, queueOrder_, teamQuotas_, autoscaler_),
      preemption_(context_, queueOrder_),
      consolidation_(context_),
      quotas_(context_, membership_, pipeline_, teamQuotas_, queueOrder_),
      transfers_(context_, pipeline_, stateWriter_.sliceWriter(), quotas_, heartbeats_, *this),
      lending_(context_, membership_, placement_, transfers_),
      misplacedTasks_(context_, membership_, pipeline_, transfers_),
      rebalancer_(context_, membership_, pipeline_, placement_, transfers_, *this),
      migrator_(context_, membership_, pipeline_, stateWriter_, placement_),
      statusReader_(context_, replica_),
      admission_(context_, replica_, statusReader_, migrator_, *this),
      completionNotifier_(context_, membership_, *this),
      router_(replica_, membership_, reachability_, heartbeats_, admission_),
      peers_({membership_, migrator_, autoscaler_, lending_, quotas_, completionNotifier_,
              rebalancer_}) {
    context_.clusterState.lock()->dependencyGraph.setTurnaroundEstimator(
        [this](const protocol::JobSpec& spec) { return queueOrder_.estimatedTurnaround(spec); });
}

void Controller::onJobAccepted() {
    scheduleRound();
}

void Controller::onJobCancelled(std::function<void()> respond) {
    membership_.broadcastCancellations(std::move(respond));
    stopCancelledJobs();
}

void Controller::onReplicaChanged() {
    catalog_.restoreRecorded();
    membership_.reconcile();
    stopCancelledJobs();
    completionNotifier_.resolveDependencies();
    scheduleRound();
}

void Controller::onJobTerminal(const std::string& id, bool cancelled) {
    statusReader_.cacheTerminalStatus(id, cancelled);
    completionNotifier_.notifyDependents(id);
    jobsWithStopsSent_.erase(id);
}

void Controller::onDependentsCancelled() {
    membership_.broadcastCancellations([] {});
}

void Controller::onAllocationsDurable(const std::set<std::string>& machines) {
    heartbeats_.requestHeartbeats(machines);
    scheduleRound();
}

void Controller::start() {
    replica_.start();
    membership_.start();
    catalog_.start();
    inventory_.start();
    migrator_.start();
    rebalancer_.start();
    runMaintenance();
}

void Controller::scheduleRound() {
    if (roundScheduled_) return;
    roundScheduled_ = true;
    // The process has a small share of a core, and heartbeats, lease renewals and user requests
    // need most of it. The longer a round takes, the longer the next one is delayed.
    const auto pause = std::max<Duration>(roundDelay, lastRoundDuration_ * roundPauseFactor);
    context_.timers.after(pause, [this] {
        roundScheduled_ = false;
        const auto startedAt = context_.now();
        runRound();
        lastRoundDuration_ = std::min<Duration>(context_.now() - startedAt, maxRoundDuration);
    });
}

void Controller::runRound() {
    for (const auto partition : membership_.ledPartitions()) {
        // Without a valid lease or reachable workers no start would take effect, so waiting work is
        // left to the next leader.
        if (membership_.isLeaseValid() && !reachability_.isUnreachable()) {
            const auto unschedulable = placement_.run(partition);
            rebalancer_.recordUnschedulable(partition, unschedulable);
            for (const auto& machine : preemption_.preemptFor(partition, unschedulable))
                heartbeats_.sendPendingStops(machine);
            lending_.requestLoans(partition, unschedulable);
            quotas_.requestQuota(partition, unschedulable);
            autoscaler_.scaleOutFor(partition, unschedulable);
        }
        stateWriter_.flush(partition);
    }
}

void Controller::onPartitionAcquired(PartitionId partition) {
    heartbeats_.onPartitionAcquired(partition);
    reachability_.restartSilenceTimeout();
    scheduleRound();
}

void Controller::onReachabilityChanged() {
    membership_.onReachabilityChanged();
    scheduleRound();
}

void Controller::onPartitionLost(PartitionId partition) {
    // Conclusions that are not recorded must not survive the loss of a partition. Otherwise this
    // leader could see an allocation end without recording it, and a successor could start the task
    // again from the record. When the partition came back, this leader would remove the allocation:
    // the task would run untracked, and a second time elsewhere (scenario
    // unrecorded_completions_across_terms).
    if (pipeline_.busy(partition)) {
        // The outcome of the transactions in flight is unknown, so the records have to be read
        // again.
        pipeline_.abandon(partition);
        context_.clusterState.lock()->discardUnrecordedChanges(partition);
        return replica_.resync();
    }
    context_.clusterState.lock()->discardUnrecordedChanges(partition);
}

void Controller::stopCancelledJobs() {
    std::vector<std::string> newlyCancelled;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& [id, job] : clusterState->jobs)
            if (clusterState->knownCancelled(job) && job.hasAllocations() &&
                jobsWithStopsSent_.insert(id).second)
                newlyCancelled.push_back(id);
    }
    for (const auto& id : newlyCancelled) heartbeats_.stopJob(id);
}

void Controller::runMaintenance() {
    for (const auto partition : membership_.ledPartitions()) {
        if (membership_.isLeaseValid()) heartbeats_.expireSilentWorkers(partition);
        reconciler_.reconcileMachines(partition);
        if (membership_.isLeaseValid()) lending_.returnIdleLoans(partition);
        misplacedTasks_.transferToMachines(partition);
        if (membership_.isLeaseValid() && warmPool_.mayConsolidate(partition))
            if (const auto machine = consolidation_.consolidateOneMachine(partition))
                heartbeats_.sendPendingStops(*machine);
    }
    std::erase_if(jobsWithStopsSent_, [this](const std::string& id) {
        return context_.clusterState.lock()->job(id) == nullptr;
    });
    completionNotifier_.resolveDependencies();
    reachability_.checkReachability(membership_.ledPartitions());
    scheduleRound();
    context_.timers.after(maintenanceInterval, [this] { runMaintenance(); });
}

void Controller::onRequest(const transport::HttpRequest& request, transport::HttpReply reply) {
    router_.route(request, std::move(reply));
}

void Controller::onFrame(const std::string& frame) {
    peers_.dispatch(frame);
}

}  // namespace fawnwheel::coordination
