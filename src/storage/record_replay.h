/// @file
/// Applies records, as read or watched, to the cluster state.
#pragma once

#include "protocol/state_client.h"
#include "storage/cluster_state.h"

namespace fawnwheel::storage {

/// Applies a record, unless the cluster state has it at least as new. An event without value is a
/// deletion. Records that make no sense are ignored.
void applyEvent(ClusterState& clusterState, const protocol::Event& event, SteadyTime now);

/// Applies only the cancellation that a job's record shows, and nothing else of it.
void recordCancellation(ClusterState& clusterState, const protocol::Event& event);

/// Records that a machine's record names another partition, and applies nothing else of it.
void recordDeparture(ClusterState& clusterState, const protocol::Event& event);

}  // namespace fawnwheel::storage
