// Transfers of machines with their tasks: what changes partition together, and what the records
// hold when the transaction is committed, refused, late, or gets no response.
#include "coordination/migration/machine_transfers.h"

#include "coordination/membership/membership_fixture.h"
#include "coordination/scheduling/quota_exchange.h"
#include "coordination/workers/worker_lease.h"

namespace fawnwheel::coordination {
namespace {

using namespace std::chrono_literals;
using storage::TaskRange;
using storage::keys::job;
using storage::keys::machine;
using storage::keys::quota;
using storage::keys::slice;

// Node 0 leads partition 0 with machines m-1 and m-2; its peer node 2 leads partition 2.
class TransferBench : public MembershipFixture, private MachineTransferObserver {
  protected:
    TransferBench()
        : teamQuotas(context),
          queueOrder(context),
          quotas(context, membership, pipeline, teamQuotas, queueOrder),
          heartbeats(context, membership, observer),
          transfers(context, pipeline, stateWriter.sliceWriter(), quotas, heartbeats, *this) {
        settings_.teams = {{"t", 0, 0, 90, 0}};
        for (const auto* node : {"node-0", "node-1", "node-2"})
            state.put(storage::keys::machineTransfersGate(node), storage::featureGateValue());
        for (const auto* id : {"m-1", "m-2"}) {
            Machine created;
            created.id = id;
            created.type = "large";
            created.zone = "a";
            created.partition = 0;
            state.put(machine(id), storage::machineValue(created));
        }
    }

    void onAllocationsDurable(const std::set<std::string>&) override {}

    // Loads the records and makes all machines acknowledged, with a current heartbeat, and all
    // allocations reported as running.
    void loadWithHeartbeats() {
        loadRecords();
        auto clusterState = context.clusterState.lock();
        for (auto& [id, known] : clusterState->machines) {
            known.lastHeartbeat = context.now();
            known.fencingToken = known.firstFencingToken = known.expectedToken =
                known.acknowledgedToken = 65'536;
        }
        for (auto& [id, known] : clusterState->jobs)
            for (auto& piece : known.slices)
                for (auto& allocation : piece.allocations) {
                    allocation.reported = true;
                    allocation.state = protocol::TaskState::running;
                }
        timers.advance(60s);
        for (auto& [id, known] : clusterState->machines) known.lastHeartbeat = context.now();
    }
    // An array of ten tasks in one slice: 2, 3 and 6 on m-1, 5 on m-2, 4 and 7 done.
    void putArray() {
        Job created = makeJob(10, 10);
        created.slices[0].markDone(4);
        created.slices[0].markDone(7);
        for (const std::uint32_t task : {2U, 3U, 6U})
            created.slices[0].allocations.push_back(makeAllocation(task, "m-1", 70 + task));
        created.slices[0].allocations.push_back(makeAllocation(5, "m-2", 75));
        putJob(created);
        putSlice(created, created.slices[0]);
    }
    // As `loadWithHeartbeats`, with the array and machine m-1 received from another node.
    void loadWithMachineFrom(const std::string& giver) {
        putArray();
        Machine received;
        received.id = "m-1";
        received.type = "large";
        received.zone = "a";
        received.partition = 0;
        received.transferredBy = giver;
        state.put(machine("m-1"), storage::machineValue(received));
        loadWithHeartbeats();
    }
    std::size_t tasksOnReceivedMachine() {
        return context.clusterState.lock()->machine("m-1")->allocations.size();
    }
    void putGang(std::uint32_t tasks) {
        Job created = makeJob(tasks, tasks);
        created.spec.kind = protocol::JobKind::gang;
        for (std::uint32_t task = 0; task < tasks; ++task)
            created.slices[0].allocations.push_back(
                makeAllocation(task, task == 0 ? "m-1" : "m-2", 9));
        putJob(created);
        putSlice(created, created.slices[0]);
    }
    [[nodiscard]] rebalancing::HandoverRules rules() const {
        return {0, {2, 0, 0}, settings_.maxTransactionWrites, context.now(), 30s, 10s, true};
    }
    rebalancing::HandoverPlan planFor(const std::string& id) {
        return rebalancing::planHandover(*context.clusterState.lock(), id, rules());
    }
    rebalancing::Refusal refusalFor(const std::string& id) {
        const auto plan = planFor(id);
        EXPECT_TRUE(std::holds_alternative<rebalancing::Refusal>(plan));
        return std::holds_alternative<rebalancing::Refusal>(plan)
                   ? std::get<rebalancing::Refusal>(plan)
                   : rebalancing::Refusal::notOurs;
    }
    void transferMachine(const std::string& id) {
        const auto plan = planFor(id);
        ASSERT_TRUE(std::holds_alternative<rebalancing::Handover>(plan))
            << toString(std::get<rebalancing::Refusal>(plan));
        transferred.reset();
        EXPECT_FALSE(transfers.transferWithWork(0, 2, std::get<rebalancing::Handover>(plan),
                                                [this](bool done) { transferred = done; }));
    }
    // Rebuilds the cluster state from the records alone.
    void readRecords(storage::ClusterState& fresh) {
        fresh.partitionCount = 3;
        for (const auto& [key, record] : state.records)
            storage::applyEvent(fresh, {key, record.value, record.version}, context.now());
    }
    // Expects every slice with tasks on a machine to be in the machine's partition.
    void expectOneOwner(storage::ClusterState& clusterState) {
        for (auto& [id, known] : clusterState.machines)
            for (const auto& ref : known.allocations)
                EXPECT_EQ(clusterState.findAllocation(ref).slice->partition, known.partition)
                    << id << " task " << ref.task;
    }

