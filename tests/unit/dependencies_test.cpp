#include "bookkeeping/dependencies.h"

#include <gtest/gtest.h>

#include "bookkeeping/ledger.h"

namespace fawnwheel::bookkeeping {
namespace {

using protocol::Priority;
using namespace std::chrono_literals;

class Chains : public ::testing::Test {
  protected:
    Job& add(const std::string& id, const std::vector<std::string>& predecessors,
             Priority priority = Priority::low, std::optional<Seconds> deadline = std::nullopt) {
        Job job;
        job.spec.id = id;
        job.spec.tasks = 1;
        job.spec.priority = priority;
        job.spec.estimate = Seconds(10);
        job.spec.deadline = deadline;
        job.spec.predecessors = predecessors;
        job.submitted = start;
        ledger.addJob(std::move(job));
        return *ledger.job(id);
    }
    void end(const std::string& id, bool cancelled, WallTime at) {
        ledger.dependencies.noteFinal(id, {cancelled, at});
        ledger.dropJob(id);
    }

    Ledger ledger;
    const WallTime start{1000s};
};

TEST_F(Chains, OnlyAFinalRecordReleasesAJob) {
    add("run-a", {});
    add("run-b", {});
    const Job& last = add("run-c", {"run-a", "run-b"});
    EXPECT_FALSE(ledger.job("run-a")->waiting);
    EXPECT_TRUE(last.waiting);
    end("run-a", false, start + 20s);
    EXPECT_TRUE(last.waiting);
    // Its live record is gone, but nobody has read yet how it ended.
    ledger.dropJob("run-b");
    EXPECT_TRUE(last.waiting);
    EXPECT_EQ(ledger.dependencies.unresolved(), std::set<std::string>{"run-b"});
    EXPECT_FALSE(ledger.schedulable(last));
    ledger.dependencies.noteFinal("run-b", {false, start + 7s});
    EXPECT_TRUE(ledger.schedulable(last));
    EXPECT_EQ(last.readySince, start + 20s);
    EXPECT_TRUE(ledger.dependencies.unresolved().empty());
}

TEST_F(Chains, ATimeThatARecordLacksIsTheSubmission) {
    const Job& job = add("run-b", {"run-a"});
    ledger.dependencies.noteFinal("run-a", {false, std::nullopt});
    EXPECT_TRUE(ledger.schedulable(job));
    EXPECT_EQ(job.readySince, start);
}

TEST_F(Chains, ACancellationDoomsAllThatFollowsInAnyOrderOfReading) {
    add("run-z", {"run-y"});
    add("run-x", {"run-w"});
    add("run-y", {"run-x"});
    const Job& other = add("run-other", {});
    EXPECT_FALSE(ledger.job("run-z")->doomed);
    add("run-w", {});
    ledger.noteCancellation("run-w", 7);
    EXPECT_TRUE(ledger.job("run-x")->doomed);
    EXPECT_TRUE(ledger.job("run-z")->doomed);
    EXPECT_FALSE(other.doomed);
    EXPECT_TRUE(add("run-late", {"run-z"}).doomed);
}

TEST_F(Chains, ACancelledFinalRecordDoomsToo) {
    add("run-b", {"run-a"});
    add("run-c", {"run-b"});
    ledger.dependencies.noteFinal("run-a", {true, start});
    EXPECT_TRUE(ledger.job("run-b")->doomed);
    EXPECT_TRUE(ledger.job("run-c")->doomed);
    EXPECT_TRUE(ledger.job("run-b")->waiting);
}

TEST_F(Chains, ToldOfBeforeItsRecordIsRead) {
    ledger.noteCancellation("run-a", 7);
    add("run-b", {"run-a"});
    add("run-a", {});
    EXPECT_TRUE(ledger.job("run-b")->doomed);
}

TEST_F(Chains, PriorityAndSlackFlowBack) {
    add("run-a", {});
    add("run-b", {"run-a"});
    add("run-c", {"run-b"});
    EXPECT_EQ(ledger.job("run-a")->priority, Priority::low);
    EXPECT_FALSE(ledger.job("run-a")->latestEnd);
    add("run-d", {"run-c"}, Priority::high, Seconds(100));
    EXPECT_EQ(ledger.job("run-a")->priority, Priority::high);
    // Room for the 10 s of each that follows.
    EXPECT_EQ(*ledger.job("run-c")->latestEnd, start + 90s);
    EXPECT_EQ(*ledger.job("run-a")->latestEnd, start + 70s);
    add("run-e", {"run-b"}, Priority::production, Seconds(50));
    EXPECT_EQ(ledger.job("run-a")->priority, Priority::production);
    EXPECT_EQ(*ledger.job("run-b")->latestEnd, start + 40s);
    EXPECT_EQ(ledger.job("run-c")->priority, Priority::high);
    // Who is cancelled asks nothing any more.
    ledger.noteCancellation("run-e", 9);
    EXPECT_EQ(ledger.job("run-a")->priority, Priority::high);
    EXPECT_EQ(*ledger.job("run-a")->latestEnd, start + 70s);
}

TEST_F(Chains, ReadAnewInAnotherOrderTheyAreTheSame) {
    add("run-d", {"run-c"}, Priority::high, Seconds(100));
    add("run-c", {"run-b"});
    add("run-a", {});
    add("run-b", {"run-a"});
    EXPECT_EQ(ledger.job("run-a")->priority, Priority::high);
    EXPECT_EQ(*ledger.job("run-a")->latestEnd, start + 70s);
    ledger.clearRecords();
    EXPECT_TRUE(ledger.dependencies.unresolved().empty());
    add("run-a", {});
    EXPECT_EQ(ledger.job("run-a")->priority, Priority::low);
}

TEST_F(Chains, FinalStatesAreKeptOnlyForWhoNeedsThem) {
    add("run-b", {"run-a"});
    ledger.dependencies.noteFinal("run-a", {false, start});
    ledger.dependencies.noteFinal("run-unasked", {false, start});
    EXPECT_TRUE(ledger.dependencies.finalKnown("run-a"));
    EXPECT_FALSE(ledger.dependencies.finalKnown("run-unasked"));
    end("run-b", false, start);
    EXPECT_FALSE(ledger.dependencies.finalKnown("run-a"));
}

TEST_F(Chains, DeepAndWideOnesAreKeptUpAlongTheirEdges) {
    add("run-0", {});
    constexpr int depth = 400;
    for (int i = 1; i <= depth; ++i)
        add("run-" + std::to_string(i), {"run-" + std::to_string(i - 1)});
    for (int i = 0; i < depth; ++i) add("run-w" + std::to_string(i), {"run-0"});
    add("run-last", {"run-" + std::to_string(depth)}, Priority::high, Seconds(100'000));
    EXPECT_EQ(ledger.job("run-0")->priority, Priority::high);
    ledger.noteCancellation("run-0", 3);
    EXPECT_TRUE(ledger.job("run-last")->doomed);
    EXPECT_TRUE(ledger.job("run-w399")->doomed);
}

}  // namespace
}  // namespace fawnwheel::bookkeeping
