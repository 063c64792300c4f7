// What the records and a leader's cluster state hold after the leader's transactions failed, were
// lost or delayed, or were overtaken by other changes.
#include "coordination/replication/replication_fixture.h"

namespace fawnwheel::coordination {
namespace {

using storage::keys::job;
using storage::keys::partition;
using storage::keys::slice;

bool allExactlyOnce(const std::vector<int>& sliceCounts) {
    return !sliceCounts.empty() && std::all_of(sliceCounts.begin(), sliceCounts.end(),
                                               [](int count) { return count == 1; });
}

class SmallTransactionsTest : public ReplicationTest {
  protected:
    SmallTransactionsTest() : ReplicationTest(16, 4) {}
};

// The end of a job with many slices does not fit into one transaction. If the records of the other
// slices were deleted before the job's end was committed, and that failed, the job would continue
// under another leader without slice records, and no leader would know its running tasks.
TEST_F(SmallTransactionsTest, FailedJobCompletionKeepsSliceRecords) {
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
        // According to the workers' reports the job has ended; this leader has recorded none of it.
        auto clusterState = context.clusterState.lock();
        Job& known = *clusterState->job("run-1");
        clusterState->removeAllocation(known, known.slices[9], 36);
        for (std::uint32_t task = 36; task < 40; ++task) known.slices[9].markDone(task);
    }
    stateWriter.flush(0);
    // A peer acquires the partition before the job's end is committed.
    putPartition(0, "node-1", 2);
    serveAll();
    ASSERT_TRUE(state.records.contains(job("run-1")));
    stateWriter.flush(1);
    serveAll();
    EXPECT_EQ(sliceRecordCount("run-1"), 10U);
    EXPECT_TRUE(state.records.contains(slice("run-1", 9)));
}

// If the leader that committed a job's end stops before it has deleted the job's remaining slice
// records, a later leader of the partition must delete them. Otherwise they stay for ever.
TEST_F(SmallTransactionsTest, LaterLeaderDeletesSliceRecordsOfEndedJob) {
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
    EXPECT_EQ(sliceRecordCount("run-1"), 0U);
}

class SmallValuesTest : public ReplicationTest {
  protected:
    SmallValuesTest() : ReplicationTest(1, 12) {}

