#include "storage/record_codec.h"

#include <algorithm>
#include <chrono>
#include <variant>

namespace fawnwheel::storage {

namespace {

using protocol::countOf;
using protocol::flagOf;
using protocol::listOf;
using protocol::textOf;

constexpr auto partitionField = "part";
constexpr auto lenderField = "lender";
constexpr auto minFencingTokenField = "floor";
constexpr auto transferredByField = "from";
constexpr auto rangeFirst = "first";
constexpr auto rangeCount = "count";
constexpr auto failuresField = "failures";
constexpr auto terminalAt = "at";

std::vector<bool> readDone(const Json& value, std::uint32_t size) {
    std::vector<bool> done(size, false);
    for (const auto& range : listOf(value, "done")) {
        if (!range.is_array() || range.size() != 2) continue;
        for (auto i = range[0].get<std::size_t>(); i <= range[1].get<std::size_t>(); ++i)
            if (i < done.size()) done[i] = true;
    }
    return done;
}

std::vector<Allocation> readAllocations(const Json& value, const TaskRange& range) {
    std::vector<Allocation> allocations;
    for (const auto& entry : listOf(value, "claims")) {
        if (!entry.is_array() || entry.size() != 3) continue;
        Allocation allocation;
        allocation.task = range.first + entry[0].get<std::uint32_t>();
        allocation.machine = entry[1].get<std::string>();
        allocation.attempt = entry[2].get<std::uint64_t>();
        allocation.durable = true;
        allocations.push_back(std::move(allocation));
    }
    return allocations;
}

/// The tasks that a slice's record covers: the range in the record, or else the initial range of
/// the slice's index. None if the range is not within the job.
std::optional<TaskRange> readRange(const Job& job, std::uint32_t index, const Json& value) {
    if (!value.contains(rangeCount)) return job.initialRange(index);
    const auto first = countOf(value, rangeFirst);
    const auto count = countOf(value, rangeCount);
    if (count == 0 || first >= job.spec.tasks || count > job.spec.tasks - first)
        return std::nullopt;
    return TaskRange{static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(count)};
}

bool isPartition(const Json& value, const char* field, std::uint32_t partitionCount) {
    const auto found = value.find(field);
    return found != value.end() && found->is_number_unsigned() &&
           found->get<std::uint64_t>() < partitionCount;
}

}  // namespace

Json jobValue(const Job& job) {
    const auto submitted =
        std::chrono::duration_cast<std::chrono::milliseconds>(job.submitted.time_since_epoch());
    return {{"spec", protocol::encodeJobSpec(job.spec)},
            {"part", job.partition},
            {"slice", job.sliceSize},
            {"cancelled", job.cancelled},
            {"submitted", submitted.count()}};
}

std::optional<JobRecord> readJob(const Json& value) {
    auto spec = protocol::parseJobSpec(value.value("spec", Json::object()));
    if (!std::holds_alternative<JobSpec>(spec)) return std::nullopt;
    return JobRecord{
        std::get<JobSpec>(std::move(spec)), partitionOf(value), isCancelledValue(value),
        std::max<std::uint32_t>(1, static_cast<std::uint32_t>(countOf(value, "slice", 1))),
        WallTime(std::chrono::milliseconds(countOf(value, "submitted")))};
}

bool isCancelledValue(const Json& value) {
    return flagOf(value, "cancelled");
}

Json sliceValue(const Slice& slice) {
    Json done = Json::array();
    for (std::size_t i = 0; i < slice.done.size(); ++i) {
        if (!slice.done[i]) continue;
        if (!done.empty() && done.back()[1].get<std::size_t>() + 1 == i)
            done.back()[1] = i;
        else
            done.push_back({i, i});
    }
    Json allocations = Json::array();
    for (const auto& allocation : slice.allocations)
        allocations.push_back(
            {allocation.task - slice.first, allocation.machine, allocation.attempt});
    Json value{
        {"part", slice.partition}, {"done", std::move(done)}, {"claims", std::move(allocations)}};
    if (slice.failures > 0) value[failuresField] = slice.failures;
    if (slice.divided) {
        value[rangeFirst] = slice.first;
        value[rangeCount] = slice.size();
    }
    return value;
}

std::optional<SliceContent> readSlice(const Job& job, std::uint32_t index, const Json& value) {
    const auto range = readRange(job, index, value);
    if (!range) return std::nullopt;
    return SliceContent{partitionOf(value),
                        *range,
                        value.contains(rangeCount),
                        readDone(value, range->count),
                        readAllocations(value, *range),
                        static_cast<std::uint32_t>(countOf(value, failuresField))};
}

Json machineValue(const MachineRecord& machine) {
    Json value{{"type", machine.type},
               {"zone", machine.zone},
               {"spot", machine.spot},
               {"part", machine.partition},
               {"retired", machine.decommissioned}};
    if (machine.lender) value[lenderField] = *machine.lender;
    if (machine.minFencingToken > 0) value[minFencingTokenField] = machine.minFencingToken;
    if (!machine.transferredBy.empty()) value[transferredByField] = machine.transferredBy;
    return value;
}

bool machineValueValid(const Json& value, std::uint32_t partitionCount) {
    const auto isText = [&value](const char* field) {
        const auto found = value.find(field);
        return found != value.end() && found->is_string();
    };
    if (!value.is_object() || !isPartition(value, partitionField, partitionCount) ||
        !isText("type") || !isText("zone"))
        return false;
    if (value.contains(lenderField) && !isPartition(value, lenderField, partitionCount))
        return false;
    if (value.contains(minFencingTokenField) && !value[minFencingTokenField].is_number_unsigned())
        return false;
    return !value.contains(transferredByField) || isText(transferredByField);
}

MachineRecord readMachine(const std::string& id, const Json& value, std::uint64_t version) {
    MachineRecord record;
    record.id = id;
    record.type = textOf(value, "type");
    record.zone = textOf(value, "zone");
    record.spot = flagOf(value, "spot");
    record.partition = partitionOf(value);
    if (value.contains(lenderField))
        record.lender = static_cast<std::uint32_t>(countOf(value, lenderField));
    record.minFencingToken = countOf(value, minFencingTokenField);
    record.transferredBy = textOf(value, transferredByField);
    record.decommissioned = flagOf(value, "retired");
    record.version = version;
    return record;
}

std::uint32_t partitionOf(const Json& value) {
    return static_cast<std::uint32_t>(countOf(value, partitionField));
}

Json partitionValue(const Partition& partition) {
    return {{"owner", partition.leader}, {"term", partition.term}};
}

Partition readPartition(const Json& value, std::uint64_t version) {
    return {textOf(value, "owner"), countOf(value, "term"), version};
}

std::uint64_t readTerm(const Json& value) {
    return countOf(value, "term");
}

Json quotaValue(const std::map<PartitionId, QuotaShare>& quotas) {
    Json list = Json::array();
    for (const auto& [partition, quota] : quotas) list.push_back({quota.cpus, quota.gpus});
    return {{"shares", std::move(list)}};
}

std::map<PartitionId, QuotaShare> readQuota(const Json& value) {
    std::map<PartitionId, QuotaShare> quotas;
    PartitionId partition = 0;
    for (const auto& entry : listOf(value, "shares")) {
        if (entry.is_array() && entry.size() == 2)
            quotas[partition] = {entry[0].get<double>(), entry[1].get<double>()};
        ++partition;
    }
    return quotas;
}

Json featureGateValue() {
    return {{"formats", 1}};
}

Json catalogValue(const std::vector<protocol::MachineType>& types) {
    return protocol::encodeCatalog(types);
}

Json terminalValue(const TerminalState& state) {
    Json value{{"cancelled", state.cancelled}};
    if (state.at)
        value[terminalAt] =
            std::chrono::duration_cast<std::chrono::milliseconds>(state.at->time_since_epoch())
                .count();
    return value;
}

TerminalState readTerminal(const Json& value) {
    TerminalState state{flagOf(value, "cancelled"), std::nullopt};
    if (value.contains(terminalAt))
        state.at = WallTime(std::chrono::milliseconds(countOf(value, terminalAt)));
    return state;
}

}  // namespace fawnwheel::storage
