// What a leader's records hold after its transactions were refused, lost, late or overtaken.
#include "coordination/replication/replication_fixture.h"

namespace fawnwheel::coordination {
namespace {

using storage::keys::job;
using storage::keys::partition;
using storage::keys::slice;

bool allOnce(const std::vector<int>& cover) {
    return !cover.empty() &&
           std::all_of(cover.begin(), cover.end(), [](int count) { return count == 1; });
}

class FewWrites : public ReplicationTest {
  protected:
    FewWrites() : ReplicationTest(16, 4) {}
};

// The end of a job of many slices does not fit into one transaction. Its other slices' records were
// once queued to be deleted before it was known whether the job had ended: refused, it lived on
// with another leader, its records went, and its running tasks were unknown to every leader.
TEST_F(FewWrites, ARefusedEndLeavesTheSlicesOfTheJob) {
    Job made = makeJob(40, 4);
    for (auto& piece : made.slices)
        for (auto task = piece.first; task < piece.range().end(); ++task) piece.markDone(task);
    made.slices[9].done.assign(4, false);
    made.slices[9].doneCount = 0;
    made.slices[9].allocations.push_back(makeAllocation(36, "m-1", 7));
    putJob(made);
    for (const auto& piece : made.slices) putSlice(made, piece);
    loadRecords();
    {
        // Ended, as far as this leader has heard from the workers; none of it is recorded yet.
        auto clusterState = context.clusterState.lock();
        Job& known = *clusterState->job("run-1");
        clusterState->removeAllocation(known, known.slices[9], 36);
        for (std::uint32_t task = 36; task < 40; ++task) known.slices[9].markDone(task);
    }
    stateWriter.flush(0);
    // The partition goes to a peer before the end is carried out.
    putPartition(0, "node-1", 2);
    serveAll();
    ASSERT_TRUE(state.records.contains(job("run-1")));
    stateWriter.flush(1);
    serveAll();
    EXPECT_EQ(sliceRecords("run-1"), 10U);
    EXPECT_TRUE(state.records.contains(slice("run-1", 9)));
}

// Nothing stays of a job that has ended, also if the leader that committed its end stops before it
// has deleted the rest.
TEST_F(FewWrites, SlicesOfAnEndedJobGoWhoeverLeadsItsPartitionByThen) {
    const Job made = makeJob(40, 4);
    for (const auto& piece : made.slices) putSlice(made, piece);
    putJob(makeJob(1, 1));
    state.records.erase(job("run-1"));
    replica.start();
    serveAll();
    for (int i = 0; i < 6; ++i) {
        stateWriter.flush(0);
        serveAll();
    }
    EXPECT_EQ(sliceRecords("run-1"), 0U);
}

class SmallValues : public ReplicationTest {
  protected:
    SmallValues() : ReplicationTest(1, 12) {}

