/// @file
/// Provisions machines from the cloud for work that finds no place.
#pragma once

#include "coordination/provisioning/machine_inventory.h"
#include "coordination/scheduling/cloud_availability.h"
#include "coordination/scheduling/unschedulable_work.h"

namespace fawnwheel::coordination {

/// Chooses the cheapest machine pools, sends provisioning requests, and remembers which pools the
/// cloud has refused.
class Autoscaler : public CloudAvailability {
  public:
    /// `rounds` is told of each answer of the cloud.
    Autoscaler(Context& context, Membership& membership, MachineRecords& records,
               MachineInventory& inventory, RoundScheduler& rounds)
        : context_(context),
          membership_(membership),
          records_(records),
          inventory_(inventory),
          rounds_(rounds) {}

    /// Requests machines for what neither the partition's machines nor those on their way can run.
    void scaleOutFor(PartitionId partition, const std::vector<UnschedulableWork>& unschedulable);
    [[nodiscard]] bool canProvision(const Job& job, const std::string& inZone) const override;
    /// A peer was refused machines of a pool.
    void onCapacityExhausted(const protocol::CapacityExhausted& message);

  private:
    struct GangMachines {
        std::string gang;
        int count = 0;
    };
    // What one call asks for: machines, of which some are reserved for gangs from the start.
    struct ProvisioningRequest {
        int count = 0;
        std::vector<GangMachines> gangs;  // in the queue's order
    };
    using ProvisioningRequests = std::map<MachinePoolId, ProvisioningRequest>;
    // A request on its way to the cloud.
    struct PendingRequest {
        std::string name;  // the same for all tries
        PartitionId partition = 0;
        MachinePoolId pool;
        ProvisioningRequest request;
    };
    // A machine that is booting or requested, with what is not yet counted on.
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
    /// What a task of the job would cost an hour on a machine of the pool with `tasks` of them at
    /// most; none: the job may not use the pool, or the cloud has lately refused it.
    [[nodiscard]] std::optional<double> pricePerTask(const Job& job, std::uint32_t tasks,
                                                     const MachineType& type,
                                                     const MachinePoolId& pool) const;
    // The cheapest pool for so many tasks of the job, of all zones if none is named. None: the
    // cloud has refused all, or none suits.
    [[nodiscard]] std::optional<MachinePoolId> cheapest(const Job& job, std::uint32_t tasks,
                                                        const std::string& inZone) const;
    void scaleOut(PartitionId partition, const MachinePoolId& pool,
                  const ProvisioningRequest& request);
    void send(const PendingRequest& pending, int tries);
    void onProvisioned(const PendingRequest& pending, const std::vector<std::string>& machines);
    void recordRefusal(const MachinePoolId& pool);
    [[nodiscard]] bool isRequestInFlight(const MachinePoolId& pool) const;

    Context& context_;
    Membership& membership_;
    MachineRecords& records_;
    MachineInventory& inventory_;
    RoundScheduler& rounds_;
    std::map<MachinePoolId, Refusal> refused_;  // no capacity: not before
    // Machines requested and not answered for.
    std::map<std::uint32_t, std::map<MachinePoolId, int>> inProgress_;  // by partition
    std::set<std::string> provisioningFor_;                             // gangs
    std::uint64_t requestCount_ = 0;
};

}  // namespace fawnwheel::coordination
