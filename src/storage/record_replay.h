/// @file
/// Applies records that were read or watched to the cluster state.
#pragma once

#include "protocol/state_client.h"
#include "storage/cluster_state.h"

namespace fawnwheel::storage {

/// Applies a record unless the cluster state already holds the same or a newer version of it. An
/// event without a value is a deletion. Invalid records are ignored.
void applyEvent(ClusterState& clusterState, const protocol::Event& event, SteadyTime now);

/// Applies only the cancellation from a job's record, and ignores the rest of the record.
void recordCancellation(ClusterState& clusterState, const protocol::Event& event);

/// Notes in `departedTo` whether a machine's record names another partition, and ignores the rest
/// of the record.
void recordDeparture(ClusterState& clusterState, const protocol::Event& event);

}  // namespace fawnwheel::storage