    // Writes two slices of one job, each in its own partition and too large for a value, and
    // applies them. One allocation of each is then removed, so that both must be written again.
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

// After a failover one node leads two partitions and divides a slice of one job in each at the same
// time. The reads after the failed division shorten the slice whose division has no response yet.
// If that slice were divided a second time, beyond its end, an empty piece would be recorded over
// running tasks.
TEST_F(SmallValuesTest, ConcurrentDivisionsOfOneJobKeepEachTaskInOneSlice) {
    putTwoLargeSlices();
    stateWriter.flush(0);
    stateWriter.flush(1);
    timers.advance(std::chrono::milliseconds(20));
    const auto first = state.takeTransaction();
    const auto answer = state.execute(first.request);
    const auto second = state.takeTransaction();
    state.serve(second);
    // The reads after the failed transaction are served before the first transaction's response
    // arrives.
    for (int round = 0; round < 10; ++round) {
        timers.advance(std::chrono::milliseconds(20));
        auto reads = std::exchange(state.pending, {});
        for (const auto& request : reads) state.serve(request);
    }
    first.done(answer);
    serveAll();
    EXPECT_TRUE(allExactlyOnce(slicesPerTaskInClusterState("run-1")));
    EXPECT_TRUE(allExactlyOnce(slicesPerTaskInRecords("run-1")));
}

// More than some 200 records are read in several pages, which have different revisions. A division
// that is committed between two pages is visible only in the second page. No task may be lost or in
// two slices then. The division was abandoned with its partition, so that nobody waits for its
// outcome.
TEST_F(SmallValuesTest, DivisionBetweenSnapshotPagesKeepsEachTaskInOneSlice) {
    putTwoLargeSlices();
    stateWriter.flush(0);
    timers.advance(std::chrono::milliseconds(20));
    const auto division = state.takeTransaction();
    // The first page ends with the key of the divided slice.
    const auto before = std::distance(state.records.upper_bound(storage::keys::activePrefix),
                                      state.records.upper_bound(slice("run-1", 0)));
    state.pageSize = static_cast<std::size_t>(before);
    pipeline.abandon(0);
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
    EXPECT_TRUE(allExactlyOnce(slicesPerTaskInClusterState("run-1")));
    stateWriter.flush(0);
    serveAll();
    EXPECT_TRUE(allExactlyOnce(slicesPerTaskInClusterState("run-1")));
    EXPECT_TRUE(allExactlyOnce(slicesPerTaskInRecords("run-1")));
}

// If a resync read the records as they were before a transaction without an outcome, the cluster
// state would lack the allocations that the transaction records, and decisions until its outcome
// would not account for them. The reading waits for the outcome, and keeps it.
TEST_F(ReplicationTest, ResyncDuringTransactionDoesNotRevertItsOutcome) {
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
    EXPECT_FALSE(replica.synced());
    EXPECT_EQ(context.clusterState.lock()->job("run-1")->allocatedTasks(), 1U);
    change.done(state.execute(change.request));
    serveAll();
    ASSERT_TRUE(replica.synced());
    EXPECT_EQ(context.clusterState.lock()->job("run-1")->allocatedTasks(), 1U);
    stateWriter.flush(0);
    serveAll();
    EXPECT_EQ(context.clusterState.lock()->job("run-1")->allocatedTasks(), 1U);
    EXPECT_EQ(state.records.at(slice("run-1", 0)).value["claims"].size(), 1U);
}

// Guards against a reading that takes back a transaction which was queued and committed while the
// pages were read: the records are read once more.
TEST_F(ReplicationTest, ResyncKeepsTransactionsThatWereQueuedDuringTheReading) {
    const Job made = makeJob(4, 4);
    putJob(made);
    putSlice(made, made.slices[0]);
    loadRecords();
    const auto [page, outdated] = executeFirstPageOfResync();
    {
        auto clusterState = context.clusterState.lock();
        Job& known = *clusterState->job("run-1");
        clusterState->addAllocation(known, known.slices[0], makeAllocation(0, "m-1", 7));
    }
    stateWriter.flush(0);
    timers.advance(std::chrono::milliseconds(20));
    const auto change = state.takeTransaction();
    change.done(state.execute(change.request));
    page.done(outdated);
    EXPECT_FALSE(replica.synced());
    EXPECT_EQ(context.clusterState.lock()->job("run-1")->allocatedTasks(), 1U);
    serveAll();
    EXPECT_TRUE(replica.synced());
    EXPECT_EQ(context.clusterState.lock()->job("run-1")->allocatedTasks(), 1U);
}

// Guards against decisions on records that are older than what this process has learned from the
// answer to a request of its own, as an admission or an acquisition, while it was reading.
TEST_F(ReplicationTest, ResyncIsCompleteOnlyOnceItHasReachedEveryKnownRevision) {
    putJob(makeJob(4, 4));
    loadRecords();
    const auto [page, outdated] = executeFirstPageOfResync();
    putPartition(1, "node-1", 2);
    const auto& latest = state.records.at(partition(1));
    storage::applyEvent(*context.clusterState.lock(), {partition(1), latest.value, latest.version},
                        context.now());
    page.done(outdated);
    EXPECT_FALSE(replica.synced());
    serveAll();
    EXPECT_TRUE(replica.synced());
    EXPECT_EQ(context.clusterState.lock()->partitions[1].leader, "node-1");
}

// The new leader of a migrated slice may record allocations before the migrating leader receives
// the response to the migration. If the watch events delivered in between were dropped, the
// leader of the job's partition would see no allocations and could end a cancelled job while its
// tasks run.
TEST_F(ReplicationTest, AllocationsWatchedBeforeMigrationResponseAreApplied) {
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

// A cancelled job ends when none of its tasks has an allocation. While a slice's record is in
// flight, the leader of the job's partition may not know the slice's allocations, and must not end
// the job.
TEST_F(ReplicationTest, CancelledJobDoesNotEndWhileSliceIsInFlight) {
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
    EXPECT_EQ(state.pendingTransactionCount(), 0U);
}

// A transaction is decided in one term, fails with status 503, and is retried in a later term of
// the same node. The decision does not account for what another leader did in between, so the
// transaction must not be committed.
TEST_F(ReplicationTest, TransactionDecidedInEarlierTermIsNotCommittedInLaterTerm) {
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

// A transaction of two slices is committed but its response is lost, and one slice is then written
// again with the same value. If the later version were taken for both slices, later writes of the
// other slice would fail for ever.
TEST_F(ReplicationTest, EqualValuesAtDifferentRevisionsAreNotTakenAsCommitted) {
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
    // The record of slice 0 is written again with the same content.
    state.put(slice("run-1", 0), Json(state.records.at(slice("run-1", 0)).value));
    serveAll();
    auto clusterState = context.clusterState.lock();
    for (const std::uint32_t index : {0U, 1U})
        EXPECT_EQ(clusterState->job("run-1")->slices[index].version,
                  state.records.at(slice("run-1", index)).version);
}

// A worker reports a task whose allocation is not recorded yet, and the transaction that would
// record the allocation fails. The allocation must be kept, because a second one would let the task
// run twice.
TEST_F(ReplicationTest, ConflictKeepsUnrecordedAllocationOfReportedTask) {
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

// If a job is created between two pages of a snapshot, its slice is known before the job. The
// slice's record must not be deleted as an orphan.
TEST_F(ReplicationTest, SliceReadBeforeItsJobIsNotDeletedAsOrphan) {
    const Job made = makeJob(4, 4);
    putSlice(made, made.slices[0]);
    loadRecords();
    putJob(made);
    stateWriter.flush(0);
    serveAll();
    EXPECT_EQ(sliceRecordCount("run-1"), 1U);
}

// This node leads the job's partition and the partition of the job's other slice, where the end of
// a task is not recorded. The node loses the second partition before the job's end is committed.
// The new leader there may have restarted the task, so the job's end must fail.
TEST_F(ReplicationTest, JobCompletionFailsAfterLossOfPartitionWithUnrecordedSlice) {
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
    EXPECT_EQ(sliceRecordCount("run-1"), 2U);
}

// An empty page that announces more pages is not the end of the snapshot. If it were taken as the
// end, all records after it would seem to be deleted.
TEST_F(ReplicationTest, EmptySnapshotPageThatAnnouncesMoreIsRetried) {
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
