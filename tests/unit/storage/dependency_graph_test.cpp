#include "storage/dependency_graph.h"

#include <gtest/gtest.h>

#include "storage/cluster_state.h"

namespace fawnwheel::storage {
namespace {

using protocol::Priority;
using namespace std::chrono_literals;

class Chains : public ::testing::Test {
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

TEST_F(Chains, OnlyATerminalRecordReleasesAJob) {
    add("run-a", {});
    add("run-b", {});
    const Job& last = add("run-c", {"run-a", "run-b"});
    EXPECT_FALSE(clusterState.job("run-a")->blockedOnDependencies);
    EXPECT_TRUE(last.blockedOnDependencies);
    end("run-a", false, start + 20s);
    EXPECT_TRUE(last.blockedOnDependencies);
    // Its active record is gone, but nobody has read yet how it ended.
    clusterState.removeJob("run-b");
    EXPECT_TRUE(last.blockedOnDependencies);
    EXPECT_EQ(clusterState.dependencyGraph.unresolved(), std::set<std::string>{"run-b"});
    EXPECT_FALSE(clusterState.schedulable(last));
    clusterState.dependencyGraph.recordTerminal("run-b", {false, start + 7s});
    EXPECT_TRUE(clusterState.schedulable(last));
    EXPECT_EQ(last.readySince, start + 20s);
    EXPECT_TRUE(clusterState.dependencyGraph.unresolved().empty());
}

TEST_F(Chains, ATimeThatARecordLacksIsTheSubmission) {
    const Job& job = add("run-b", {"run-a"});
    clusterState.dependencyGraph.recordTerminal("run-a", {false, std::nullopt});
    EXPECT_TRUE(clusterState.schedulable(job));
    EXPECT_EQ(job.readySince, start);
}

TEST_F(Chains, ACancellationCancelsAllThatFollowsInAnyOrderOfReading) {
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

TEST_F(Chains, ACancelledTerminalRecordCancelsToo) {
    add("run-b", {"run-a"});
    add("run-c", {"run-b"});
    clusterState.dependencyGraph.recordTerminal("run-a", {true, start});
    EXPECT_TRUE(clusterState.job("run-b")->dependencyCancelled);
    EXPECT_TRUE(clusterState.job("run-c")->dependencyCancelled);
    EXPECT_TRUE(clusterState.job("run-b")->blockedOnDependencies);
}

TEST_F(Chains, ToldOfBeforeItsRecordIsRead) {
    clusterState.recordCancellation("run-a", 7);
    add("run-b", {"run-a"});
    add("run-a", {});
    EXPECT_TRUE(clusterState.job("run-b")->dependencyCancelled);
}

TEST_F(Chains, PriorityAndSlackFlowBack) {
    add("run-a", {});
    add("run-b", {"run-a"});
    add("run-c", {"run-b"});
    EXPECT_EQ(clusterState.job("run-a")->priority, Priority::low);
    EXPECT_FALSE(clusterState.job("run-a")->latestEnd);
    add("run-d", {"run-c"}, Priority::high, Seconds(100));
    EXPECT_EQ(clusterState.job("run-a")->priority, Priority::high);
    // Leaves the 10 s of each dependent.
    EXPECT_EQ(*clusterState.job("run-c")->latestEnd, start + 90s);
    EXPECT_EQ(*clusterState.job("run-a")->latestEnd, start + 70s);
    add("run-e", {"run-b"}, Priority::production, Seconds(50));
    EXPECT_EQ(clusterState.job("run-a")->priority, Priority::production);
    EXPECT_EQ(*clusterState.job("run-b")->latestEnd, start + 40s);
    EXPECT_EQ(clusterState.job("run-c")->priority, Priority::high);
    // A cancelled dependent demands nothing any more.
    clusterState.recordCancellation("run-e", 9);
    EXPECT_EQ(clusterState.job("run-a")->priority, Priority::high);
    EXPECT_EQ(*clusterState.job("run-a")->latestEnd, start + 70s);
}

TEST_F(Chains, ReadAgainInAnotherOrderTheyAreTheSame) {
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

TEST_F(Chains, TerminalStatesAreKeptOnlyForWhoNeedsThem) {
    add("run-b", {"run-a"});
    clusterState.dependencyGraph.recordTerminal("run-a", {false, start});
    clusterState.dependencyGraph.recordTerminal("run-unasked", {false, start});
    EXPECT_TRUE(clusterState.dependencyGraph.isTerminalKnown("run-a"));
    EXPECT_FALSE(clusterState.dependencyGraph.isTerminalKnown("run-unasked"));
    end("run-b", false, start);
    EXPECT_FALSE(clusterState.dependencyGraph.isTerminalKnown("run-a"));
}

TEST_F(Chains, DeepAndWideOnesAreKeptUpAlongTheirEdges) {
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
