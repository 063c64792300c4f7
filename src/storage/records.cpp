#include "storage/records.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace fawnwheel::storage {

namespace {

using protocol::countOf;
using protocol::flagOf;
using protocol::listOf;
using protocol::textOf;

constexpr auto jobKey = "live/job/";
constexpr auto sliceKey = "live/slice/";
constexpr auto machineKey = "live/machine/";
constexpr auto partitionKey = "live/part/";
constexpr auto nodeKey = "live/node/";
constexpr auto quotaKey = "live/share/";
constexpr auto upgradedKey = "live/upgraded/";
constexpr auto transfersKey = "live/transfers/";
constexpr auto partitionField = "part";
constexpr auto lenderField = "lender";
constexpr auto floorField = "floor";
constexpr auto movedByField = "from";
constexpr auto rangeFirst = "first";
constexpr auto rangeCount = "count";
constexpr auto failuresField = "failures";
constexpr auto finalAt = "at";
constexpr double bytesPerTask = 52;  // an allocation with long names, plus its done range
constexpr std::uint32_t smallSlice = 4;
constexpr std::uint32_t handySlice = 40;  // small enough to be rewritten often
constexpr std::uint32_t slicesWanted = 16;
constexpr double writesPerSlice = 2;     // its allocations and its ends, at the least
constexpr double recordingSeconds = 10;  // for all slices of a job, at the full write rate

std::optional<std::string> after(const std::string& key, const char* prefix) {
    if (!key.starts_with(prefix)) return std::nullopt;
    return key.substr(std::string_view(prefix).size());
}

std::optional<std::uint32_t> toNumber(std::string_view text) {
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

void applyJob(ClusterState& clusterState, const std::string& id, const protocol::Event& event) {
    Job* known = clusterState.job(id);
    if (known != nullptr && known->version >= event.version) return;
    if (!event.value) return clusterState.dropJob(id);
    const Json& value = *event.value;
    const auto spec = protocol::parseJobSpec(value.value("spec", Json::object()));
    if (!std::holds_alternative<JobSpec>(spec)) return;
    const auto partition = static_cast<std::uint32_t>(countOf(value, "part"));
    if (known == nullptr) {
        Job job;
        job.spec = std::get<JobSpec>(spec);
        job.sliceSize =
            std::max<std::uint32_t>(1, static_cast<std::uint32_t>(countOf(value, "slice", 1)));
        job.slices = makeSlices(job.spec, job.sliceSize, partition);
        job.submitted = WallTime(std::chrono::milliseconds(countOf(value, "submitted")));
        clusterState.addJob(std::move(job));
        known = clusterState.job(id);
    }
    known->partition = partition;
    known->cancelled = flagOf(value, "cancelled");
    if (known->cancelled) clusterState.recordCancellation(id, event.version);
    known->version = event.version;
    for (auto& slice : known->slices)
        if (slice.version == 0) slice.partition = partition;
}

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

// The tasks that a slice's record covers: those that its index gives, unless it names them.
std::optional<TaskRange> readRange(const Job& job, std::uint32_t index, const Json& value) {
    if (!value.contains(rangeCount)) return job.undividedRange(index);
    const auto first = countOf(value, rangeFirst);
    const auto count = countOf(value, rangeCount);
    if (count == 0 || first >= job.spec.tasks || count > job.spec.tasks - first)
        return std::nullopt;
    return TaskRange{static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(count)};
}

void applySlice(ClusterState& clusterState, const std::string& name, const protocol::Event& event) {
    const auto slash = name.rfind('/');
    if (slash == std::string::npos) return;
    // The record of a slice goes only with its job's or after it.
    if (!event.value) {
        clusterState.orphanedRecords.erase(event.key);
        return;
    }
    const auto id = name.substr(0, slash);
    Job* job = clusterState.job(id);
    if (job == nullptr) {
        const auto partition = static_cast<std::uint32_t>(countOf(*event.value, "part"));
        clusterState.orphanedRecords[event.key] = {id, partition};
        return;
    }
    const auto index = toNumber(std::string_view(name).substr(slash + 1));
    // Each division leaves at least one task to each piece.
    if (!index || *index >= std::uint64_t{job->spec.tasks} * 2) return;
    auto content = readSlice(*job, *index, *event.value);
    if (!content) return;
    Slice& slice = job->sliceAt(*index);
    if (slice.version >= event.version) return;
    clusterState.replaceSlice(*job, slice, std::move(*content));
    slice.version = event.version;
}

bool isPartition(const Json& value, const char* field, std::uint32_t partitionCount) {
    const auto found = value.find(field);
    return found != value.end() && found->is_number_unsigned() &&
           found->get<std::uint64_t>() < partitionCount;
}

// What was learnt of the machine by its former leader does not hold for its new one.
void resetAfterMove(Machine& m, SteadyTime now) {
    m.reservedUntil = {};
    m.notBefore = {};
    m.consolidating = false;
    m.transferring = false;
    m.departedTo.reset();
    m.interruptionAt.reset();
    m.unansweredUntil = {};
    m.known = m.silentSince = m.idleSince = now;
}

// Where its worker's tokens begin with the new leader.
void startTokens(Machine& m, SteadyTime now) {
    if (m.minFencingToken <= m.firstFencingToken) return;
    m.lastHeartbeat = now;
    m.firstFencingToken = m.fencingToken = m.expectedToken = m.minFencingToken;
    // Lent or given back: the partition it comes from has just heard it, and it is empty. With
    // tasks on it nothing is proved until the worker has shown the new leader's token.
    m.acknowledgedToken = m.transferredBy.empty() ? m.minFencingToken : 0;
    m.unacknowledgedSince = now;
    m.unacknowledged = 0;
}

void applyMachine(ClusterState& clusterState, const std::string& id, const protocol::Event& event,
                  SteadyTime now) {
    Machine* known = clusterState.machine(id);
    if (known != nullptr && known->version >= event.version) return;
    if (!event.value) {
        clusterState.corruptMachines.erase(id);
        // Not yet recorded: its first write is under way.
        if (known != nullptr && known->version > 0) clusterState.dropMachine(id);
        return;
    }
    const Json& value = *event.value;
    if (!machineValueValid(value, clusterState.partitionCount)) {
        // It moves no machine: who had it keeps it, and writes it anew over this version.
        clusterState.corruptMachines[id] = {event.version, value};
        if (known != nullptr) known->version = event.version;
        return;
    }
    clusterState.corruptMachines.erase(id);
    const bool fresh = known == nullptr;
    const auto partition = static_cast<std::uint32_t>(countOf(value, partitionField));
    const bool moved = !fresh && known->partition != partition;
    Machine& m = clusterState.addMachine(id, partition);
    m.lender.reset();
    if (value.contains(lenderField))
        m.lender = static_cast<std::uint32_t>(countOf(value, lenderField));
    m.minFencingToken = countOf(value, floorField);
    m.transferredBy = textOf(value, movedByField);
    if (fresh) m.known = m.silentSince = m.idleSince = now;
    if (moved) {
        resetAfterMove(m, now);
        startTokens(m, now);
        clusterState.forgetTaskStates(m);
    }
    m.type = textOf(value, "type");
    m.zone = textOf(value, "zone");
    m.spot = flagOf(value, "spot");
    m.decommissioned = flagOf(value, "retired");
    m.version = event.version;
    if (fresh) clusterState.attachAllocations(m);
}

void applyPartition(ClusterState& clusterState, std::uint32_t number,
                    const protocol::Event& event) {
    Partition& partition = clusterState.partitions[number];
    if (partition.version >= event.version || !event.value) return;
    partition.leader = textOf(*event.value, "owner");
    partition.term = countOf(*event.value, "term");
    partition.version = event.version;
}

void applyQuota(ClusterState& clusterState, const std::string& team, const protocol::Event& event) {
    if (clusterState.quotaVersions[team] >= event.version || !event.value) return;
    auto& quotas = clusterState.quotas[team];
    quotas.clear();
    std::uint32_t partition = 0;
    for (const auto& entry : listOf(*event.value, "shares")) {
        if (entry.is_array() && entry.size() == 2)
            quotas[partition] = {entry[0].get<double>(), entry[1].get<double>()};
        ++partition;
    }
    clusterState.quotaVersions[team] = event.version;
}

}  // namespace

namespace keys {
std::string job(const std::string& id) {
    return jobKey + id;
}
std::string slice(const std::string& id, std::uint32_t index) {
    return sliceKey + id + "/" + std::to_string(index);
}
std::string machine(const std::string& id) {
    return machineKey + id;
}
std::string partition(std::uint32_t partition) {
    return partitionKey + std::to_string(partition);
}
std::string node(const std::string& name) {
    return nodeKey + name;
}
std::string quota(const std::string& team) {
    return quotaKey + team;
}
std::string jobDependenciesGate(const std::string& node) {
    return upgradedKey + node;
}
std::string machineTransfersGate(const std::string& node) {
    return transfersKey + node;
}
std::string terminal(const std::string& id) {
    return "final/" + id;
}
}  // namespace keys

Json jobValue(const Job& job) {
    const auto submitted =
        std::chrono::duration_cast<std::chrono::milliseconds>(job.submitted.time_since_epoch());
    return {{"spec", protocol::encodeJobSpec(job.spec)},
            {"part", job.partition},
            {"slice", job.sliceSize},
            {"cancelled", job.cancelled},
            {"submitted", submitted.count()}};
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
    return SliceContent{static_cast<std::uint32_t>(countOf(value, "part")),
                        *range,
                        value.contains(rangeCount),
                        readDone(value, range->count),
                        readAllocations(value, *range),
                        static_cast<std::uint32_t>(countOf(value, failuresField))};
}

Json machineValue(const Machine& machine) {
    Json value{{"type", machine.type},
               {"zone", machine.zone},
               {"spot", machine.spot},
               {"part", machine.partition},
               {"retired", machine.decommissioned}};
    if (machine.lender) value[lenderField] = *machine.lender;
    if (machine.minFencingToken > 0) value[floorField] = machine.minFencingToken;
    if (!machine.transferredBy.empty()) value[movedByField] = machine.transferredBy;
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
    if (value.contains(floorField) && !value[floorField].is_number_unsigned()) return false;
    return !value.contains(movedByField) || isText(movedByField);
}

Json partitionValue(const Partition& partition) {
    return {{"owner", partition.leader}, {"term", partition.term}};
}

Json quotaValue(const std::map<std::uint32_t, QuotaShare>& quotas) {
    Json list = Json::array();
    for (const auto& [partition, quota] : quotas) list.push_back({quota.cpus, quota.gpus});
    return {{"shares", std::move(list)}};
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
        value[finalAt] =
            std::chrono::duration_cast<std::chrono::milliseconds>(state.at->time_since_epoch())
                .count();
    return value;
}

TerminalState readTerminal(const Json& value) {
    TerminalState state{flagOf(value, "cancelled"), std::nullopt};
    if (value.contains(finalAt))
        state.at = WallTime(std::chrono::milliseconds(countOf(value, finalAt)));
    return state;
}

std::uint32_t sliceSizeFor(const JobSpec& spec, const RecordBounds& bounds, bool divisible) {
    const auto most =
        static_cast<std::uint32_t>(std::max(1.0, bounds.valueKb * 1024 / bytesPerTask));
    Job probe;
    probe.spec = spec;
    if (probe.undivided()) return std::min(most, spec.tasks);
    // With many small slices a job's tasks that change together took many writes, and the writes
    // that the state service allows held up the starts. An array that is so large that even its
    // allocations and ends take longer than this gets larger slices.
    if (divisible) {
        const auto quick = static_cast<std::uint32_t>(
            spec.tasks * writesPerSlice / std::max(1.0, bounds.writesPerSecond * recordingSeconds));
        return std::min({most, spec.tasks, std::max(handySlice, quick)});
    }
    const auto even = (spec.tasks + slicesWanted - 1) / slicesWanted;
    return std::clamp(even, std::min(smallSlice, most), most);
}

void recordCancellation(ClusterState& clusterState, const protocol::Event& event) {
    const auto id = after(event.key, jobKey);
    if (id && event.value && flagOf(*event.value, "cancelled"))
        clusterState.recordCancellation(*id, event.version);
}

void recordDeparture(ClusterState& clusterState, const protocol::Event& event) {
    const auto id = after(event.key, machineKey);
    Machine* machine = id ? clusterState.machine(*id) : nullptr;
    if (machine == nullptr || !event.value || machine->version >= event.version ||
        !machineValueValid(*event.value, clusterState.partitionCount))
        return;
    const auto partition = static_cast<std::uint32_t>(countOf(*event.value, partitionField));
    machine->departedTo.reset();
    if (partition != machine->partition) machine->departedTo = partition;
}

void applyEvent(ClusterState& clusterState, const protocol::Event& event, SteadyTime now) {
    if (event.key == keys::catalog) {
        if (event.value && event.version > clusterState.catalogVersion) {
            clusterState.catalog = protocol::parseCatalog(*event.value);
            clusterState.catalogVersion = event.version;
        }
    } else if (event.key == keys::term) {
        if (event.value && event.version > clusterState.termVersion) {
            clusterState.lastTerm = countOf(*event.value, "term");
            clusterState.termVersion = event.version;
        }
    } else if (const auto id = after(event.key, jobKey)) {
        applyJob(clusterState, *id, event);
    } else if (const auto slice = after(event.key, sliceKey)) {
        applySlice(clusterState, *slice, event);
    } else if (const auto machine = after(event.key, machineKey)) {
        applyMachine(clusterState, *machine, event, now);
    } else if (const auto partition = after(event.key, partitionKey)) {
        if (const auto number = toNumber(*partition)) applyPartition(clusterState, *number, event);
    } else if (const auto node = after(event.key, nodeKey)) {
        const auto known = clusterState.nodes.find(*node);
        if (event.value)
            clusterState.nodes[*node] =
                std::max(event.version, known == clusterState.nodes.end() ? 0 : known->second);
        else if (known != clusterState.nodes.end() && known->second < event.version)
            clusterState.nodes.erase(known);
    } else if (const auto team = after(event.key, quotaKey)) {
        applyQuota(clusterState, *team, event);
    } else if (const auto jobDependenciesGate = after(event.key, upgradedKey)) {
        if (event.value) clusterState.nodesWithJobDependencies.insert(*jobDependenciesGate);
    } else if (const auto machineTransfersGate = after(event.key, transfersKey)) {
        if (event.value) clusterState.nodesWithMachineTransfers.insert(*machineTransfersGate);
    }
}

}  // namespace fawnwheel::storage
