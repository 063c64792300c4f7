/// @file
/// Transfers machines between partitions, each time in one compare-and-swap transaction of the
/// giving partition: as a loan while they run no tasks, or permanently with all their tasks.
#pragma once

#include "coordination/replication/slice_writer.h"
#include "coordination/scheduling/quota_exchange.h"
#include "coordination/workers/heartbeat_handler.h"
#include "rebalancing/handover.h"

namespace fawnwheel::coordination {

/// Observes which allocations a transfer has made durable.
class MachineTransferObserver {
  public:
    MachineTransferObserver() = default;
    MachineTransferObserver(const MachineTransferObserver&) = delete;
    MachineTransferObserver& operator=(const MachineTransferObserver&) = delete;
    virtual ~MachineTransferObserver() = default;

    /// A transfer has made allocations on these machines durable: their start commands may be sent.
    virtual void onAllocationsDurable(const std::set<std::string>& machines) = 0;
};

/// Transfers machines between partitions.
class MachineTransfers {
  public:
    MachineTransfers(Context& context, TransactionPipeline& pipeline, SliceWriter& writer,
                     QuotaExchange& quotas, HeartbeatHandler& heartbeats,
                     MachineTransferObserver& observer)
        : context_(context),
          pipeline_(pipeline),
          writer_(writer),
          quotas_(quotas),
          heartbeats_(heartbeats),
          observer_(observer) {}

    /// Lends machines without tasks, or returns borrowed ones to their lender.
    void lend(PartitionId from, PartitionId to, const std::vector<std::string>& machines);
    /// Starts a permanent transfer. Returns why no transaction was sent, or none if one was sent;
    /// `onFinished` is then called with its outcome.
    [[nodiscard]] std::optional<rebalancing::Refusal> transferWithWork(
        PartitionId from, PartitionId to, const rebalancing::Handover& handover,
        std::function<void(bool transferred)> onFinished);

  private:
    struct Transfer {
        std::vector<std::string> machines;
        SliceBatch batch;
        std::vector<protocol::Write> records;  // of machines and jobs
        std::vector<QuotaExchange::QuotaTransfer> quotas;
    };

    /// Marks the machine as transferring, which stops new allocations and freezes its fencing
    /// token. Returns the machine as it will be in partition `to`.
    static Machine beginTransfer(Machine& machine, std::uint32_t to);
    void addMachine(Transfer& transfer, const Machine& machine, const Machine& next) const;
    void addJob(Transfer& transfer, const Job& job, std::uint32_t to) const;
    [[nodiscard]] bool addQuotas(Transfer& transfer, ClusterState& clusterState,
                                 const rebalancing::Handover& handover, std::uint32_t from,
                                 std::uint32_t to);
    /// Adds everything that changes partition with the machines; false if it does not fit into one
    /// transaction.
    [[nodiscard]] bool addHandover(Transfer& transfer, ClusterState& clusterState,
                                   const rebalancing::Handover& handover, std::uint32_t from,
                                   std::uint32_t to);
    /// Reverts the local changes for a transfer of which nothing was sent.
    void revert(const Transfer& transfer, ClusterState& clusterState);
    void finish(const Transfer& transfer, CommitResult result, std::uint64_t revision);

    Context& context_;
    TransactionPipeline& pipeline_;
    SliceWriter& writer_;
    QuotaExchange& quotas_;
    HeartbeatHandler& heartbeats_;
    MachineTransferObserver& observer_;
};

}  // namespace fawnwheel::coordination
