// The machines of the partitions this process owns: assigning, provisioning, giving back, and
// telling which are gone.
#pragma once

#include "coordination/round_scheduler.h"
#include "coordination/scheduling/cloud_availability.h"
#include "coordination/scheduling/queue_order.h"
#include "coordination/scheduling/unschedulable_work.h"
#include "coordination/workers/heartbeat_handler.h"

namespace fawnwheel::coordination {

class Fleet : public CloudAvailability {
  public:
    Fleet(Context& context, Membership& membership, TransactionPipeline& pipeline,
          QueueOrder& queueOrder, HeartbeatHandler& heartbeats, RoundScheduler& rounds)
        : context_(context),
          membership_(membership),
          pipeline_(pipeline),
          queueOrder_(queueOrder),
          heartbeats_(heartbeats),
          rounds_(rounds) {}

    void start();
    // Before the cloud has answered, what was recorded of its machine types serves.
    void adoptCatalog();
    // A worker heartbeats that has no record yet, and whose default partition is ours.
    void onUnassignedHeartbeat(const protocol::Heartbeat& heartbeat);
    void scaleOutFor(std::uint32_t partition, const std::vector<UnschedulableWork>& unschedulable);
    [[nodiscard]] bool canProvision(const Job& job, const std::string& zone) const override;
    void onCapacityExhausted(const protocol::CapacityExhausted& message);
    void recordClasses(ClusterState& clusterState);
    // Whether it may be worth consolidating this partition's machines: nothing waits, and those
    // that would be given back need not in the warm pool.
    [[nodiscard]] bool mayConsolidate(std::uint32_t partition);
    // Idle, never-booting, faulty and silent machines.
    void reconcileMachines(std::uint32_t partition);

  private:
    struct Kind {
        std::string type;
        std::string zone;
        bool spot = false;
        // The linter takes the operator for a comparison with zero.
        auto operator<=>(const Kind&) const = default;  // NOLINT(modernize-use-nullptr)
    };
    struct Found {
        protocol::CloudMachine machine;
        SteadyTime seen{};
    };

    void loadCatalog();
    void recordCatalog();
    void listMachines();
    void listPage(const std::string& after, SteadyTime asked,
                  std::vector<protocol::CloudMachine> sofar, int pages);
    void applyMachineList(SteadyTime asked, const std::vector<protocol::CloudMachine>& machines);
    Machine* ensureMachine(const std::string& id, const std::string& type, const std::string& zone,
                           bool spot, std::uint32_t partition);
    // Machines' records of one kind of change, written many at a time.
    struct RecordWrites {
        std::map<std::uint32_t, std::deque<std::string>> queues;  // by partition
        std::set<std::uint32_t> underWay;                         // partitions
        std::set<std::string> pending;                            // queued or under way
        std::function<std::optional<protocol::Json>(const Machine&)> value;
        std::function<void(Machine&, CommitResult, std::uint64_t revision)> settled;
    };
    void setUpWrites();
    void write(RecordWrites& writes, std::uint32_t partition, const std::string& id);
    void writeSome(RecordWrites& writes, std::uint32_t partition);
    void reconcileUnrecorded(std::uint32_t partition, Machine& machine, const MachineType& type);
    [[nodiscard]] bool wantedByAny(const ClusterState& clusterState, const Machine& machine,
                                   const MachineType& type) const;
    // What one call asks for: machines, of which some are kept for gangs from the start.
    struct ProvisioningRequest {
        int count = 0;
        std::vector<std::pair<std::string, int>> gangs;  // in the queue's order
    };
    void requestForGang(const UnschedulableWork& entry, const Job& job,
                        std::map<Kind, ProvisioningRequest>& wanted) const;
    void scaleOut(std::uint32_t partition, const Kind& kind, const ProvisioningRequest& order);
    void sendProvisioningRequest(std::uint32_t partition, const Kind& kind,
                                 const ProvisioningRequest& order, const std::string& name,
                                 int tries);
    void onProvisioned(std::uint32_t partition, const Kind& kind, const ProvisioningRequest& order,
                       const std::vector<std::string>& machines);
    void recordRefusal(const Kind& kind);
    [[nodiscard]] bool asking(const Kind& kind) const;
    void decommission(Machine& machine, const char* why);
    void release();
    // Where most of the partition's machines miss their heartbeats at the same time.
    [[nodiscard]] std::set<std::string> quietZones(const ClusterState& clusterState,
                                                   std::uint32_t partition) const;
    // The partition that a machine without a record that can be read belongs to.
    [[nodiscard]] std::uint32_t partitionFor(const ClusterState& clusterState,
                                             const std::string& id, const std::string& zone) const;
    // Writes records anew that can't be read or are impossible.
    void repairRecords(ClusterState& clusterState, std::uint32_t partition);
    void logUse(const ClusterState& clusterState, std::uint32_t partition);
    void recordGuaranteed(const ClusterState& clusterState);
    [[nodiscard]] bool withinGuarantee(const Machine& machine) const;
    [[nodiscard]] bool isInWarmPool(const Machine& machine) const;
    [[nodiscard]] Duration idleLimit(const Machine& machine, const MachineType& type) const;
    void forgetMachine(std::uint32_t partition, const std::string& id);
    // Of all zones if none is named.
    [[nodiscard]] std::optional<Kind> cheapest(const Job& job, std::uint32_t tasks,
                                               const std::string& inZone) const;

    static constexpr std::chrono::seconds bootGrace{20};  // beyond a multiple of the stated time

    Context& context_;
    Membership& membership_;
    TransactionPipeline& pipeline_;
    QueueOrder& queueOrder_;
    HeartbeatHandler& heartbeats_;
    RoundScheduler& rounds_;
    struct Refusal {
        SteadyTime until{};
        Duration pause{};
    };
    struct ClassDemand {
        int jobs = 0;
        int pressed = 0;              // can't wait for a boot
        std::set<std::string> types;  // that could run them
        SteadyTime lastSeen{};
    };
    Resources guaranteed_;  // to all teams
    double upGpus_ = 0;
    double upCpus_ = 0;                                        // of machines without GPUs
    std::map<std::string, ClassDemand> classDemand_;           // by class
    std::map<Kind, Refusal> refused_;                          // no capacity: not before
    std::map<std::uint32_t, std::map<Kind, int>> inProgress_;  // provisioning requests under way
    std::set<std::string> provisioningFor_;                    // gangs
    std::map<std::string, Found> unassigned_;
    RecordWrites recording_;
    RecordWrites decommissioning_;
    RecordWrites dropping_;
    std::set<std::string> releasing_;  // by the call under way
    std::map<std::uint32_t, SteadyTime> useLogged_;
    std::uint64_t provisioningRequests_ = 0;
    bool catalogLoaded_ = false;
};

}  // namespace fawnwheel::coordination
