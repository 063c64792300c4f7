// The history digest tells runs apart by what could be seen of them.
#include <gtest/gtest.h>

#include "sim/world.h"

namespace fawnwheel::sim {
namespace {

// A small day with one job; `cpus` is what its only task takes.
std::uint64_t digestOfDay(std::uint64_t seed, double cpus) {
    WorldSpec spec;
    spec.seed = seed;
    TypeSpec type;
    type.type.name = "small";
    type.type.capacity = {8, 0, 32};
    type.type.cacheSize = 50;
    type.type.fetchRate = 1;
    type.type.bootTime = Time(20);
    spec.types.push_back(type);
    config::Team team;
    team.name = "crew";
    spec.teams.push_back(team);
    World world(spec);
    world.addMachine("small", "a", false);
    world.at(Time(20), [&world, cpus] {
        protocol::JobSpec job;
        job.id = "run-000001";
        job.jobClass = "test";
        job.team = "crew";
        job.tasks = 1;
        job.taskResources = {cpus, 0, 1};
        job.image = "img-1";
        job.imageSize = 1;
        job.estimate = Time(10);
        world.submit(job, Time(10), false);
    });
    world.run(Time(90));
    return world.history().value();
}

TEST(HistoryDigestTest, IsTheSameWhenTheSameSeedIsPlayedAgain) {
    EXPECT_EQ(digestOfDay(1, 2), digestOfDay(1, 2));
}

TEST(HistoryDigestTest, DiffersWhenOneJobIsAnother) {
    EXPECT_NE(digestOfDay(1, 2), digestOfDay(1, 3));
}

TEST(HistoryDigestTest, DiffersBetweenSeeds) {
    EXPECT_NE(digestOfDay(1, 2), digestOfDay(2, 2));
}

TEST(HistoryDigestTest, DependsOnTheOrderOfEvents) {
    HistoryDigest one;
    one.add(Time(1), "frame", {"node-0", "node-1", "x"});
    one.add(Time(1), "frame", {"node-1", "node-0", "x"});
    HistoryDigest other;
    other.add(Time(1), "frame", {"node-1", "node-0", "x"});
    other.add(Time(1), "frame", {"node-0", "node-1", "x"});
    EXPECT_NE(one.value(), other.value());
    EXPECT_EQ(one.events(), other.events());
}

TEST(HistoryDigestTest, DependsOnTheTimeOfAnEvent) {
    HistoryDigest one;
    one.add(Time(1), "record", {"live/term"});
    HistoryDigest other;
    other.add(Time(2), "record", {"live/term"});
    EXPECT_NE(one.value(), other.value());
}

}  // namespace
}  // namespace fawnwheel::sim
