// Tasks whose slice and machine belong to different partitions, as records of an earlier version
// may contain them.
#include <gtest/gtest.h>

#include "protocol/names.h"
#include "sim/small_simulation.h"
#include "storage/records.h"

namespace fawnwheel::sim {
namespace {

namespace wire = protocol::wire;

// Two nodes with one machine each, both taken by other jobs.
class MisplacedTask {
  public:
    explicit MisplacedTask(protocol::JobKind kind) : simulation_(makeSpec()) {
        simulation_.addMachine("small", "a", false);
        simulation_.addMachine("small", "b", false);
        job_ = wholeMachineJob("run-misplaced");
        job_.kind = kind;
        for (const auto* zone : {"a", "b"})
            simulation_.at(Time(5), [this, zone] {
                auto other = wholeMachineJob(idOfOtherJobIn(zone));
                other.zone = zone;
                simulation_.submit(other, Time(500), false);
            });
        simulation_.at(Time(15), [this] { simulation_.submit(job_, Time(5), false); });
        simulation_.at(Time(25), [this] { placeOnMachineOfOtherPartition(); });
        simulation_.at(Time(26), [this] {
            for (const auto* zone : {"a", "b"}) simulation_.completeJob(idOfOtherJobIn(zone));
        });
    }
    Simulation& run() {
        simulation_.run(Time(120));
        return simulation_;
    }
    [[nodiscard]] const std::string& jobId() const { return job_.id; }

  private:
    static SimulationSpec makeSpec() {
        auto spec = smallSimulationSpec();
        spec.nodes = 2;
        spec.zones = {"a", "b"};
        spec.types.front().capacity = spec.types.front().spotCapacity = 0;
        spec.operatorSettings.idleBeforeScaleIn = Time(900);
        return spec;
    }
    static std::string idOfOtherJobIn(const std::string& zone) { return "run-" + zone; }
    static protocol::JobSpec wholeMachineJob(const std::string& id) {
        auto job = smallJob(id);
        job.taskResources = {8, 0, 8};
        return job;
    }
    void placeOnMachineOfOtherPartition() {
        const auto* record = simulation_.record(storage::keys::job(job_.id));
        ASSERT_NE(record, nullptr);
        const auto partition = storage::partitionOf(*record);
        for (std::size_t i = 0; i < 2; ++i) {
            const auto* machine = simulation_.record(storage::keys::machine(machineId(i)));
            ASSERT_NE(machine, nullptr);
            if (storage::partitionOf(*machine) == partition) continue;
            auto slices = storage::makeSlices(job_, 1, partition);
            storage::Allocation allocation;
            allocation.machine = machineId(i);
            allocation.attempt = attempt;
            allocation.durable = true;
            slices.front().allocations.push_back(allocation);
            simulation_.putRecord(storage::keys::slice(job_.id, 0),
                                  storage::sliceValue(slices.front()));
            return;
        }
        ADD_FAILURE() << "both machines are in one partition";
    }

    static constexpr std::uint64_t attempt = 5;
    Simulation simulation_;
    protocol::JobSpec job_;
};

// Guards against an accepted job that never runs: no leader started the task or ended its
// allocation.
TEST(MisplacedTasks, AreStartedByTheLeaderOfTheirMachine) {
    for (const auto kind : {protocol::JobKind::array, protocol::JobKind::gang}) {
        SCOPED_TRACE(static_cast<int>(kind));
        MisplacedTask task(kind);
        auto& simulation = task.run();
        EXPECT_EQ(simulation.lastReportedState(task.jobId()), wire::stateDone);
        EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>{});
    }
}

}  // namespace
}  // namespace fawnwheel::sim
