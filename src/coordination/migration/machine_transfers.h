/// @file
/// Changes machines' partitions, each time in one guarded transaction of the partition that gives
/// them: lent while they are empty, or given for good with all that runs on them.
#pragma once

#include "coordination/replication/slice_writer.h"
#include "coordination/scheduling/quota_exchange.h"
#include "coordination/workers/heartbeat_handler.h"
#include "rebalancing/handover.h"

namespace fawnwheel::coordination {

/// Learns what a transfer has made durable.
class MachineTransferObserver {
  public:
    MachineTransferObserver() = default;
    MachineTransferObserver(const MachineTransferObserver&) = delete;
    MachineTransferObserver& operator=(const MachineTransferObserver&) = delete;
    virtual ~MachineTransferObserver() = default;

    /// Allocations on these machines have become durable with a transfer: their starts may be sent.
    virtual void onAllocationsDurable(const std::set<std::string>& machines) = 0;
};

/// Carries out transfers of machines between partitions.
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

    /// Machines without tasks, until they are lent back.
    void lend(PartitionId from, PartitionId to, const std::vector<std::string>& machines);
    /// The reason why nothing was sent; none: it is under way, and `done` will be called.
    [[nodiscard]] std::optional<rebalancing::Refusal> give(PartitionId from, PartitionId to,
                                                           const rebalancing::Handover& handover,
                                                           std::function<void(bool given)> done);

  private:
    struct Transfer {
        std::vector<std::string> machines;
        SliceBatch batch;
        std::vector<protocol::Write> records;  // of machines and jobs
        std::vector<QuotaExchange::QuotaTransfer> quotas;
    };

    /// From now on the machine gets no new work and its token stands still.
    static Machine leaving(Machine& machine, std::uint32_t to);
    void addMachine(Transfer& transfer, const Machine& machine, const Machine& next) const;
    void addJob(Transfer& transfer, const Job& job, std::uint32_t to) const;
    [[nodiscard]] bool addQuotas(Transfer& transfer, ClusterState& clusterState,
                                 const rebalancing::Handover& handover, std::uint32_t from,
                                 std::uint32_t to);
    /// Adds all that goes with the machines; false: it does not fit into one transaction.
    [[nodiscard]] bool addHandover(Transfer& transfer, ClusterState& clusterState,
                                   const rebalancing::Handover& handover, std::uint32_t from,
                                   std::uint32_t to);
    /// Nothing of the transfer was sent.
    void undo(const Transfer& transfer, ClusterState& clusterState);
    void finish(const Transfer& transfer, CommitResult result, std::uint64_t revision);

    Context& context_;
    TransactionPipeline& pipeline_;
    SliceWriter& writer_;
    QuotaExchange& quotas_;
    HeartbeatHandler& heartbeats_;
    MachineTransferObserver& observer_;
};

}  // namespace fawnwheel::coordination