    TeamQuotas teamQuotas;
    QueueOrder queueOrder;
    QuotaExchange quotas;
    HeartbeatHandler heartbeats;
    MachineTransfers transfers;
    std::optional<bool> transferred;
};

// Guards against tasks that are lost, duplicated or restarted when only some tasks of their slice
// are transferred with their machine.
TEST_F(TransferBench, TasksKeepTheirAttemptsWhenTheirMachineIsTransferred) {
    putArray();
    loadWithHeartbeats();
    const auto plan = planFor("m-1");
    const auto& handover = std::get<rebalancing::Handover>(plan);
    ASSERT_EQ(handover.slices.size(), 1U);
    // Tasks 2 and 3 form a range of their own, as does 6: task 5 between them stays on m-2. The
    // done task 4 gets no piece of its own.
    EXPECT_EQ(handover.slices[0].ranges, (std::vector<TaskRange>{{2, 2}, {6, 1}}));
    EXPECT_EQ(handover.slices[0].pieces, 5U);
    transferMachine("m-1");
    serveAll();
    EXPECT_EQ(transferred, true);
    storage::ClusterState fresh;
    readRecords(fresh);
    for (auto* clusterState : {&fresh, &*context.clusterState.lock()}) {
        EXPECT_EQ(clusterState->machine("m-1")->partition, 2U);
        EXPECT_EQ(clusterState->machine("m-2")->partition, 0U);
        EXPECT_EQ(clusterState->machine("m-1")->allocations.size(), 3U);
        for (const std::uint32_t task : {2U, 3U, 6U}) {
            const auto* allocation = clusterState->job("run-1")->sliceOf(task)->allocationOf(task);
            ASSERT_NE(allocation, nullptr);
            EXPECT_EQ(allocation->attempt, 70 + task);
        }
        expectOneOwner(*clusterState);
    }
    EXPECT_EQ(slicesPerTaskInRecords("run-1"), std::vector<int>(10, 1));
    EXPECT_EQ(slicesPerTaskInClusterState("run-1"), std::vector<int>(10, 1));
    // The new leader relies on the worker's state only once the worker has shown the new leader's
    // token, which is above all of the old leader's.
    EXPECT_GT(fresh.machine("m-1")->minFencingToken, 65'536U);
    EXPECT_EQ(fresh.machine("m-1")->transferredBy, "node-0");
}

// Guards against a lost piece: split in one transaction, two slices of a job both added their
// pieces under the same index.
TEST_F(TransferBench, SplittingTwoSlicesOfOneJobUsesDistinctIndices) {
    Job created = makeJob(8, 4);
    for (const std::uint32_t task : {1U, 6U})
        created.slices[task / 4].allocations.push_back(makeAllocation(task, "m-1", 70 + task));
    putJob(created);
    for (const auto& piece : created.slices) putSlice(created, piece);
    loadWithHeartbeats();
    transferMachine("m-1");
    serveAll();
    EXPECT_EQ(transferred, true);
    EXPECT_EQ(slicesPerTaskInRecords("run-1"), std::vector<int>(8, 1));
    EXPECT_EQ(slicesPerTaskInClusterState("run-1"), std::vector<int>(8, 1));
    storage::ClusterState fresh;
    readRecords(fresh);
    EXPECT_EQ(fresh.machine("m-1")->allocations.size(), 2U);
    expectOneOwner(fresh);
}

// Guards against a gang with two leaders: a gang on two machines must be transferred whole.
TEST_F(TransferBench, RunningGangIsTransferredWithAllItsMachines) {
    putGang(3);
    loadWithHeartbeats();
    transferMachine("m-2");
    serveAll();
    EXPECT_EQ(transferred, true);
    storage::ClusterState fresh;
    readRecords(fresh);
    EXPECT_EQ(fresh.job("run-1")->partition, 2U);
    EXPECT_EQ(fresh.machine("m-1")->partition, 2U);
    EXPECT_EQ(fresh.machine("m-2")->partition, 2U);
    expectOneOwner(fresh);
}

// Guards against a partly started gang: the giver may have sent only some of its start commands.
TEST_F(TransferBench, StartingGangRefusesTheTransfer) {
    putGang(2);
    loadWithHeartbeats();
    context.clusterState.lock()->job("run-1")->slices[0].allocations[1].state =
        protocol::TaskState::waiting;
    EXPECT_EQ(refusalFor("m-1"), rebalancing::Refusal::gangStarting);
    EXPECT_EQ(refusalFor("m-2"), rebalancing::Refusal::gangStarting);
    // One task has an allocation, the other one's has been removed.
    auto clusterState = context.clusterState.lock();
    clusterState->removeAllocation(*clusterState->job("run-1"),
                                   clusterState->job("run-1")->slices[0], 1);
    EXPECT_EQ(refusalFor("m-1"), rebalancing::Refusal::gangStarting);
}

// Guards against the transfer of a machine that is about to change or whose state is uncertain, or
// whose tasks or job are in transition.
TEST_F(TransferBench, MachineOrTaskInTransitionRefusesTheTransfer) {
    putArray();
    loadWithHeartbeats();
    auto clusterState = context.clusterState.lock();
    Machine& known = *clusterState->machine("m-1");
    Job& array = *clusterState->job("run-1");
    const auto saved = known;
    const auto refusedWith = [&](auto&& change) {
        change();
        const auto refusal = refusalFor("m-1");
        const auto allocations = known.allocations;
        known = saved;
        known.allocations = allocations;
        return refusal;
    };
    using rebalancing::Refusal;
    EXPECT_EQ(refusedWith([&] { known.decommissioned = true; }), Refusal::draining);
    EXPECT_EQ(refusedWith([&] { known.consolidating = true; }), Refusal::draining);
    EXPECT_EQ(refusedWith([&] { known.interruptionAt = context.now() + 30s; }), Refusal::draining);
    EXPECT_EQ(refusedWith([&] { known.transferring = true; }), Refusal::transferring);
    EXPECT_EQ(refusedWith([&] { known.departedTo = 1; }), Refusal::transferring);
    EXPECT_EQ(refusedWith([&] { known.lender = 1; }), Refusal::onLoan);
    EXPECT_EQ(refusedWith([&] { known.version = 0; }), Refusal::notRecorded);
    EXPECT_EQ(refusedWith([&] { known.lastHeartbeat = context.now() - 11s; }), Refusal::silent);
    EXPECT_EQ(refusedWith([&] { known.expectedToken = known.acknowledgedToken + 1; }),
              Refusal::silent);
    EXPECT_EQ(refusedWith([&] { known.knownSince = context.now() - 29s; }),
              Refusal::belowMinTenure);
    EXPECT_EQ(refusedWith([&] {
                  known.reservedFor = "run-1";  // of the giver's own partition
                  known.reservedUntil = context.now() + 5s;
              }),
              Refusal::reserved);
    array.slices[0].allocationOf(2)->stopGrace = Seconds(1);
    EXPECT_EQ(refusalFor("m-1"), Refusal::taskStopping);
    array.slices[0].allocationOf(2)->stopGrace.reset();
    array.slices[0].allocationOf(3)->durable = false;
    EXPECT_EQ(refusalFor("m-1"), Refusal::recordPending);
    array.slices[0].allocationOf(3)->durable = true;
    array.slices[0].migrating = TaskRange{8, 2};
    EXPECT_EQ(refusalFor("m-1"), Refusal::jobMigrating);
    array.slices[0].migrating.reset();
    clusterState->recordCancellation("run-1", 1);
    EXPECT_EQ(refusalFor("m-1"), Refusal::jobEnding);
}

class FewTransferChanges : public TransferBench {
  protected:
    FewTransferChanges() { settings_.maxTransactionWrites = 4; }
};

// Guards against a transfer that exceeds the state service's limit on writes in one transaction.
TEST_F(FewTransferChanges, HandoverTooLargeForOneTransactionIsRefused) {
    putArray();
    loadWithHeartbeats();
    EXPECT_EQ(refusalFor("m-1"), rebalancing::Refusal::tooLarge);
}

// Guards against a team exceeding its limit: without the quota share the giver would fill the
// capacity that the tasks leave.
TEST_F(TransferBench, QuotaShareIsTransferredWithTheTasks) {
    putArray();
    loadWithHeartbeats();
    const auto* team = context.findTeam("t");
    ASSERT_NE(team, nullptr);
    transferMachine("m-1");
    // The giver must not use the share while the outcome is unknown.
    EXPECT_TRUE(context.clusterState.lock()->outgoingQuotas.contains("t"));
    serveAll();
    auto clusterState = context.clusterState.lock();
    EXPECT_DOUBLE_EQ(teamQuotas.quotaShareOf(*clusterState, *team, 0).cpus, 27);
    EXPECT_DOUBLE_EQ(teamQuotas.quotaShareOf(*clusterState, *team, 1).cpus, 30);
    EXPECT_DOUBLE_EQ(teamQuotas.quotaShareOf(*clusterState, *team, 2).cpus, 33);
    EXPECT_FALSE(clusterState->outgoingQuotas.contains("t"));
}

// Guards against a lost cancellation: the job is cancelled after the transfer is sent and before
// the transaction is executed.
TEST_F(TransferBench, CancellationBeforeTheCommitFailsTheTransfer) {
    putArray();
    loadWithHeartbeats();
    transferMachine("m-1");
    auto cancelled = state.records[job("run-1")].value;
    cancelled["cancelled"] = true;
    state.put(job("run-1"), cancelled);
    serveAll();
    EXPECT_EQ(transferred, false);
    auto clusterState = context.clusterState.lock();
    EXPECT_EQ(clusterState->machine("m-1")->partition, 0U);
    EXPECT_FALSE(clusterState->machine("m-1")->transferring);
    EXPECT_TRUE(clusterState->job("run-1")->cancelled);
    expectOneOwner(*clusterState);
}

// Guards against a transfer to a leader that it was not planned for: the recipient's leader changes
// before the transaction is executed.
TEST_F(TransferBench, NewLeaderOfTheRecipientFailsTheTransfer) {
    putArray();
    loadWithHeartbeats();
    transferMachine("m-1");
    putPartition(2, "node-1", 5);
    serveAll();
    EXPECT_EQ(transferred, false);
    EXPECT_EQ(state.records[machine("m-1")].value["part"], 0);
}

// Guards against a transfer by a former leader: the giver loses its partition before the
// transaction is executed.
TEST_F(TransferBench, LostPartitionOfTheGiverFailsTheTransfer) {
    putArray();
    loadWithHeartbeats();
    transferMachine("m-1");
    putPartition(0, "node-1", 5);
    serveAll();
    EXPECT_EQ(transferred, false);
    EXPECT_EQ(state.records[machine("m-1")].value["part"], 0);
    expectOneOwner(*context.clusterState.lock());
}

// The transaction commits, but its response is lost and a copy of it arrives late. The giver has to
// learn the outcome from the watch, and the copy must fail.
TEST_F(TransferBench, LostResponseIsResolvedAndLateCopyFails) {
    putArray();
    loadWithHeartbeats();
    replica.start();
    serveAll();
    {
        // Records hold no heartbeats, so reading them has cleared the machines' heartbeats.
        auto clusterState = context.clusterState.lock();
        for (auto& [id, known] : clusterState->machines) known.lastHeartbeat = context.now();
        for (auto& [id, known] : clusterState->machines) known.knownSince = context.now() - 60s;
    }
    transferMachine("m-1");
    const auto sent = state.takeTransaction();
    EXPECT_EQ(state.execute(sent.request).status, 200);
    // The watch delivers the change before any response: the giver then redirects the worker.
    for (int i = 0; i < 20 && !context.clusterState.lock()->machine("m-1")->departedTo; ++i) {
        timers.advance(50ms);
        for (auto request = state.pending.begin(); request != state.pending.end();) {
            if (!request->isWatch()) {
                ++request;
                continue;
            }
            const auto ready = std::move(*request);
            request = state.pending.erase(request);
            state.serve(ready);
        }
    }
    EXPECT_EQ(context.clusterState.lock()->machine("m-1")->departedTo, 2U);
    EXPECT_FALSE(transferred.has_value());
    sent.done(std::nullopt);
    serveAll();
    EXPECT_EQ(transferred, true);
    EXPECT_EQ(state.execute(sent.request).status, 409);  // the late copy
    auto clusterState = context.clusterState.lock();
    EXPECT_EQ(clusterState->machine("m-1")->partition, 2U);
    EXPECT_FALSE(clusterState->machine("m-1")->departedTo);
    expectOneOwner(*clusterState);
}

// Guards against a late transaction that takes effect after its sender has restarted.
TEST_F(TransferBench, TransactionFromBeforeARestartFails) {
    putArray();
    loadWithHeartbeats();
    transferMachine("m-1");
    const auto late = state.takeTransaction();
    // The sender restarts and acquires the partition with a higher term.
    putPartition(0, "node-0", 7);
    EXPECT_EQ(state.execute(late.request).status, 409);
    EXPECT_EQ(state.records[machine("m-1")].value["part"], 0);
}

// A task that ends on the transferred machine while the outcome is unknown is recorded by the new
// leader, which learns of the end from the worker. The giver must not record it too.
TEST_F(TransferBench, TaskEndDuringTheTransferIsLeftToTheNewLeader) {
    putArray();
    loadWithHeartbeats();
    transferMachine("m-1");
    {
        auto clusterState = context.clusterState.lock();
        Job& array = *clusterState->job("run-1");
        clusterState->removeAllocation(array, array.slices[0], 6);  // on the transferred machine
        array.slices[0].markDone(6);
        clusterState->removeAllocation(array, array.slices[0], 5);  // on the machine that stays
        array.slices[0].markDone(5);
    }
    serveAll();
    ASSERT_EQ(transferred, true);
    {
        auto clusterState = context.clusterState.lock();
        Job& array = *clusterState->job("run-1");
        EXPECT_NE(array.sliceOf(6)->allocationOf(6), nullptr);
        EXPECT_FALSE(array.sliceOf(6)->complete());
        EXPECT_TRUE(array.sliceOf(5)->done[5 - array.sliceOf(5)->first]);
        EXPECT_EQ(clusterState->machine("m-1")->allocations.size(), 3U);
    }
    stateWriter.flush(0);
    serveAll();
    storage::ClusterState fresh;
    readRecords(fresh);
    Job& read = *fresh.job("run-1");
    EXPECT_TRUE(read.sliceOf(5)->done[5 - read.sliceOf(5)->first]);
    EXPECT_NE(read.sliceOf(6)->allocationOf(6), nullptr);
    EXPECT_EQ(slicesPerTaskInRecords("run-1"), std::vector<int>(10, 1));
}

// Guards against a corrupt or invalid machine record that moves the machine to another partition or
// drops its tasks.
TEST_F(TransferBench, CorruptMachineRecordKeepsTheMachineInPlace) {
    putArray();
    loadWithHeartbeats();
    const Json good = state.records[machine("m-1")].value;
    const auto with = [&good](const char* field, const Json& value) {
        Json changed = good;
        changed[field] = value;
        return changed;
    };
    auto clusterState = context.clusterState.lock();
    for (const auto& bad : {with("part", 3), with("part", -1), with("part", "two"),
                            with("part", nullptr), with("floor", "high"), with("from", 7),
                            with("lender", 9), with("type", nullptr), Json("m-1"), Json::array()}) {
        state.put(machine("m-1"), bad);
        storage::applyEvent(*clusterState, {machine("m-1"), bad, state.revision}, context.now());
        const Machine& known = *clusterState->machine("m-1");
        EXPECT_EQ(known.partition, 0U) << bad;
        EXPECT_EQ(known.type, "large") << bad;
        EXPECT_EQ(known.allocations.size(), 3U) << bad;
        // The leader's next write compares against the corrupt record's version.
        EXPECT_EQ(known.version, state.revision) << bad;
        EXPECT_TRUE(clusterState->corruptMachines.contains("m-1")) << bad;
    }
    storage::applyEvent(*clusterState, {machine("m-1"), good, state.revision + 1}, context.now());
    EXPECT_TRUE(clusterState->corruptMachines.empty());
}

// The recipient counted a worker's silence from the loss of the giver's node record, although a
// giver that does not know the outcome renews the lease in an outage until it has a successor.
TEST_F(TransferBench, SilenceCountsOnlyOnceAGiverWithoutNodeRecordHasASuccessor) {
    loadWithMachineFrom("node-2");
    ASSERT_EQ(tasksOnReceivedMachine(), 3U);
    const auto maxLease = maxWorkerLease(context) + outageConfirmationValidity + 1s;
    heartbeats.expireSilentWorkers(0);
    timers.advance(maxLease);
    heartbeats.expireSilentWorkers(0);  // node-2 still leads partition 2 by its record
    EXPECT_EQ(tasksOnReceivedMachine(), 3U);
    putPartition(2, "node-1", 7);
    loadRecords();
    heartbeats.expireSilentWorkers(0);
    EXPECT_EQ(tasksOnReceivedMachine(), 3U);
    timers.advance(maxLease);
    heartbeats.expireSilentWorkers(0);
    EXPECT_EQ(tasksOnReceivedMachine(), 0U);
}

// The recipient counted a worker's silence from its last check before an outage, during which it
// has no lease and checks nothing, although the giver renewed the lease until the outage ended.
TEST_F(TransferBench, SilenceCountsFromTheCheckThatFindsTheTransferConfirmed) {
    loadWithMachineFrom("node-2");
    const auto maxLease = maxWorkerLease(context) + outageConfirmationValidity + 1s;
    heartbeats.expireSilentWorkers(0);  // node-2 still leads partition 2 by its record
    timers.advance(maxLease);
    putPartition(2, "node-1", 7);
    loadRecords();
    heartbeats.expireSilentWorkers(0);
    EXPECT_EQ(tasksOnReceivedMachine(), 3U);
    timers.advance(maxLease);
    heartbeats.expireSilentWorkers(0);
    EXPECT_EQ(tasksOnReceivedMachine(), 0U);
}

TEST_F(TransferBench, LendingRecordsTheLender) {
    loadWithHeartbeats();
    transfers.lend(0, 2, {"m-1"});
    EXPECT_TRUE(context.clusterState.lock()->machine("m-1")->transferring);
    serveAll();
    EXPECT_EQ(context.clusterState.lock()->machine("m-1")->partition, 2U);
    EXPECT_EQ(context.clusterState.lock()->machine("m-1")->lender, 0U);
    EXPECT_FALSE(state.records[machine("m-1")].value.contains("from"));
}

}  // namespace
}  // namespace fawnwheel::coordination
