// The history digest must be equal for runs that behaved alike and differ for all others. A digest
// that misses a difference would hide a change in behaviour or a nondeterministic run.
#include <gtest/gtest.h>

#include "sim/simulation.h"

namespace fawnwheel::sim {
namespace {

// Digest of a 90 s run with one job, whose only task takes so many CPUs.
std::uint64_t digestOfRun(std::uint64_t seed, double cpus) {
    SimulationSpec spec;
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
    Simulation simulation(spec);
    simulation.addMachine("small", "a", false);
    simulation.at(Time(20), [&simulation, cpus] {
        protocol::JobSpec job;
        job.id = "run-000001";
        job.jobClass = "test";
        job.team = "crew";
        job.tasks = 1;
        job.taskResources = {cpus, 0, 1};
        job.image = "img-1";
        job.imageSize = 1;
        job.estimate = Time(10);
        simulation.submit(job, Time(10), false);
    });
    simulation.run(Time(90));
    return simulation.history().value();
}

TEST(HistoryDigestTest, IsEqualWhenTheSameSeedRunsAgain) {
    EXPECT_EQ(digestOfRun(1, 2), digestOfRun(1, 2));
}

TEST(HistoryDigestTest, DiffersWhenAJobDiffers) {
    EXPECT_NE(digestOfRun(1, 2), digestOfRun(1, 3));
}

TEST(HistoryDigestTest, DiffersBetweenSeeds) {
    EXPECT_NE(digestOfRun(1, 2), digestOfRun(2, 2));
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
