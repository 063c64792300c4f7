/// @file
/// Handles workers' heartbeats: applies them to the cluster state and chooses the commands of the
/// response.
#pragma once

#include "coordination/workers/command_sender.h"
#include "coordination/workers/heartbeat_validator.h"
#include "coordination/workers/machine_status_applier.h"
#include "coordination/workers/start_policy.h"
#include "coordination/workers/task_status_applier.h"
#include "coordination/workers/worker_expiry.h"

namespace fawnwheel::coordination {

/// Facade of the module: owns its parts and responds to heartbeats.
class HeartbeatHandler {
  public:
    HeartbeatHandler(Context& context, const Membership& membership, HeartbeatObserver& observer)
        : context_(context),
          validator_(context, membership, observer),
          machineStatus_(context, observer),
          startPolicy_(context, membership),
          taskStatus_(context, startPolicy_, observer),
          sender_(context, membership),
          expiry_(context, membership, observer) {}

    [[nodiscard]] HeartbeatResponse handleHeartbeat(const protocol::Heartbeat& heartbeat);

    /// Must be called when this process has become the partition's leader. Discards the observed
    /// state of the partition's machines, which heartbeats to this process have to establish again.
    void onPartitionAcquired(PartitionId partition) { expiry_.resetPartition(partition); }
    /// See `WorkerExpiry`.
    void expireSilentWorkers(PartitionId partition) { expiry_.expireSilentWorkers(partition); }
    void releaseAllocations(Machine& machine, std::string_view reason) {
        expiry_.releaseAllocations(machine, reason);
    }

    /// See `CommandSender`.
    void requestHeartbeats(const std::set<std::string>& machines) {
        sender_.requestHeartbeats(machines);
    }
    void redirectWorker(const std::string& machine) { sender_.redirectWorker(machine); }
    void stopJob(const std::string& job) { sender_.stopJob(job); }
    void sendPendingStops(const std::string& machine) { sender_.sendPendingStops(machine); }

  private:
    Context& context_;
    HeartbeatValidator validator_;
    MachineStatusApplier machineStatus_;
    StartPolicy startPolicy_;
    TaskStatusApplier taskStatus_;
    CommandSender sender_;
    WorkerExpiry expiry_;
};

}  // namespace fawnwheel::coordination
