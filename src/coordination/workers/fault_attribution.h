/// @file
/// Distinguishes crash-looping jobs from faulty machines by where tasks fail.
///
/// A faulty machine fails the tasks of any job; a crash-looping job fails on any machine. Once a
/// task of a job has succeeded, further failures of the job count against the machines. A job whose
/// tasks fail on several machines and never succeed is taken to be at fault itself
/// (`Job::crashLooping`).
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Attributes each task failure to the job or to the machine. Faulty machines are quarantined;
/// crash-looping jobs are retried with single probes and exponential backoff.
class FaultAttribution {
  public:
    explicit FaultAttribution(Context& context) : context_(context) {}

    /// Handles a task that ended with an error. Must be called before its allocation is removed.
    void onTaskFailed(ClusterState& clusterState, Machine& machine, Job& job, Slice& slice,
                      const Allocation& allocation);
    /// Handles a task that succeeded on the machine.
    void onTaskDone(ClusterState& clusterState, Machine& machine, Job& job);
    /// Handles a running task. A task that runs for clearly longer than the failed ones shows that
    /// the job is not crash-looping.
    void onTaskRunning(Job& job, Slice& slice, const Allocation& allocation);

  private:
    /// Postpones the next probe of a crash-looping job.
    void backOff(Job& job);
    void attributeToJob(ClusterState& clusterState, Job& job, PartitionId partition);
    void attributeToMachine(Machine& machine, const Job& job);
    void quarantine(Machine& machine);

    Context& context_;
};

}  // namespace fawnwheel::coordination
