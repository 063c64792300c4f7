/// @file
/// Keeps the cloud's catalog of machine types up to date.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/replication/transaction_pipeline.h"

namespace fawnwheel::coordination {

/// Loads `Context::catalog` from the cloud and records it in the state service, for controllers
/// that start while the cloud does not respond.
class MachineCatalog {
  public:
    MachineCatalog(Context& context, Membership& membership, TransactionPipeline& pipeline)
        : context_(context), membership_(membership), pipeline_(pipeline) {}

    /// Starts loading the catalog periodically.
    void start();
    /// Uses the recorded catalog if none has been loaded from the cloud yet.
    void restoreRecorded();
    /// Records the loaded catalog if none is recorded and partition 0 has no write in flight.
    void recordIfMissing(const ClusterState& clusterState);

  private:
    void load();
    void record();

    Context& context_;
    Membership& membership_;
    TransactionPipeline& pipeline_;
    bool loaded_ = false;
};

}  // namespace fawnwheel::coordination
