/// @file
/// How a job's failures make it count as crash-looping, and how they are stored in the records.
#include <gtest/gtest.h>

#include "storage/records.h"

namespace fawnwheel::storage {
namespace {

using std::chrono::seconds;

class FailingJob : public ::testing::Test {
  protected:
    FailingJob() {
        job.spec.id = "run-1";
        job.spec.jobClass = "class";
        job.spec.team = "crew";
        job.spec.image = "image";
        job.spec.taskResources = {1, 0, 1};
        job.spec.tasks = 8;
        job.sliceSize = 4;
        job.slices = makeSlices(job.spec, 4, 0);
        job.failures.anyFailure = true;
    }

    Job job;
};

// Guards against holding a healthy job back because two machines are faulty: only failures on three
// machines make a job count as crash-looping.
TEST_F(FailingJob, FailuresOnTwoMachinesAreNotAttributedToTheJob) {
    job.slices[0].failures = 2;
    EXPECT_FALSE(job.crashLooping());
}

// A job's slices can have different leaders, each of which sees only some of the failures. Guards
// against a crash-looping job that no leader recognises.
TEST_F(FailingJob, FailuresInAllSlicesAreAddedUp) {
    job.slices[0].failures = 2;
    job.slices[1].failures = 1;
    EXPECT_TRUE(job.crashLooping());
}

// Guards against holding back a job that can succeed: its further failures count against the
// machines.
TEST_F(FailingJob, IsNotCrashLoopingOnceATaskIsDone) {
    job.slices[0].failures = 5;
    job.slices[1].markDone(6);
    EXPECT_FALSE(job.crashLooping());
}

// A crash-looping job gets no new capacity, but a task that already has its allocation (such as a
// probe) must still be started.
TEST_F(FailingJob, IsStartableButNotSchedulableWhenCrashLooping) {
    job.slices[0].failures = 3;
    const ClusterState clusterState;
    EXPECT_FALSE(clusterState.schedulable(job));
    EXPECT_TRUE(clusterState.startable(job));
}

// A task must not return at once to the machine on which it failed, nor avoid that machine
// forever, since it may be the only one that fits.
TEST_F(FailingJob, AvoidsAMachineOnlyForALimitedTime) {
    const SteadyTime failed{seconds(100)};
    job.failures.machines["m-1"] = failed;
    EXPECT_TRUE(job.avoids("m-1", failed + seconds(30)));
    EXPECT_FALSE(job.avoids("m-2", failed + seconds(30)));
    EXPECT_FALSE(job.avoids("m-1", failed + seconds(61)));
}

// Guards against a failover that resets the failure count: the next leader would treat a
// crash-looping job as healthy.
TEST_F(FailingJob, NextLeaderReadsFailuresFromTheRecords) {
    ClusterState clusterState;
    applyEvent(clusterState, {keys::job("run-1"), jobValue(job), 5}, {});
    Slice failed = job.slices[1];
    failed.failures = 3;
    applyEvent(clusterState, {keys::slice("run-1", 1), sliceValue(failed), 6}, {});
    ASSERT_NE(clusterState.job("run-1"), nullptr);
    EXPECT_TRUE(clusterState.job("run-1")->crashLooping());
}

// Guards against a change of stored records: a slice without failures has no `failures` field.
TEST_F(FailingJob, RecordOmitsTheFieldWithoutFailures) {
    EXPECT_FALSE(sliceValue(job.slices[0]).contains("failures"));
}

// Guards against failures that are lost or counted twice when a slice is divided.
TEST_F(FailingJob, DividingASliceKeepsTheNumberOfFailures) {
    job.slices[0].failures = 3;
    const auto pieces = cutSlice(job.slices[0], {2}, 2);
    ASSERT_EQ(pieces.size(), 2U);
    EXPECT_EQ(pieces[0].failures + pieces[1].failures, 3U);
}

// Guards against failures that are kept without being recorded: `markDirty` must save the recorded
// content before a change, so that the change can be discarded.
TEST_F(FailingJob, UnrecordedFailuresCanBeDiscarded) {
    Slice& slice = job.slices[0];
    slice.markDirty();
    slice.failures = 3;
    EXPECT_EQ(slice.recorded.failures, 0U);
}

}  // namespace
}  // namespace fawnwheel::storage
