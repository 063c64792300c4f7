// Tests of how records are applied to the cluster state, and of the sizes of slices.
#include "storage/records.h"

#include <gtest/gtest.h>

namespace fawnwheel::storage {
namespace {

class RecordsTest : public ::testing::Test {
  protected:
    void put(const std::string& key, const Json& value, std::uint64_t version) {
        applyEvent(clusterState, {key, value, version}, {});
    }
    void drop(const std::string& key, std::uint64_t version) {
        applyEvent(clusterState, {key, std::nullopt, version}, {});
    }
    Job makeJob(std::uint32_t tasks) {
        Job job;
        job.spec.id = "run-1";
        job.spec.jobClass = "c";
        job.spec.team = "t";
        job.spec.tasks = tasks;
        job.spec.taskResources = {2, 0, 1};
        job.spec.image = "i";
        job.sliceSize = 4;
        job.slices = makeSlices(job.spec, 4, 1);
        job.partition = 1;
        return job;
    }
    void putMachine(const std::string& id, std::uint64_t version) {
        Machine machine;
        machine.type = "small";
        machine.zone = "a";
        machine.partition = 1;
        put(keys::machine(id), machineValue(machine), version);
    }

    ClusterState clusterState;
};

// The replica must hold a job's slices and allocations as recorded, and index an allocation also if
// its machine's record is read later.
TEST_F(RecordsTest, ReplicatesAJobWithItsSlicesAndAllocations) {
    const Job job = makeJob(10);
    put(keys::job("run-1"), jobValue(job), 5);
    ASSERT_NE(clusterState.job("run-1"), nullptr);
    ASSERT_EQ(clusterState.job("run-1")->slices.size(), 3U);
    EXPECT_EQ(clusterState.job("run-1")->slices[2].done.size(), 2U);

    Slice slice = job.slices[1];
    slice.partition = 2;
    slice.markDone(4);
    slice.markDone(5);
    slice.markDone(7);
    Allocation allocation;
    allocation.task = 6;
    allocation.machine = "m-1";
    allocation.attempt = 1ULL << 40U;
    slice.allocations.push_back(allocation);
    put(keys::slice("run-1", 1), sliceValue(slice), 8);
    Slice& read = clusterState.job("run-1")->slices[1];
    EXPECT_EQ(read.partition, 2U);
    EXPECT_EQ(read.done, slice.done);
    EXPECT_EQ(read.doneCount, 3U);
    ASSERT_EQ(read.allocations.size(), 1U);
    EXPECT_EQ(read.allocations[0].attempt, 1ULL << 40U);
    EXPECT_TRUE(read.allocations[0].durable);

    // The machine's record is read after the slice's.
    putMachine("m-1", 9);
    EXPECT_EQ(clusterState.machine("m-1")->allocations.size(), 1U);
    EXPECT_DOUBLE_EQ(clusterState.machine("m-1")->used.cpus, 2);
}

// An event can be delivered after a newer one for the same key. An older version or deletion must
// not replace the newer record.
TEST_F(RecordsTest, IgnoresOlderEvents) {
    Job job = makeJob(2);
    job.cancelled = true;
    put(keys::job("run-1"), jobValue(job), 9);
    job.cancelled = false;
    put(keys::job("run-1"), jobValue(job), 7);
    EXPECT_TRUE(clusterState.job("run-1")->cancelled);
    drop(keys::job("run-1"), 8);
    EXPECT_NE(clusterState.job("run-1"), nullptr);
    drop(keys::job("run-1"), 10);
    EXPECT_EQ(clusterState.job("run-1"), nullptr);
}

// When a job's record names another partition, slices with records of their own must stay where
// those records place them.
TEST_F(RecordsTest, TransferOfAJobMovesOnlySlicesWithoutRecords) {
    Job job = makeJob(8);
    put(keys::job("run-1"), jobValue(job), 2);
    put(keys::slice("run-1", 0), sliceValue(job.slices[0]), 3);
    job.partition = 2;
    put(keys::job("run-1"), jobValue(job), 4);
    EXPECT_EQ(clusterState.job("run-1")->slices[0].partition, 1U);
    EXPECT_EQ(clusterState.job("run-1")->slices[1].partition, 2U);
}

// The state service rejects values above its size limit. A slice with all tasks allocated and long
// names must fit into a value.
TEST_F(RecordsTest, SlicesFitIntoAValue) {
    Job job = makeJob(100'000);
    job.spec.id = "run-000000000001";
    for (const double kb : {4.0, 16.0}) {
        for (const auto kind : {protocol::JobKind::array, protocol::JobKind::gang}) {
            for (const bool divisible : {false, true}) {
                job.spec.kind = kind;
                const auto size = sliceSizeFor(job.spec, {kb, 20}, divisible);
                auto slices = makeSlices(job.spec, size, 2);
                Slice& slice = slices.front();
                for (std::uint32_t i = 0; i < slice.done.size(); ++i) {
                    Allocation allocation;
                    allocation.task = i;
                    allocation.machine = "m-123456789";
                    allocation.attempt = (1ULL << 44U) + i;
                    slice.allocations.push_back(allocation);
                }
                EXPECT_LE(sliceValue(slice).dump().size(), kb * 1024) << kb;
            }
        }
    }
}

// With small slices, recording a huge array takes more writes than the state service allows. The
// slices must grow with the array and with a lower write rate, up to the size of a value.
TEST_F(RecordsTest, SlicesOfAHugeArrayDependOnTheWriteRate) {
    Job job = makeJob(20'000);
    EXPECT_EQ(sliceSizeFor(job.spec, {16, 80}, true), 50U);
    EXPECT_EQ(sliceSizeFor(job.spec, {16, 20}, true), 200U);
    EXPECT_EQ(sliceSizeFor(job.spec, {4, 20}, true), 78U);  // limited by the size of a value
    job.spec.tasks = 100;
    EXPECT_EQ(sliceSizeFor(job.spec, {16, 20}, true), 40U);
}

// The records of a division have the same revision and can be applied in either order. Each task,
// done flag and allocation must then be in exactly one slice.
TEST_F(RecordsTest, DivisionPutsEachTaskIntoOneSliceInEitherOrder) {
    const Job job = makeJob(10);
    put(keys::job("run-1"), jobValue(job), 5);
    putMachine("m-1", 6);
    Slice whole = job.slices[1];
    whole.markDone(4);
    Allocation allocation;
    allocation.task = 6;
    allocation.machine = "m-1";
    allocation.attempt = 9;
    whole.allocations.push_back(allocation);
    put(keys::slice("run-1", 1), sliceValue(whole), 7);
    ASSERT_EQ(clusterState.machine("m-1")->allocations.size(), 1U);

    const auto pieces = cutSlice(whole, {6, 7}, 3);
    ASSERT_EQ(pieces.size(), 3U);
    // Applies the records of the division, which have the same revision, in both orders.
    for (const bool backwards : {false, true}) {
        clusterState.clearRecords();
        clusterState.rebuildIndexes();
        put(keys::job("run-1"), jobValue(job), 5);
        putMachine("m-1", 6);
        put(keys::slice("run-1", 1), sliceValue(whole), 7);
        auto records = pieces;
        if (backwards) std::reverse(records.begin(), records.end());
        for (const auto& piece : records)
            put(keys::slice("run-1", piece.index), sliceValue(piece), 8);
        Job& read = *clusterState.job("run-1");
        ASSERT_EQ(read.slices.size(), 5U);
        EXPECT_EQ(read.slices[1].range(), (TaskRange{4, 2}));
        EXPECT_EQ(read.slices[3].range(), (TaskRange{6, 1}));
        EXPECT_EQ(read.slices[4].range(), (TaskRange{7, 1}));
        EXPECT_EQ(read.sliceOf(6), &read.slices[3]);
        EXPECT_EQ(read.sliceOf(5), &read.slices[1]);
        EXPECT_EQ(read.doneTasks(), 1U);
        EXPECT_EQ(read.allocatedTasks(), 1U);
        EXPECT_EQ(clusterState.machine("m-1")->allocations.size(), 1U);
        EXPECT_DOUBLE_EQ(clusterState.machine("m-1")->used.cpus, 2);
        EXPECT_EQ(sliceValue(read.slices[3]), sliceValue(pieces[1]));
    }
}

// After a division, the first piece's record shortens the slice before the other piece's record is
// read. The job must not count as complete if only the tasks read so far are done.
TEST_F(RecordsTest, JobIsNotCompleteWhileAPieceIsUnread) {
    Job job = makeJob(4);
    put(keys::job("run-1"), jobValue(job), 5);
    auto pieces = cutSlice(job.slices[0], {2}, 1);
    pieces[0].markDone(0);
    pieces[0].markDone(1);
    put(keys::slice("run-1", 0), sliceValue(pieces[0]), 6);
    EXPECT_FALSE(clusterState.job("run-1")->complete());
    pieces[1].markDone(2);
    pieces[1].markDone(3);
    put(keys::slice("run-1", 1), sliceValue(pieces[1]), 6);
    EXPECT_TRUE(clusterState.job("run-1")->complete());
}

// A slice's record from before its division can be read after the record of a piece. The older
// range must be truncated, so that no task is in two slices.
TEST_F(RecordsTest, OlderRecordDoesNotCoverADividedPiece) {
    const Job job = makeJob(4);
    put(keys::job("run-1"), jobValue(job), 5);
    Slice whole = job.slices[0];
    whole.markDone(3);
    const auto pieces = cutSlice(whole, {2}, 1);
    put(keys::slice("run-1", 1), sliceValue(pieces[1]), 8);
    put(keys::slice("run-1", 0), sliceValue(whole), 6);
    const Job& read = *clusterState.job("run-1");
    EXPECT_EQ(read.slices[0].range(), (TaskRange{0, 2}));
    EXPECT_TRUE(read.slices[0].divided);
    EXPECT_EQ(read.doneTasks(), 1U);
}

// Overlapping slices count done tasks twice. A job must be complete only if each task is done, not
// if the sum over the slices reaches the number of tasks.
TEST_F(RecordsTest, JobIsCompleteOnlyIfEachTaskIsDone) {
    Job job = makeJob(4);
    job.slices[0].markDone(0);
    job.slices[0].markDone(1);
    job.slices.push_back(job.slices[0]);
    ASSERT_EQ(job.doneTasks(), 4U);
    EXPECT_FALSE(job.complete());
}

// A leader that may have lost its partition must return its slices and the machines' indexes to the
// recorded content.
TEST_F(RecordsTest, DiscardsUnrecordedChanges) {
    Job job = makeJob(8);
    Slice first = job.slices[0];
    Allocation allocation;
    allocation.task = 1;
    allocation.machine = "m-1";
    allocation.attempt = 7;
    first.allocations.push_back(allocation);
    put(keys::job("run-1"), jobValue(job), 5);
    putMachine("m-1", 6);
    put(keys::slice("run-1", 0), sliceValue(first), 7);
    Job& known = *clusterState.job("run-1");
    clusterState.removeAllocation(known, known.slices[0], 1);
    known.slices[0].markDone(1);
    allocation.task = 5;
    clusterState.addAllocation(known, known.slices[1], allocation);
    EXPECT_TRUE(clusterState.hasUnrecordedChanges(1));
    clusterState.discardUnrecordedChanges(1);
    EXPECT_FALSE(clusterState.hasUnrecordedChanges(1));
    EXPECT_EQ(sliceValue(known.slices[0]), sliceValue(first));
    EXPECT_EQ(sliceValue(known.slices[1]), sliceValue(job.slices[1]));
    EXPECT_EQ(clusterState.machine("m-1")->allocations, (std::vector<TaskRef>{{"run-1", 1, 7}}));
}

// Corrupt slice records with ranges or indexes outside the job must not change the job's slices or
// overflow.
TEST_F(RecordsTest, IgnoresRangesOutsideTheJob) {
    put(keys::job("run-1"), jobValue(makeJob(4)), 5);
    for (const auto* range :
         {R"({"first":3,"count":2})", R"({"first":4,"count":1})", R"({"first":0,"count":0})",
          R"({"first":0,"count":18446744073709551615})"})
        put(keys::slice("run-1", 1), Json::parse(range), 6);
    EXPECT_EQ(clusterState.job("run-1")->doneTasks(), 0U);
    EXPECT_EQ(clusterState.job("run-1")->sliceOf(3)->index, 0U);
    put(keys::slice("run-1", 9999), sliceValue(makeJob(4).slices[0]), 6);
    EXPECT_LE(clusterState.job("run-1")->slices.size(), 2U);
}

// A node that has run a newer version must not be downgraded. Deleting the record of its feature
// gate must not make the node count as never upgraded.
TEST_F(RecordsTest, FeatureGatesSurviveDeletion) {
    put(keys::jobDependenciesGate("node-1"), featureGateValue(), 5);
    drop(keys::jobDependenciesGate("node-1"), 6);
    EXPECT_TRUE(clusterState.nodesWithJobDependencies.contains("node-1"));
}

// A machine whose record was deleted can still be in an outdated list from the cloud. Its name must
// be kept, so that the machine isn't taken for a new one.
TEST_F(RecordsTest, KeepsTheNamesOfDeletedMachines) {
    putMachine("m-1", 3);
    drop(keys::machine("m-1"), 4);
    EXPECT_EQ(clusterState.machine("m-1"), nullptr);
    EXPECT_TRUE(clusterState.deletedMachines.contains("m-1"));
}

// While a transaction on a job's record is in flight, a newer event may apply only its
// cancellation: the job's record and version must stay unchanged.
TEST_F(RecordsTest, RecordingACancellationAppliesNothingElse) {
    auto job = makeJob(3);
    job.cancelled = true;
    const protocol::Event event{keys::job(job.spec.id), jobValue(job), 9};
    job.cancelled = false;
    applyEvent(clusterState, {event.key, jobValue(job), 5}, {});
    EXPECT_FALSE(clusterState.knownCancelled(*clusterState.job(job.spec.id)));
    recordCancellation(clusterState, event);
    EXPECT_TRUE(clusterState.knownCancelled(*clusterState.job(job.spec.id)));
    EXPECT_FALSE(clusterState.job(job.spec.id)->cancelled);
    EXPECT_EQ(clusterState.job(job.spec.id)->version, 5U);
}

// A leader that read only the last of two transfers of a machine, away and back, counted the
// worker's lease from before the first one, although the other leader had renewed it since.
TEST_F(RecordsTest, LeaseOfAMachineThatHasComeBackIsCountedAnew) {
    Machine machine;
    machine.type = "small";
    machine.zone = "a";
    machine.partition = 1;
    const SteadyTime firstRead{std::chrono::seconds(100)};
    applyEvent(clusterState, {keys::machine("m-1"), machineValue(machine), 5}, firstRead);
    machine.minFencingToken = 512;
    machine.transferredBy = "node-2";
    const SteadyTime cameBack{std::chrono::seconds(200)};
    applyEvent(clusterState, {keys::machine("m-1"), machineValue(machine), 9}, cameBack);
    const auto* known = clusterState.machine("m-1");
    EXPECT_EQ(known->lastPossibleRenewal, cameBack);
    EXPECT_FALSE(known->acknowledged());
    // A write that is no transfer leaves the count as it is.
    machine.decommissioned = true;
    applyEvent(clusterState, {keys::machine("m-1"), machineValue(machine), 11},
               SteadyTime{std::chrono::seconds(300)});
    EXPECT_EQ(known->lastPossibleRenewal, cameBack);
}

// Guards against an allocation on a machine of another partition: a slice without a record follows
// its job to another partition. Its former leader's allocation, which is in no record, must not go
// along.
TEST_F(RecordsTest, SliceWithoutRecordLeavesUnrecordedAllocationsBehind) {
    putMachine("m-1", 3);
    Job job = makeJob(4);
    put(keys::job("run-1"), jobValue(job), 5);
    Job& known = *clusterState.job("run-1");
    Allocation allocation;
    allocation.task = 2;
    allocation.machine = "m-1";
    allocation.attempt = 7;
    clusterState.addAllocation(known, known.slices[0], allocation);
    job.partition = 2;
    put(keys::job("run-1"), jobValue(job), 8);
    EXPECT_EQ(known.slices[0].partition, 2U);
    EXPECT_EQ(known.allocatedTasks(), 0U);
    EXPECT_FALSE(known.slices[0].dirty);
    EXPECT_TRUE(clusterState.machine("m-1")->allocations.empty());
    EXPECT_EQ(clusterState.machine("m-1")->used.cpus, 0);
}

// Guards against records that come back for ever: the answer to a read arrives after the watch has
// delivered the deletion of what was read, and no later event removes it again.
TEST_F(RecordsTest, LateAnswerDoesNotReviveDeletedRecords) {
    const Job job = makeJob(4);
    putMachine("m-1", 3);
    put(keys::node("node-1"), Json::object(), 4);
    put(keys::job("run-1"), jobValue(job), 5);
    put(keys::slice("run-1", 0), sliceValue(job.slices[0]), 6);
    drop(keys::job("run-1"), 10);
    drop(keys::slice("run-1", 0), 10);
    drop(keys::machine("m-1"), 11);
    drop(keys::node("node-1"), 12);
    clusterState.appliedRevision = 12;
    Machine machine;
    machine.type = "small";
    machine.zone = "a";
    machine.partition = 1;
    applyAnswer(clusterState, {keys::job("run-1"), jobValue(job), 5}, {});
    applyAnswer(clusterState, {keys::slice("run-1", 0), sliceValue(job.slices[0]), 6}, {});
    applyAnswer(clusterState, {keys::machine("m-1"), machineValue(machine), 3}, {});
    applyAnswer(clusterState, {keys::node("node-1"), Json::object(), 4}, {});
    EXPECT_EQ(clusterState.job("run-1"), nullptr);
    EXPECT_TRUE(clusterState.orphanedRecords.empty());
    EXPECT_EQ(clusterState.machine("m-1"), nullptr);
    EXPECT_FALSE(clusterState.nodes.contains("node-1"));
}

// An answer may also be ahead of the watch, and then counts at once, until the watch has delivered
// what follows.
TEST_F(RecordsTest, AnswerAheadOfTheWatchIsApplied) {
    Job job = makeJob(4);
    put(keys::node("node-1"), Json::object(), 4);
    drop(keys::node("node-1"), 6);
    clusterState.appliedRevision = 7;
    applyAnswer(clusterState, {keys::job("run-1"), jobValue(job), 8}, {});
    applyAnswer(clusterState, {keys::node("node-1"), Json::object(), 9}, {});
    ASSERT_NE(clusterState.job("run-1"), nullptr);
    EXPECT_TRUE(clusterState.nodes.contains("node-1"));
    // Read as absent before it was created: the record stays.
    applyAnswer(clusterState, {keys::job("run-1"), std::nullopt, 7}, {});
    EXPECT_NE(clusterState.job("run-1"), nullptr);
    job.cancelled = true;
    clusterState.appliedRevision = 12;
    // Held back from the watch's events because its key was in flight.
    applyAnswer(clusterState, {keys::job("run-1"), jobValue(job), 11}, {});
    EXPECT_TRUE(clusterState.job("run-1")->cancelled);
    applyAnswer(clusterState, {keys::job("run-1"), std::nullopt, 13}, {});
    EXPECT_EQ(clusterState.job("run-1"), nullptr);
}

}  // namespace
}  // namespace fawnwheel::storage
