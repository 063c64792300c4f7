/// @file
/// Writes machine records in batches.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "coordination/replication/transaction_pipeline.h"
#include "coordination/round_scheduler.h"

namespace fawnwheel::coordination {

/// Queues changes to machine records by partition and writes many in one transaction. A machine
/// whose change is queued or in flight is not queued again for it. A machine that has left the
/// partition before its change is sent is skipped.
class MachineRecords {
  public:
    /// Kind of change to a machine's record.
    enum class Change {
        record,        ///< write the machine's current state
        decommission,  ///< write it with the decommissioned mark set
        drop,          ///< delete the record, then the machine
    };

    /// The outcome of each transaction schedules a round through `roundScheduler`.
    MachineRecords(Context& context, TransactionPipeline& pipeline, RoundScheduler& roundScheduler)
        : context_(context), pipeline_(pipeline), roundScheduler_(roundScheduler) {}

    /// Queues the change of this machine's record. `Change::record` is retried for a machine
    /// without a record until it succeeds or the partition is lost.
    void write(Change change, PartitionId partition, const std::string& machine);
    /// Whether the change of this machine's record is queued or in flight.
    [[nodiscard]] bool isPending(Change change, const std::string& machine) const;

  private:
    struct Batches {
        std::map<std::uint32_t, std::deque<std::string>> queues;  // machines, by partition
        std::set<std::uint32_t> inFlight;                         // partitions
        std::set<std::string> pending;                            // machines, queued or in flight
    };
    struct Batch {
        protocol::CompareAndSwap transaction;
        std::vector<std::string> machines;
    };

    void writeBatch(Change change, PartitionId partition);
    // Removes the machines of the next transaction from the queue.
    [[nodiscard]] Batch nextBatch(Change change, PartitionId partition);
    void onCommitted(Change change, PartitionId partition, const std::vector<std::string>& machines,
                     CommitResult result, std::uint64_t revision);
    // None if the record is to be deleted.
    [[nodiscard]] static std::optional<protocol::Json> valueOf(Change change,
                                                               const Machine& machine);
    void applyOutcome(Change change, PartitionId partition, Machine& machine, CommitResult result,
                      std::uint64_t revision);

    Context& context_;
    TransactionPipeline& pipeline_;
    RoundScheduler& roundScheduler_;
    std::map<Change, Batches> batches_;
};

}  // namespace fawnwheel::coordination
