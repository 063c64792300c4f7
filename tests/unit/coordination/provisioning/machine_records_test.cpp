// Outcomes of writes of machine records.
#include "coordination/provisioning/machine_records.h"

#include "coordination/replication/replication_fixture.h"

namespace fawnwheel::coordination {
namespace {

class IgnoredRounds final : public RoundScheduler {
  public:
    void scheduleRound() override {}
};

class MachineRecordsTest : public ReplicationTest {
  protected:
    IgnoredRounds rounds;
    MachineRecords records{context, pipeline, rounds};
};

// A node that wanted to decommission a machine without a record cleared the mark that another
// leader had recorded meanwhile: after a failover it would have placed tasks on a released machine.
TEST_F(MachineRecordsTest, ConflictKeepsTheDecommissionedMarkOfAnotherPartition) {
    loadRecords();
    {
        auto clusterState = context.clusterState.lock();
        Machine& unrecorded = clusterState->addMachine("m-1", 0);
        unrecorded.type = "small";
        unrecorded.zone = "a";
    }
    records.write(MachineRecords::Change::decommission, 0, "m-1");
    Machine recorded;
    recorded.id = "m-1";
    recorded.type = "small";
    recorded.zone = "a";
    recorded.partition = 2;
    recorded.decommissioned = true;
    state.put(storage::keys::machine("m-1"), storage::machineValue(recorded));
    serveAll();
    auto clusterState = context.clusterState.lock();
    EXPECT_EQ(clusterState->machine("m-1")->partition, 2U);
    EXPECT_TRUE(clusterState->machine("m-1")->decommissioned);
}

}  // namespace
}  // namespace fawnwheel::coordination
