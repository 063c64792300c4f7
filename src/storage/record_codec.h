/// @file
/// Encodes the values of the durable records as JSON, and decodes them. Unknown fields are ignored
/// and missing ones have their defaults, so that several versions can run side by side.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.h"
#include "storage/dependency_graph.h"
#include "storage/job.h"
#include "storage/machine.h"
#include "storage/partition.h"

namespace fawnwheel::storage {

using protocol::Json;

/// The content of a job's active record.
struct JobRecord {
    JobSpec spec;
    PartitionId partition = 0;
    bool cancelled = false;
    std::uint32_t sliceSize = 1;
    WallTime submitted;
};

[[nodiscard]] Json jobValue(const Job& job);
/// None if the specification in the record is invalid.
[[nodiscard]] std::optional<JobRecord> readJob(const Json& value);
/// Whether a job's record marks the job as cancelled.
[[nodiscard]] bool isCancelledValue(const Json& value);

[[nodiscard]] Json sliceValue(const Slice& slice);
/// Decodes the record of the job's slice with this index; none if its range is invalid.
[[nodiscard]] std::optional<SliceContent> readSlice(const Job& job, std::uint32_t index,
                                                    const Json& value);

[[nodiscard]] Json machineValue(const MachineRecord& machine);
/// Whether a machine's record is well-formed and names only partitions that exist.
[[nodiscard]] bool machineValueValid(const Json& value, std::uint32_t partitionCount);
/// Decodes a record for which `machineValueValid` is true.
[[nodiscard]] MachineRecord readMachine(const std::string& id, const Json& value,
                                        std::uint64_t version);

/// The partition that the record of a job, slice or machine names.
[[nodiscard]] std::uint32_t partitionOf(const Json& value);

[[nodiscard]] Json partitionValue(const Partition& partition);
[[nodiscard]] Partition readPartition(const Json& value, std::uint64_t version);
/// The latest term of any partition.
[[nodiscard]] std::uint64_t readTerm(const Json& value);

/// A team's quota shares, by partition.
[[nodiscard]] Json quotaValue(const std::map<PartitionId, QuotaShare>& quotas);
[[nodiscard]] std::map<PartitionId, QuotaShare> readQuota(const Json& value);

[[nodiscard]] Json featureGateValue();
[[nodiscard]] Json catalogValue(const std::vector<protocol::MachineType>& types);

[[nodiscard]] Json terminalValue(const TerminalState& state);
[[nodiscard]] TerminalState readTerminal(const Json& value);

}  // namespace fawnwheel::storage
