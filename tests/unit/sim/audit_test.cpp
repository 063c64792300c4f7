// The audit of records, cluster states and machines must find what is planted.
#include <gtest/gtest.h>

#include "sim/small_world.h"

namespace fawnwheel::sim {
namespace {

std::size_t breachesOf(World& world, const std::string& rule) {
    const auto& all = world.checker().breaches();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [&rule](const auto& b) { return b.starts_with(rule + ":"); }));
}

class Audit : public ::testing::Test {
  protected:
    Audit() : world(smallWorld()) {
        for (int i = 0; i < 4; ++i) world.addMachine("small", "a", false);
        auto job = smallJob("run-1");
        job.tasks = 4;
        job.estimate = Time(500);
        world.at(Time(3), [this, job] { world.submit(job, Time(500), false); });
    }

    World world;
};

TEST_F(Audit, FindsNothingOnAGoodDay) {
    world.run(Time(150));
    EXPECT_TRUE(world.checker().breaches().empty());
}

TEST_F(Audit, FindsTasksOfALiveJobWhoseSliceHasNoRecord) {
    world.at(Time(40), [this] { world.loseRecord("live/slice/run-1/0"); });
    world.run(Time(150));
    EXPECT_GE(breachesOf(world, "orphaned"), 4U);
    EXPECT_EQ(breachesOf(world, "audit"), 3U);  // one for each node
}

}  // namespace
}  // namespace fawnwheel::sim
