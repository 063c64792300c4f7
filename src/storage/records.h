// The durable records: their keys in the state service and their values.
//
// Everything alive is under one prefix, so that one follow replicates it; terminal states are apart
// and are kept for ever.
#pragma once

#include <string>

#include "protocol/state_client.h"
#include "storage/cluster_state.h"

namespace fawnwheel::storage {

using protocol::Json;

namespace keys {
inline constexpr auto activePrefix = "live/";
inline constexpr auto term = "live/term";
inline constexpr auto catalog = "live/catalog";
std::string job(const std::string& id);
std::string slice(const std::string& id, std::uint32_t index);
std::string machine(const std::string& id);
std::string partition(std::uint32_t partition);
std::string node(const std::string& name);
std::string quota(const std::string& team);
// Says, for ever, that a node has run a version that knows the formats added since the first one.
std::string jobDependenciesGate(const std::string& node);
// The same of a version that knows machines which change hands with their tasks.
std::string machineTransfersGate(const std::string& node);
std::string terminal(const std::string& id);
}  // namespace keys

Json jobValue(const Job& job);
Json sliceValue(const Slice& slice);
// The content of the job's slice with this index by its record; none: the record makes no sense.
std::optional<SliceContent> readSlice(const Job& job, std::uint32_t index, const Json& value);
Json machineValue(const Machine& machine);
// Whether a machine's record can be read and names partitions that exist.
bool machineValueValid(const Json& value, std::uint32_t partitionCount);
Json partitionValue(const Partition& partition);
Json quotaValue(const std::map<std::uint32_t, QuotaShare>& quotas);
Json featureGateValue();
Json catalogValue(const std::vector<protocol::MachineType>& types);
Json terminalValue(const TerminalState& state);
TerminalState readTerminal(const Json& value);

// What the state service allows.
struct RecordBounds {
    double valueKb = 4;
    double writesPerSecond = 20;  // of all nodes
};

// How many tasks a slice may have so that its record, all tasks allocated, stays within a value.
// Slices that can be divided later are as large as is handy; others are small enough to be migrated
// whole.
std::uint32_t sliceSizeFor(const JobSpec& spec, const RecordBounds& bounds, bool divisible);

// Applies a record as read or followed, unless the cluster state has it at least as new. An event
// without value is a deletion.
void applyEvent(ClusterState& clusterState, const protocol::Event& event, SteadyTime now);

// Notes a cancellation that a record shows, and nothing else of it.
void recordCancellation(ClusterState& clusterState, const protocol::Event& event);

// Notes that a machine's record names another partition, and nothing else of it.
void recordDeparture(ClusterState& clusterState, const protocol::Event& event);

}  // namespace fawnwheel::storage
