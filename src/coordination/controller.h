/// @file
/// The controller of one node: owns all modules of the coordination layer and runs the scheduling
/// rounds.
#pragma once

#include "coordination/api/admission.h"
#include "coordination/api/http_router.h"
#include "coordination/membership/worker_reachability.h"
#include "coordination/migration/machine_lending.h"
#include "coordination/migration/misplaced_tasks.h"
#include "coordination/migration/rebalancer.h"
#include "coordination/migration/work_migrator.h"
#include "coordination/peer_dispatcher.h"
#include "coordination/provisioning/autoscaler.h"
#include "coordination/provisioning/machine_reconciler.h"
#include "coordination/replication/replica.h"
#include "coordination/round_scheduler.h"
#include "coordination/scheduling/completion_notifier.h"
#include "coordination/scheduling/consolidation.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/quota_exchange.h"

namespace fawnwheel::coordination {

/// Owns all modules, connects them as each other's observers, and runs them on the event loop's
/// thread.
///
/// For each partition that this node leads, a round places tasks, preempts, requests loans and
/// quota, scales out and writes the changes. Maintenance runs at a fixed interval and handles
/// expired workers, idle machines and loans that are no longer needed.
class Controller final : private RoundScheduler,
                         private ReplicaObserver,
                         private ReachabilityObserver,
                         private MembershipObserver,
                         private StateWriterObserver,
                         private HeartbeatObserver,
                         private MachineTransferObserver,
                         private AdmissionObserver {
  public:
    Controller(const config::Settings& settings, const config::OperatorSettings& operatorSettings,
               transport::Timers& timers, transport::Network& network, std::uint64_t seed);

    /// Starts all modules. Must be called once, on the event loop's thread.
    void start();
    /// Handles a request of a user, a worker or a health check. Calls `reply` exactly once, now or
    /// later.
    void onRequest(const transport::HttpRequest& request, transport::HttpReply reply);
    /// Handles a frame from a peer.
    void onFrame(const std::string& frame);

    /// Whether users should be sent to this node.
    [[nodiscard]] bool healthy() const { return membership_.healthy(); }
    /// The cluster state of this process, for audits in tests.
    [[nodiscard]] storage::Synchronized<ClusterState>& clusterState() {
        return context_.clusterState;
    }
    /// Whether the cluster state holds all active records.
    [[nodiscard]] bool synced() const { return replica_.synced(); }

  private:
    // RoundScheduler and the observers of the modules
    void scheduleRound() override;
    void onJobAccepted() override;
    void onJobCancelled(std::function<void()> respond) override;
    void onPartitionAcquired(PartitionId partition) override;
    void onPartitionLost(PartitionId partition) override;
    void onCancellationsLearned() override { stopCancelledJobs(); }
    void onReachabilityChanged() override;
    void onUnassignedHeartbeat(const protocol::Heartbeat& heartbeat) override {
        inventory_.onUnassignedHeartbeat(heartbeat);
    }
    void onWorkersChanged() override { scheduleRound(); }
    void onReplicaChanged() override;
    void onJobTerminal(const std::string& id, bool cancelled) override;
    void onDependentsCancelled() override;
    void onAllocationsDurable(const std::set<std::string>& machines) override;

    void runRound();
    void runMaintenance();
    /// Sends stops for cancelled jobs that have allocations, once per job.
    void stopCancelledJobs();

    Context context_;
    TransactionPipeline pipeline_;
    Replica replica_;
    WorkerReachability reachability_;
    Membership membership_;
    StateWriter stateWriter_;
    QueueOrder queueOrder_;
    TeamQuotas teamQuotas_;
    HeartbeatHandler heartbeats_;
    MachineRecords machineRecords_;
    MachineCatalog catalog_;
    Decommissioner decommissioner_;
    MachineInventory inventory_;
    WarmPool warmPool_;
    MachineReconciler reconciler_;
    Autoscaler autoscaler_;
    Placement placement_;
    Preemption preemption_;
    Consolidation consolidation_;
    QuotaExchange quotas_;
    MachineTransfers transfers_;
    MachineLending lending_;
    MisplacedTasks misplacedTasks_;
    Rebalancer rebalancer_;
    WorkMigrator migrator_;
    JobStatusReader statusReader_;
    Admission admission_;
    CompletionNotifier completionNotifier_;
    HttpRouter router_;
    PeerDispatcher peers_;
    bool roundScheduled_ = false;
    Duration lastRoundDuration_{};
    std::set<std::string> jobsWithStopsSent_;  // cancelled jobs
};

}  // namespace fawnwheel::coordination
