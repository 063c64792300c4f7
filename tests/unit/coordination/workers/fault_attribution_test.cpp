/// @file
/// Crash-looping jobs told apart from faulty machines, and what the records keep of it.
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
        job.spec.each = {1, 0, 1};
        job.spec.tasks = 8;
        job.sliceSize = 4;
        job.slices = makeSlices(job.spec, 4, 0);
        job.failures.anyFailure = true;
    }

    Job job;
};

TEST_F(FailingJob, TwoFaultyMachinesDoNotBlameTheJob) {
    job.slices[0].failures = 2;
    EXPECT_FALSE(job.crashLooping());
}

TEST_F(FailingJob, SlicesOfSeveralLeadersCountTogether) {
    job.slices[0].failures = 2;
    job.slices[1].failures = 1;
    EXPECT_TRUE(job.crashLooping());
}

TEST_F(FailingJob, ATaskThatIsDoneClearsTheJob) {
    job.slices[0].failures = 5;
    job.slices[1].markDone(6);
    EXPECT_FALSE(job.crashLooping());
}

TEST_F(FailingJob, IsNotSchedulableButMayBeStarted) {
    job.slices[0].failures = 3;
    const ClusterState clusterState;
    EXPECT_FALSE(clusterState.schedulable(job));
    EXPECT_TRUE(clusterState.startable(job));
}

TEST_F(FailingJob, AvoidsAMachineForAWhileOnly) {
    const SteadyTime failed{seconds(100)};
    job.failures.machines["m-1"] = failed;
    EXPECT_TRUE(job.avoids("m-1", failed + seconds(30)));
    EXPECT_FALSE(job.avoids("m-2", failed + seconds(30)));
    EXPECT_FALSE(job.avoids("m-1", failed + seconds(61)));
}

TEST_F(FailingJob, IsKnownToTheNextLeaderFromTheRecords) {
    ClusterState clusterState;
    applyEvent(clusterState, {keys::job("run-1"), jobValue(job), 5}, {});
    Slice failed = job.slices[1];
    failed.failures = 3;
    applyEvent(clusterState, {keys::slice("run-1", 1), sliceValue(failed), 6}, {});
    ASSERT_NE(clusterState.job("run-1"), nullptr);
    EXPECT_TRUE(clusterState.job("run-1")->crashLooping());
}

TEST_F(FailingJob, ARecordWithoutFailuresIsWrittenAsBefore) {
    EXPECT_FALSE(sliceValue(job.slices[0]).contains("failures"));
}

TEST_F(FailingJob, DivisionKeepsTheSum) {
    job.slices[0].failures = 3;
    const auto pieces = cutSlice(job.slices[0], {2}, 2);
    ASSERT_EQ(pieces.size(), 2U);
    EXPECT_EQ(pieces[0].failures + pieces[1].failures, 3U);
}

TEST_F(FailingJob, WhatWasNotRecordedCanBeDiscarded) {
    Slice& slice = job.slices[0];
    slice.markDirty();
    slice.failures = 3;
    EXPECT_EQ(slice.recorded.failures, 0U);
}

}  // namespace
}  // namespace fawnwheel::storage
