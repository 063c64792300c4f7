/// @file
/// Tells crash-looping jobs from faulty machines, by where tasks fail.
///
/// A faulty machine fails the tasks of any job; a crash-looping job fails on any machine. A job
/// that has had a task done is sound, so that its failures speak against the machines. What fails
/// on several machines without ever having been done is taken to be the job's fault
/// (`Job::crashLooping`).
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Attributes each failure of a task to its job or its machine. Faulty machines are quarantined;
/// crash-looping jobs are retried by single probes with exponential backoff.
class FaultAttribution {
  public:
    explicit FaultAttribution(Context& context) : context_(context) {}

    /// A task has ended with an error. To be called before its allocation is removed.
    void onTaskFailed(ClusterState& clusterState, Machine& machine, Job& job, Slice& slice,
                      const Allocation& allocation);
    /// A task has been done on the machine.
    void onTaskDone(ClusterState& clusterState, Machine& machine, Job& job);
    /// A task runs: one that does so for longer than those that failed shows that the job is sound.
    void onTaskRunning(Job& job, Slice& slice, const Allocation& allocation);

  private:
    /// Postpones the next probe of a job that is known to be crash-looping.
    void backOff(Job& job);
    void blameJob(ClusterState& clusterState, Job& job, PartitionId partition);
    void blameMachine(Machine& machine, const Job& job);
    void quarantine(Machine& machine);

    Context& context_;
};

}  // namespace fawnwheel::coordination
