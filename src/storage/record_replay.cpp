#include "storage/record_replay.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "storage/record_codec.h"
#include "storage/record_keys.h"

namespace fawnwheel::storage {

namespace {

Job makeJob(const JobRecord& record) {
    Job job;
    job.spec = record.spec;
    job.sliceSize = record.sliceSize;
    job.slices = makeSlices(job.spec, job.sliceSize, record.partition);
    job.submitted = record.submitted;
    return job;
}

void applyJob(ClusterState& clusterState, const std::string& id, const protocol::Event& event) {
    Job* known = clusterState.job(id);
    if (known != nullptr && known->version >= event.version) return;
    if (!event.value) return clusterState.removeJob(id);
    const auto record = readJob(*event.value);
    if (!record) return;
    if (known == nullptr) {
        clusterState.addJob(makeJob(*record));
        known = clusterState.job(id);
    }
    known->partition = record->partition;
    known->cancelled = record->cancelled;
    if (known->cancelled) clusterState.recordCancellation(id, event.version);
    known->version = event.version;
    for (auto& slice : known->slices) {
        if (slice.version != 0 || slice.partition == record->partition) continue;
        // The slice now belongs to another leader. An allocation that its former leader has not
        // recorded would be on a machine of the wrong partition.
        clusterState.discardUnrecordedChanges(*known, slice);
        slice.partition = record->partition;
    }
}

void applySlice(ClusterState& clusterState, const std::string& name, const protocol::Event& event) {
    const auto slash = name.rfind('/');
    if (slash == std::string::npos) return;
    // A slice's record is deleted only together with or after its job's record.
    if (!event.value) {
        clusterState.orphanedRecords.erase(event.key);
        return;
    }
    const auto id = name.substr(0, slash);
    Job* job = clusterState.job(id);
    if (job == nullptr) {
        clusterState.orphanedRecords[event.key] = {id, partitionOf(*event.value)};
        return;
    }
    const auto index = parseNumber(std::string_view(name).substr(slash + 1));
    // Each division leaves at least one task in each piece, which bounds the indexes.
    if (!index || *index >= std::uint64_t{job->spec.tasks} * 2) return;
    auto content = readSlice(*job, *index, *event.value);
    if (!content) return;
    Slice& slice = job->ensureSlice(*index);
    if (slice.version >= event.version) return;
    clusterState.replaceSlice(*job, slice, std::move(*content));
    slice.version = event.version;
}

/// Whether the machine has belonged to another partition since `known` was read, perhaps in between
/// only: the events of several transfers may be read as one. Each transfer raises the minimum
/// fencing token.
bool wasTransferred(const Machine& known, const MachineRecord& record) {
    return known.partition != record.partition || record.minFencingToken > known.minFencingToken;
}

/// Resets observations and decisions made while the machine belonged to its former partition.
void resetAfterTransfer(Machine& machine, SteadyTime now) {
    machine.reservedUntil = {};
    machine.unschedulableUntil = {};
    machine.consolidating = false;
    machine.transferring = false;
    machine.departedTo.reset();
    machine.transferConfirmed = false;
    machine.interruptionAt.reset();
    machine.ignoreHeartbeatsUntil = {};
    machine.knownSince = machine.lastPossibleRenewal = machine.idleSince = now;
}

/// Starts the fencing tokens of the machine's new leader at the minimum that its record gives.
void resetFencingTokens(Machine& machine, SteadyTime now) {
    if (machine.minFencingToken <= machine.firstFencingToken) return;
    machine.lastHeartbeat = now;
    machine.firstFencingToken = machine.fencingToken = machine.expectedToken =
        machine.minFencingToken;
    // A machine that was lent or returned is empty, and the leader that gave it away has just
    // received its heartbeat. A machine transferred with its tasks counts as unacknowledged until
    // its worker sends a heartbeat with the new leader's token.
    machine.acknowledgedToken = machine.transferredBy.empty() ? machine.minFencingToken : 0;
    machine.unacknowledgedSince = now;
    machine.unacknowledgedResponses = 0;
}

void applyMachineRecord(ClusterState& clusterState, MachineRecord record, SteadyTime now) {
    const Machine* known = clusterState.machine(record.id);
    const bool isNew = known == nullptr;
    const bool transferred = !isNew && wasTransferred(*known, record);
    Machine& machine = clusterState.addMachine(record.id, record.partition);
    machine.setRecord(std::move(record));
    if (isNew) machine.knownSince = machine.lastPossibleRenewal = machine.idleSince = now;
    if (transferred) {
        resetAfterTransfer(machine, now);
        resetFencingTokens(machine, now);
        clusterState.resetTaskStates(machine);
    }
    if (isNew) clusterState.indexAllocations(machine);
}

void applyMachine(ClusterState& clusterState, const std::string& id, const protocol::Event& event,
                  SteadyTime now) {
    Machine* known = clusterState.machine(id);
    if (known != nullptr && known->version >= event.version) return;
    if (!event.value) {
        clusterState.corruptMachines.erase(id);
        // A machine with version 0 has no record yet: its first write is in flight.
        if (known != nullptr && known->recorded()) clusterState.removeMachine(id);
        return;
    }
    const Json& value = *event.value;
    if (!machineValueValid(value, clusterState.partitionCount)) {
        // A corrupt record doesn't change the machine's partition: the leader that had the machine
        // keeps it, and overwrites this version with a valid record.
        clusterState.corruptMachines[id] = {event.version, value};
        if (known != nullptr) known->version = event.version;
        return;
    }
    clusterState.corruptMachines.erase(id);
    applyMachineRecord(clusterState, readMachine(id, value, event.version), now);
}

void applyPartition(ClusterState& clusterState, std::uint32_t number,
                    const protocol::Event& event) {
    Partition& partition = clusterState.partitions[number];
    if (partition.version >= event.version || !event.value) return;
    partition = readPartition(*event.value, event.version);
}

void applyNode(ClusterState& clusterState, const std::string& name, const protocol::Event& event) {
    const auto known = clusterState.nodes.find(name);
    if (event.value)
        clusterState.nodes[name] =
            std::max(event.version, known == clusterState.nodes.end() ? 0 : known->second);
    else if (known != clusterState.nodes.end() && known->second < event.version)
        clusterState.nodes.erase(known);
}

void applyQuota(ClusterState& clusterState, const std::string& team, const protocol::Event& event) {
    if (clusterState.quotaVersions[team] >= event.version || !event.value) return;
    clusterState.quotas[team] = readQuota(*event.value);
    clusterState.quotaVersions[team] = event.version;
}

void applyCatalog(ClusterState& clusterState, const protocol::Event& event) {
    if (!event.value || event.version <= clusterState.catalogVersion) return;
    clusterState.catalog = protocol::parseCatalog(*event.value);
    clusterState.catalogVersion = event.version;
}

void applyTerm(ClusterState& clusterState, const protocol::Event& event) {
    if (!event.value || event.version <= clusterState.termVersion) return;
    clusterState.lastTerm = readTerm(*event.value);
    clusterState.termVersion = event.version;
}

/// Whether the cluster state holds the record, or holds what it belongs to. Records of other kinds
/// are never deleted.
bool isHeld(ClusterState& clusterState, const std::string& key) {
    const auto [kind, name] = parseKey(key);
    switch (kind) {
        case RecordKind::job:
            return clusterState.job(name) != nullptr;
        case RecordKind::slice:
            return clusterState.job(name.substr(0, name.rfind('/'))) != nullptr;
        case RecordKind::machine:
            return clusterState.machine(name) != nullptr;
        case RecordKind::node:
            return clusterState.nodes.contains(name);
        default:
            return true;
    }
}

}  // namespace

void recordCancellation(ClusterState& clusterState, const protocol::Event& event) {
    const auto [kind, id] = parseKey(event.key);
    if (kind == RecordKind::job && event.value && isCancelledValue(*event.value))
        clusterState.recordCancellation(id, event.version);
}

void recordDeparture(ClusterState& clusterState, const protocol::Event& event) {
    const auto [kind, id] = parseKey(event.key);
    Machine* machine = kind == RecordKind::machine ? clusterState.machine(id) : nullptr;
    if (machine == nullptr || !event.value || machine->version >= event.version ||
        !machineValueValid(*event.value, clusterState.partitionCount))
        return;
    const auto partition = partitionOf(*event.value);
    machine->departedTo.reset();
    if (partition != machine->partition) machine->departedTo = partition;
}

void applyEvent(ClusterState& clusterState, const protocol::Event& event, SteadyTime now) {
    clusterState.newestRevision = std::max(clusterState.newestRevision, event.version);
    const auto [kind, name] = parseKey(event.key);
    switch (kind) {
        case RecordKind::unknown:
            return;
        case RecordKind::catalog:
            return applyCatalog(clusterState, event);
        case RecordKind::term:
            return applyTerm(clusterState, event);
        case RecordKind::job:
            return applyJob(clusterState, name, event);
        case RecordKind::slice:
            return applySlice(clusterState, name, event);
        case RecordKind::machine:
            return applyMachine(clusterState, name, event, now);
        case RecordKind::partition:
            if (const auto number = parseNumber(name)) applyPartition(clusterState, *number, event);
            return;
        case RecordKind::node:
            return applyNode(clusterState, name, event);
        case RecordKind::quota:
            return applyQuota(clusterState, name, event);
        case RecordKind::jobDependenciesGate:
            if (event.value) clusterState.nodesWithJobDependencies.insert(name);
            return;
        case RecordKind::machineTransfersGate:
            if (event.value) clusterState.nodesWithMachineTransfers.insert(name);
            return;
    }
}

void applyAnswer(ClusterState& clusterState, const protocol::Event& event, SteadyTime now) {
    const bool watched = event.version <= clusterState.appliedRevision;
    if (event.value && watched && !isHeld(clusterState, event.key)) {
        spdlog::debug("replica: outdated_answer_ignored key={} revision={} applied_revision={}",
                      event.key, event.version, clusterState.appliedRevision);
        return;
    }
    applyEvent(clusterState, event, now);
}

}  // namespace fawnwheel::storage
