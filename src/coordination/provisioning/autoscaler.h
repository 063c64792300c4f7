/// @file
/// Provisions machines from the cloud for tasks that fit on no existing machine.
#pragma once

#include "coordination/provisioning/machine_inventory.h"
#include "coordination/scheduling/cloud_availability.h"
#include "coordination/scheduling/unschedulable_work.h"

namespace fawnwheel::coordination {

/// Chooses the cheapest machine pools, sends provisioning requests, and backs off from pools for
/// which the cloud has refused a request.
class Autoscaler : public CloudAvailability {
  public:
    /// Each response of the cloud schedules a round through `roundScheduler`.
    Autoscaler(Context& context, Membership& membership, MachineRecords& records,
               MachineInventory& inventory, RoundScheduler& roundScheduler)
        : context_(context),
          membership_(membership),
          records_(records),
          inventory_(inventory),
          roundScheduler_(roundScheduler) {}

    /// Requests machines for the tasks that fit neither on the partition's machines nor on machines
    /// that are booting or already requested.
    void scaleOutFor(PartitionId partition, const std::vector<UnschedulableWork>& unschedulable);
    [[nodiscard]] bool canProvision(const Job& job, const std::string& inZone) const override;
    /// Handles a peer's notice that the cloud refused it machines of a pool.
    void onCapacityExhausted(const protocol::CapacityExhausted& message);

  private:
    struct GangMachines {
        std::string gang;
        int count = 0;
    };
    // Machines requested in one call; those listed in `gangs` are reserved for them at once.
    struct ProvisioningRequest {
        int count = 0;
        std::vector<GangMachines> gangs;  // in queue order
    };
    using ProvisioningRequests = std::map<MachinePoolId, ProvisioningRequest>;
    // A provisioning request that the cloud has not answered.
    struct PendingRequest {
        std::string requestId;  // the same in every retry
        PartitionId partition = 0;
        MachinePoolId pool;
        ProvisioningRequest request;
    };
    // A machine that is booting or requested, with its capacity that no waiting task has claimed.
    struct IncomingMachine {
        MachinePoolId pool;
        Resources available;
    };
    struct Refusal {
        SteadyTime until{};
        Duration pause{};
    };

    [[nodiscard]] std::vector<IncomingMachine> incomingMachines(const ClusterState& clusterState,
                                                                PartitionId partition);
    void requestForArray(std::uint32_t tasks, const Job& job,
                         std::vector<IncomingMachine>& incoming,
                         ProvisioningRequests& requests) const;
    void requestForGang(const UnschedulableWork& entry, const Job& job,
                        ProvisioningRequests& requests) const;
    /// Hourly price per task of the job on a machine of the pool that runs at most `tasks` of its
    /// tasks. None if the job may not use the pool or the pool is in backoff after a refusal.
    [[nodiscard]] std::optional<double> pricePerTask(const Job& job, std::uint32_t tasks,
                                                     const MachineType& type,
                                                     const MachinePoolId& pool) const;
    // The cheapest pool for this number of the job's tasks; an empty `inZone` allows all zones.
    // None if every suitable pool is in backoff or no pool suits the job.
    [[nodiscard]] std::optional<MachinePoolId> cheapestPool(const Job& job, std::uint32_t tasks,
                                                            const std::string& inZone) const;
    void scaleOut(PartitionId partition, const MachinePoolId& pool,
                  const ProvisioningRequest& request);
    void send(const PendingRequest& pending, int attemptsLeft);
    void onProvisioned(const PendingRequest& pending, const std::vector<std::string>& machines);
    void recordRefusal(const MachinePoolId& pool);
    [[nodiscard]] bool isRequestInFlight(const MachinePoolId& pool) const;

    Context& context_;
    Membership& membership_;
    MachineRecords& records_;
    MachineInventory& inventory_;
    RoundScheduler& roundScheduler_;
    std::map<MachinePoolId, Refusal> refusals_;  // pools in backoff
    // Number of machines in unanswered requests.
    std::map<std::uint32_t, std::map<MachinePoolId, int>> requestedMachines_;  // by partition
    std::set<std::string> gangsInProvisioning_;                                // job ids
    std::uint64_t requestCount_ = 0;
};

}  // namespace fawnwheel::coordination
