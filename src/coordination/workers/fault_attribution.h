// Tells jobs with a mistake from faulty machines, by where tasks fail.
//
// A faulty machine fails the tasks of any job; a job with a mistake fails on any machine. A job
// that has had a task done has no such mistake, so that its failures speak against the machines.
// What fails on several machines without ever having been done is taken to be the job's fault
// (`Job::crashLooping`).
#pragma once

#include "coordination/context.h"

namespace fawnwheel::coordination {

class FaultAttribution {
  public:
    explicit FaultAttribution(Context& context) : context_(context) {}

    // A task has ended with an error. Called before its allocation is removed.
    void onTaskFailed(ClusterState& clusterState, Machine& machine, Job& job, Slice& slice,
                      const Allocation& allocation);
    // A task has been done.
    void onTaskDone(ClusterState& clusterState, Machine& machine, Job& job);
    // A task runs: one that does so for longer than those that failed shows that the job is sound.
    void onTaskRunning(Job& job, Slice& slice, const Allocation& allocation);

  private:
    void blameJob(ClusterState& clusterState, Job& job, std::uint32_t partition);
    void blameMachine(Machine& machine, const Job& job);
    void quarantine(Machine& machine);

    Context& context_;
};

}  // namespace fawnwheel::coordination
