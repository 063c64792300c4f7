/// @file
/// Applies records that were read or watched to the cluster state.
#pragma once

#include "protocol/state_client.h"
#include "storage/cluster_state.h"

namespace fawnwheel::storage {

/// Applies a record, as delivered by the watch or a reading of all records, unless the cluster
/// state already holds the same or a newer version of it. An event without a value is a deletion.
/// Invalid records are ignored.
void applyEvent(ClusterState& clusterState, const protocol::Event& event, SteadyTime now);

/// Applies a record from the answer to a read or a transaction. The answer may arrive after the
/// watch has delivered later changes. If the cluster state includes the record's revision but does
/// not hold the record, the record has been deleted since and is ignored. An event without a value
/// means that the record did not exist at that revision.
void applyAnswer(ClusterState& clusterState, const protocol::Event& event, SteadyTime now);

/// Applies only the cancellation from a job's record, and ignores the rest of the record.
void recordCancellation(ClusterState& clusterState, const protocol::Event& event);

/// Notes in `departedTo` whether a machine's record names another partition, and ignores the rest
/// of the record.
void recordDeparture(ClusterState& clusterState, const protocol::Event& event);

}  // namespace fawnwheel::storage
