/// @file
/// Writes the records of machines in batches.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "coordination/replication/transaction_pipeline.h"
#include "coordination/round_scheduler.h"

namespace fawnwheel::coordination {

/// Queues changes of machines' records by partition and writes many in one transaction. A machine
/// that is queued or in flight for a change is not queued again. What has left the partition
/// meanwhile is left out.
class MachineRecords {
  public:
    /// What is to become of a machine's record.
    enum class Change {
        record,        ///< written as the machine is known now
        decommission,  ///< written with the mark that the machine is to be given back
        drop,          ///< deleted; then the machine is forgotten
    };

    /// `rounds` is told of each outcome.
    MachineRecords(Context& context, TransactionPipeline& pipeline, RoundScheduler& rounds)
        : context_(context), pipeline_(pipeline), rounds_(rounds) {}

    /// Queues the change of this machine's record. Recording is retried until it succeeds or the
    /// partition is lost.
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
    // Takes what goes into the next transaction off the queue.
    [[nodiscard]] Batch nextBatch(Change change, PartitionId partition);
    void onCommitted(Change change, PartitionId partition, const std::vector<std::string>& machines,
                     CommitResult result, std::uint64_t revision);
    // None: the record is to be deleted.
    [[nodiscard]] static std::optional<protocol::Json> valueOf(Change change,
                                                               const Machine& machine);
    void settle(Change change, Machine& machine, CommitResult result, std::uint64_t revision);

    Context& context_;
    TransactionPipeline& pipeline_;
    RoundScheduler& rounds_;
    std::map<Change, Batches> batches_;
};

}  // namespace fawnwheel::coordination