    // Two slices of one job, each in a partition of its own and too large for a value.
    void putTwoLargeSlices() {
        Job made = makeJob(80, 40);
        made.slices[1].partition = 1;
        for (auto& piece : made.slices)
            for (auto task = piece.first; task < piece.range().end(); ++task)
                piece.allocations.push_back(makeAllocation(task, "m-000001", (1ULL << 44U) + task));
        putJob(made);
        for (const auto& piece : made.slices) putSlice(made, piece);
        loadRecords();
        auto clusterState = context.clusterState.lock();
        Job& known = *clusterState->job("run-1");
        for (const std::uint32_t task : {3U, 43U})
            clusterState->removeAllocation(known, *known.sliceOf(task), task);
    }
};

// After a failover one node leads two partitions and divides a slice in each at the same moment.
// What it read back for the one that was refused once shortened the slice whose division was still
// unanswered; that one was then cut a second time, beyond its end, and an empty piece was recorded
// over running tasks.
TEST_F(SmallValues, TwoDivisionsOfOneJobLeaveEveryTaskInOneSlice) {
    putTwoLargeSlices();
    stateWriter.flush(0);
    stateWriter.flush(1);
    timers.advance(std::chrono::milliseconds(20));
    const auto first = state.takeTransaction();
    const auto answer = state.execute(first.request);
    const auto second = state.takeTransaction();
    state.serve(second);
    // The reads that the refused one asks for are answered before the first one's answer arrives.
    for (int round = 0; round < 10; ++round) {
        timers.advance(std::chrono::milliseconds(20));
        auto reads = std::exchange(state.pending, {});
        for (const auto& request : reads) state.serve(request);
    }
    first.done(answer);
    serveAll();
    EXPECT_TRUE(allOnce(slicesPerTaskInClusterState("run-1")));
    EXPECT_TRUE(allOnce(slicesPerTaskInRecords("run-1")));
}

// Beyond some 200 records they are read in pages of different moments. A division that is carried
// out between two pages shows in the second one alone.
TEST_F(SmallValues, ADivisionBetweenTwoPagesLeavesEveryTaskInOneSlice) {
    putTwoLargeSlices();
    stateWriter.flush(0);
    timers.advance(std::chrono::milliseconds(20));
    const auto division = state.takeTransaction();
    // Of the keys before it, the divided slice's is the last of the first page.
    const auto before = std::distance(state.records.upper_bound(storage::keys::activePrefix),
                                      state.records.upper_bound(slice("run-1", 0)));
    state.pageSize = static_cast<std::size_t>(before);
    replica.resync();
    timers.advance(std::chrono::milliseconds(20));
    ASSERT_EQ(state.pending.size(), 1U);
    const auto page = state.pending.front();
    state.pending.clear();
    state.serve(page);
    const auto answer = state.execute(division.request);
    for (int round = 0; round < 20; ++round) {
        timers.advance(std::chrono::milliseconds(20));
        auto reads = std::exchange(state.pending, {});
        for (const auto& request : reads)
            if (!request.isWatch()) state.serve(request);
    }
    division.done(answer);
    EXPECT_TRUE(allOnce(slicesPerTaskInClusterState("run-1")));
    stateWriter.flush(0);
    serveAll();
    EXPECT_TRUE(allOnce(slicesPerTaskInClusterState("run-1")));
    EXPECT_TRUE(allOnce(slicesPerTaskInRecords("run-1")));
}

// The records are read again, as they stood before, while a transaction has no outcome. Applied
// over what was read, its outcome once led to a write that removed the allocations it had recorded.
TEST_F(ReplicationTest, AReadingBeforeTheOutcomeDoesNotUndoIt) {
    Job made = makeJob(4, 4);
    putJob(made);
    putSlice(made, made.slices[0]);
    loadRecords();
    {
        auto clusterState = context.clusterState.lock();
        Job& known = *clusterState->job("run-1");
        clusterState->addAllocation(known, known.slices[0], makeAllocation(0, "m-1", 7));
    }
    stateWriter.flush(0);
    timers.advance(std::chrono::milliseconds(20));
    const auto change = state.takeTransaction();
    replica.resync();
    serveAll();
    ASSERT_TRUE(replica.synced());
    change.done(state.execute(change.request));
    serveAll();
    stateWriter.flush(0);
    serveAll();
    EXPECT_EQ(context.clusterState.lock()->job("run-1")->allocatedTasks(), 1U);
    EXPECT_EQ(state.records.at(slice("run-1", 0)).value["claims"].size(), 1U);
}

// The new leader of a migrated slice may record allocations in it before the migrating leader has
// its answer. What the watch delivers meanwhile was once dropped, and for the leader of the job's
// partition the tasks had no allocations: cancelled, the job ended while they ran.
TEST_F(ReplicationTest, AllocationsThatOvertakeTheAnswerToAMigrationAreKnown) {
    Job made = makeJob(8, 4);
    putJob(made);
    for (const auto& piece : made.slices) putSlice(made, piece);
    loadRecords();
    replica.start();
    serveAll();
    stateWriter.migrate(
        0, {"run-1", 1, {4, 4}, 2, context.now() + std::chrono::seconds(10), [](bool) {}});
    timers.advance(std::chrono::milliseconds(20));
    const auto migrate = state.takeTransaction();
    const auto answer = state.execute(migrate.request);
    made.slices[1].partition = 2;
    made.slices[1].allocations.push_back(makeAllocation(5, "m-2", 9));
    putSlice(made, made.slices[1]);
    serveAll();
    migrate.done(answer);
    serveAll();
    EXPECT_EQ(context.clusterState.lock()->job("run-1")->allocatedTasks(), 1U);
}

// A cancelled job ends when no task of it has an allocation. The leader of its partition may not
// judge that by a slice whose record is in flight at that moment.
TEST_F(ReplicationTest, ACancelledJobDoesNotEndWhileOneOfItsSlicesIsUnderWay) {
    Job made = makeJob(8, 4);
    putJob(made);
    made.slices[1].partition = 1;
    for (const auto& piece : made.slices) putSlice(made, piece);
    loadRecords();
    stateWriter.migrate(
        1, {"run-1", 1, {4, 4}, 2, context.now() + std::chrono::seconds(10), [](bool) {}});
    timers.advance(std::chrono::milliseconds(20));
    const auto migrate = state.takeTransaction();
    state.execute(migrate.request);
    made.slices[1].partition = 2;
    made.slices[1].allocations.push_back(makeAllocation(5, "m-2", 9));
    putSlice(made, made.slices[1]);
    made.cancelled = true;
    putJob(made);
    const auto& record = state.records.at(job("run-1"));
    {
        auto clusterState = context.clusterState.lock();
        storage::applyEvent(*clusterState, {job("run-1"), record.value, record.version}, {});
        clusterState->appliedRevision = state.revision;
    }
    stateWriter.flush(0);
    timers.advance(std::chrono::milliseconds(20));
    EXPECT_EQ(state.transactions(), 0U);
}

// Decided in one term, refused for a while, and sent in the next: what another leader has done
// between the two is unknown to it.
TEST_F(ReplicationTest, WhatWasDecidedInAnEarlierTermIsNotSentInALaterOne) {
    Job made = makeJob(4, 4);
    made.slices[0].allocations.push_back(makeAllocation(0, "m-1", 7));
    putJob(made);
    putSlice(made, made.slices[0]);
    loadRecords();
    {
        auto clusterState = context.clusterState.lock();
        Job& known = *clusterState->job("run-1");
        clusterState->removeAllocation(known, known.slices[0], 0);
    }
    stateWriter.flush(0);
    timers.advance(std::chrono::milliseconds(20));
    const auto refused = state.takeTransaction();
    refused.done(transport::HttpResponse{503, {}, 0});
    putPartition(0, "node-1", 2);
    putPartition(0, "node-0", 3);
    const auto& latest = state.records.at(partition(0));
    storage::applyEvent(*context.clusterState.lock(), {partition(0), latest.value, latest.version},
                        {});
    serveAll();
    EXPECT_EQ(state.records.at(slice("run-1", 0)).value["claims"].size(), 1U);
    EXPECT_EQ(context.clusterState.lock()->job("run-1")->allocatedTasks(), 1U);
}

// Equal values with different versions are not one transaction's: with the later version taken for
// both, the other slice's writes failed for ever.
TEST_F(ReplicationTest, EqualValuesOfDifferentRevisionsAreNotOurTransaction) {
    Job made = makeJob(8, 4);
    putJob(made);
    for (const auto& piece : made.slices) putSlice(made, piece);
    loadRecords();
    {
        auto clusterState = context.clusterState.lock();
        Job& known = *clusterState->job("run-1");
        for (const std::uint32_t task : {0U, 4U}) {
            known.sliceOf(task)->dirty = true;
            known.sliceOf(task)->markDone(task);
        }
    }
    stateWriter.flush(0);
    timers.advance(std::chrono::milliseconds(20));
    const auto lost = state.takeTransaction();
    state.execute(lost.request);
    lost.done(std::nullopt);
    // Written once more, with the same content.
    state.put(slice("run-1", 0), Json(state.records.at(slice("run-1", 0)).value));
    serveAll();
    auto clusterState = context.clusterState.lock();
    for (const std::uint32_t index : {0U, 1U})
        EXPECT_EQ(clusterState->job("run-1")->slices[index].version,
                  state.records.at(slice("run-1", index)).version);
}

// A task that runs without a record keeps its allocation here when its first record is refused; a
// second allocation would let it run twice.
TEST_F(ReplicationTest, ARefusedRecordDoesNotForgetATaskThatRuns) {
    Job made = makeJob(8, 4);
    putJob(made);
    for (const auto& piece : made.slices) putSlice(made, piece);
    loadRecords();
    {
        auto clusterState = context.clusterState.lock();
        Job& known = *clusterState->job("run-1");
        auto found = makeAllocation(0, "m-1", 7);
        found.reported = true;
        clusterState->addAllocation(known, known.slices[0], found);
        clusterState->addAllocation(known, known.slices[1], makeAllocation(4, "m-1", 8));
    }
    stateWriter.flush(0);
    timers.advance(std::chrono::milliseconds(20));
    const auto refused = state.takeTransaction();
    state.put(slice("run-1", 1), Json(state.records.at(slice("run-1", 1)).value));
    state.serve(refused);
    for (int round = 0; round < 10; ++round) {
        timers.advance(std::chrono::milliseconds(20));
        auto reads = std::exchange(state.pending, {});
        for (const auto& request : reads)
            if (!request.isTransaction()) state.serve(request);
    }
    EXPECT_NE(context.clusterState.lock()->job("run-1")->slices[0].allocationOf(0), nullptr);
}

// A slice whose job was created between two pages of a reading is no orphan, although its job is
// not known here yet.
TEST_F(ReplicationTest, ASliceReadBeforeItsJobIsNoOrphan) {
    const Job made = makeJob(4, 4);
    putSlice(made, made.slices[0]);
    loadRecords();
    putJob(made);
    stateWriter.flush(0);
    serveAll();
    EXPECT_EQ(sliceRecords("run-1"), 1U);
}

// This node leads the job's partition and that of its other slice, whose completion is not
// recorded. The latter is lost before the job's end is committed: its new leader may have
// started the task once more.
TEST_F(ReplicationTest, AnEndThatRestsOnALostPartitionIsRefused) {
    Job made = makeJob(8, 4);
    made.slices[1].partition = 1;
    for (std::uint32_t task = 0; task < 4; ++task) made.slices[0].markDone(task);
    made.slices[1].allocations.push_back(makeAllocation(4, "m-1", 7));
    made.cancelled = true;
    putJob(made);
    for (const auto& piece : made.slices) putSlice(made, piece);
    loadRecords();
    {
        auto clusterState = context.clusterState.lock();
        Job& known = *clusterState->job("run-1");
        clusterState->removeAllocation(known, known.slices[1], 4);
    }
    stateWriter.flush(0);
    putPartition(1, "node-1", 2);
    serveAll();
    EXPECT_TRUE(state.records.contains(job("run-1")));
    EXPECT_EQ(sliceRecords("run-1"), 2U);
}

// An empty page that announces more is not the end: the records behind it are not deleted.
TEST_F(ReplicationTest, AnEmptyPageThatSaysMoreIsNoEnd) {
    putJob(makeJob(4, 4));
    replica.start();
    timers.advance(std::chrono::milliseconds(20));
    ASSERT_EQ(state.pending.size(), 1U);
    const auto page = state.pending.front();
    state.pending.clear();
    page.done(
        transport::HttpResponse{200,
                                protocol::encodeCbor({{protocol::wire::items, Json::array()},
                                                      {protocol::wire::more, true},
                                                      {protocol::wire::revision, state.revision}}),
                                0});
    EXPECT_FALSE(replica.everSynced());
    serveAll();
    EXPECT_TRUE(replica.synced());
    EXPECT_NE(context.clusterState.lock()->job("run-1"), nullptr);
}

}  // namespace
}  // namespace fawnwheel::coordination
