/// @file
/// Keeps the cloud's catalog of machine types up to date.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/replication/transaction_pipeline.h"

namespace fawnwheel::coordination {

/// Loads `Context::catalog` from the cloud, and records it for controllers that start while the
/// cloud does not answer.
class MachineCatalog {
  public:
    MachineCatalog(Context& context, Membership& membership, TransactionPipeline& pipeline)
        : context_(context), membership_(membership), pipeline_(pipeline) {}

    /// Begins to load the catalog, again and again.
    void start();
    /// Uses the recorded catalog as long as the cloud has not answered.
    void restoreRecorded();
    /// Records the catalog if none is recorded and nothing else is being written.
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
