#include "storage/dependency_graph.h"

#include <gtest/gtest.h>

#include "storage/cluster_state.h"

namespace fawnwheel::storage {
namespace {

using protocol::Priority;
using namespace std::chrono_literals;

class DependencyGraphTest : public ::testing::Test {
  protected:
    Job& add(const std::string& id, const std::vector<std::string>& dependencies,
             Priority priority = Priority::low, std::optional<Seconds> deadline = std::nullopt) {
        Job job;
        job.spec.id = id;
        job.spec.tasks = 1;
        job.spec.priority = priority;
        job.spec.estimate = Seconds(10);
        job.spec.deadline = deadline;
        job.spec.dependencies = dependencies;
        job.submitted = start;
        clusterState.addJob(std::move(job));
        return *clusterState.job(id);
    }
    void end(const std::string& id, bool cancelled, WallTime at) {
        clusterState.dependencyGraph.recordTerminal(id, {cancelled, at});
        clusterState.removeJob(id);
    }

    ClusterState clusterState;
    const WallTime start{1000s};
};

// A deleted active record doesn't show whether the job completed or was cancelled. A dependent must
// stay blocked until the terminal records of all its dependencies have been read.
TEST_F(DependencyGraphTest, OnlyTerminalRecordsUnblockADependent) {
    add("run-a", {});
    add("run-b", {});
    const Job& last = add("run-c", {"run-a", "run-b"});
    EXPECT_FALSE(clusterState.job("run-a")->blockedOnDependencies);
    EXPECT_TRUE(last.blockedOnDependencies);
    end("run-a", false, start + 20s);
    EXPECT_TRUE(last.blockedOnDependencies);
    // The active record of run-b is deleted, but its terminal record has not been read.
    clusterState.removeJob("run-b");
    EXPECT_TRUE(last.blockedOnDependencies);
    EXPECT_EQ(clusterState.dependencyGraph.unresolved(), std::set<std::string>{"run-b"});
    EXPECT_FALSE(clusterState.schedulable(last));
    clusterState.dependencyGraph.recordTerminal("run-b", {false, start + 7s});
    EXPECT_TRUE(clusterState.schedulable(last));
    EXPECT_EQ(last.readySince, start + 20s);
    EXPECT_TRUE(clusterState.dependencyGraph.unresolved().empty());
}

// Terminal records of the first version lack the time of the end. The dependent then counts as
// ready since its submission.
TEST_F(DependencyGraphTest, ReadySinceSubmissionIfTheTerminalRecordLacksATime) {
    const Job& job = add("run-b", {"run-a"});
    clusterState.dependencyGraph.recordTerminal("run-a", {false, std::nullopt});
    EXPECT_TRUE(clusterState.schedulable(job));
    EXPECT_EQ(job.readySince, start);
}

// Records are read in the order of their names, so that dependents can be added before their
// dependencies. A cancellation must reach all transitive dependents, including those added later.
TEST_F(DependencyGraphTest, CancellationReachesAllDependentsInAnyReadOrder) {
    add("run-z", {"run-y"});
    add("run-x", {"run-w"});
    add("run-y", {"run-x"});
    const Job& other = add("run-other", {});
    EXPECT_FALSE(clusterState.job("run-z")->dependencyCancelled);
    add("run-w", {});
    clusterState.recordCancellation("run-w", 7);
    EXPECT_TRUE(clusterState.job("run-x")->dependencyCancelled);
    EXPECT_TRUE(clusterState.job("run-z")->dependencyCancelled);
    EXPECT_FALSE(other.dependencyCancelled);
    EXPECT_TRUE(add("run-late", {"run-z"}).dependencyCancelled);
}

// A node may learn of a dependency's cancellation only from the terminal record. That must cancel
// all transitive dependents as well.
TEST_F(DependencyGraphTest, CancelledTerminalRecordCancelsDependents) {
    add("run-b", {"run-a"});
    add("run-c", {"run-b"});
    clusterState.dependencyGraph.recordTerminal("run-a", {true, start});
    EXPECT_TRUE(clusterState.job("run-b")->dependencyCancelled);
    EXPECT_TRUE(clusterState.job("run-c")->dependencyCancelled);
    EXPECT_TRUE(clusterState.job("run-b")->blockedOnDependencies);
}

// A peer can report a cancellation before this node has read the job's record. The cancellation
// must still reach the job's dependents when the record is read.
TEST_F(DependencyGraphTest, CancellationKnownBeforeTheRecordCancelsDependents) {
    clusterState.recordCancellation("run-a", 7);
    add("run-b", {"run-a"});
    add("run-a", {});
    EXPECT_TRUE(clusterState.job("run-b")->dependencyCancelled);
}

// A job on which an urgent job depends, directly or transitively, must get that priority and an end
// that leaves time for its dependents. Cancelled dependents must not count.
TEST_F(DependencyGraphTest, DependentsRaisePriorityAndSetTheLatestEnd) {
    add("run-a", {});
    add("run-b", {"run-a"});
    add("run-c", {"run-b"});
    EXPECT_EQ(clusterState.job("run-a")->priority, Priority::low);
    EXPECT_FALSE(clusterState.job("run-a")->latestEnd);
    add("run-d", {"run-c"}, Priority::high, Seconds(100));
    EXPECT_EQ(clusterState.job("run-a")->priority, Priority::high);
    // Leaves 10 s for each dependent on the way to run-d's deadline.
    EXPECT_EQ(*clusterState.job("run-c")->latestEnd, start + 90s);
    EXPECT_EQ(*clusterState.job("run-a")->latestEnd, start + 70s);
    add("run-e", {"run-b"}, Priority::production, Seconds(50));
    EXPECT_EQ(clusterState.job("run-a")->priority, Priority::production);
    EXPECT_EQ(*clusterState.job("run-b")->latestEnd, start + 40s);
    EXPECT_EQ(clusterState.job("run-c")->priority, Priority::high);
    // A cancelled dependent has no demand.
    clusterState.recordCancellation("run-e", 9);
    EXPECT_EQ(clusterState.job("run-a")->priority, Priority::high);
    EXPECT_EQ(*clusterState.job("run-a")->latestEnd, start + 70s);
}

// The order in which records are read must not change priorities and latest ends. Clearing the
// records must leave no demand of former dependents.
TEST_F(DependencyGraphTest, ReadOrderDoesNotChangeDemandAndClearingRemovesIt) {
    add("run-d", {"run-c"}, Priority::high, Seconds(100));
    add("run-c", {"run-b"});
    add("run-a", {});
    add("run-b", {"run-a"});
    EXPECT_EQ(clusterState.job("run-a")->priority, Priority::high);
    EXPECT_EQ(*clusterState.job("run-a")->latestEnd, start + 70s);
    clusterState.clearRecords();
    EXPECT_TRUE(clusterState.dependencyGraph.unresolved().empty());
    add("run-a", {});
    EXPECT_EQ(clusterState.job("run-a")->priority, Priority::low);
}

// Terminal states must be kept only while an active job depends on them, or they would accumulate.
TEST_F(DependencyGraphTest, KeepsTerminalStatesOnlyForActiveDependents) {
    add("run-b", {"run-a"});
    clusterState.dependencyGraph.recordTerminal("run-a", {false, start});
    clusterState.dependencyGraph.recordTerminal("run-unasked", {false, start});
    EXPECT_TRUE(clusterState.dependencyGraph.isTerminalKnown("run-a"));
    EXPECT_FALSE(clusterState.dependencyGraph.isTerminalKnown("run-unasked"));
    end("run-b", false, start);
    EXPECT_FALSE(clusterState.dependencyGraph.isTerminalKnown("run-a"));
}

// Demand and cancellations must propagate through a chain of 400 jobs and to 400 direct dependents.
TEST_F(DependencyGraphTest, PropagatesThroughDeepAndWideGraphs) {
    add("run-0", {});
    constexpr int depth = 400;
    for (int i = 1; i <= depth; ++i)
        add("run-" + std::to_string(i), {"run-" + std::to_string(i - 1)});
    for (int i = 0; i < depth; ++i) add("run-w" + std::to_string(i), {"run-0"});
    add("run-last", {"run-" + std::to_string(depth)}, Priority::high, Seconds(100'000));
    EXPECT_EQ(clusterState.job("run-0")->priority, Priority::high);
    clusterState.recordCancellation("run-0", 3);
    EXPECT_TRUE(clusterState.job("run-last")->dependencyCancelled);
    EXPECT_TRUE(clusterState.job("run-w399")->dependencyCancelled);
}

}  // namespace
}  // namespace fawnwheel::storage
