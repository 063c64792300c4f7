// One controller: routes requests and messages to the modules of the coordination layer and lets
// them work in turn.
#pragma once

#include "coordination/api/admission.h"
#include "coordination/membership/worker_reachability.h"
#include "coordination/migration/machine_lending.h"
#include "coordination/migration/rebalancer.h"
#include "coordination/migration/work_migrator.h"
#include "coordination/provisioning/autoscaler.h"
#include "coordination/provisioning/machine_reconciler.h"
#include "coordination/replication/replica.h"
#include "coordination/round_scheduler.h"
#include "coordination/scheduling/completion_notifier.h"
#include "coordination/scheduling/consolidation.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/quota_exchange.h"

namespace fawnwheel::coordination {

class Controller : private RoundScheduler {
  public:
    Controller(const config::Settings& settings, const config::OperatorSettings& tuning,
               transport::Timers& timers, transport::Network& network, std::uint64_t seed);

    void start();
    void onRequest(const transport::HttpRequest& request, transport::HttpReply reply);
    void onFrame(const std::string& payload);

    [[nodiscard]] bool healthy() const { return membership_.healthy(); }
    // For audits: what this process knows.
    [[nodiscard]] storage::Synchronized<ClusterState>& clusterState() {
        return context_.clusterState;
    }
    [[nodiscard]] bool synced() const { return replica_.synced(); }

  private:
    void handleHeartbeat(const std::string& body, const transport::HttpReply& reply);
    void scheduleRound() override;
    void runRound();
    void runMaintenance();
    void stopCancelledJobs();
    void discardUnrecorded(std::uint32_t partition);

    Context context_;
    Replica replica_;
    WorkerReachability reachability_;
    TransactionPipeline pipeline_;
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
    Rebalancer rebalancer_;
    WorkMigrator migrator_;
    JobStatusReader statusReader_;
    Admission admission_;
    CompletionNotifier completionNotifier_;
    bool roundScheduled_ = false;
    Duration lastRoundDuration_{};
    std::set<std::string> stopping_;  // cancelled jobs whose stops have been sent
};

}  // namespace fawnwheel::coordination
