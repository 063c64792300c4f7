// What users are answered when they submit jobs that need others.
#include <gtest/gtest.h>

#include "protocol/names.h"
#include "sim/small_world.h"

namespace fawnwheel::sim {
namespace {

namespace wire = protocol::wire;
using protocol::Json;

struct Answer {
    int status = -1;
    std::string state;
};

class Submission : public ::testing::Test {
  protected:
    Submission() : world(smallWorld()) {
        for (int i = 0; i < 4; ++i) world.addMachine("small", "a", false);
        for (const auto& [id, runs] :
             {std::pair("run-done", 3.0), {"run-called-off", 300.0}, {"run-live", 300.0}})
            world.at(Time(3), [this, id = std::string(id), runs = runs] {
                world.submit(smallJob(id), Time(runs), false);
            });
        world.at(Time(5), [this] {
            auto service = smallJob("run-service");
            service.kind = protocol::JobKind::service;
            world.submit(service, Time(300), false);
        });
        world.at(Time(20), [this] { world.cancel("run-called-off"); });
        world.at(Time(25), [this] { world.cancel("run-called-off"); });
        world.run(Time(40));
    }

    static Json bodyAfter(const std::string& id, const Json& dependencies) {
        auto body = protocol::encodeJobSpec(smallJob(id));
        body[wire::dependencies] = dependencies;
        return body;
    }
    Answer post(const Json& body) {
        Answer answer;
        // Known to the world, so that its workers run it.
        world.at(world.now(), [this, &answer, body] {
            world.post(body, [&answer](int status, const std::string& state) {
                answer = {status, state};
            });
        });
        world.run(world.now() + Time(6));
        return answer;
    }
    Answer postAfter(const std::string& id, const Json& dependencies) {
        return post(bodyAfter(id, dependencies));
    }

    World world;
};

TEST_F(Submission, WithoutDependenciesNothingChanges) {
    EXPECT_EQ(postAfter("run-1", nullptr).status, 201);
    EXPECT_EQ(postAfter("run-2", Json::array()).status, 201);
}

TEST_F(Submission, MalformedDependenciesAreRefused) {
    EXPECT_EQ(postAfter("run-1", "run-live").status, 400);
    EXPECT_EQ(postAfter("run-1", Json::array({7})).status, 400);
    EXPECT_EQ(postAfter("run-1", Json::array({"no id"})).status, 400);
    EXPECT_EQ(postAfter("run-1", Json::array({"run-live", nullptr})).status, 400);
    EXPECT_EQ(postAfter("run-1", Json::array({"run-1"})).status, 400);
    EXPECT_EQ(postAfter("run-1", Json::object()).status, 400);
}

TEST_F(Submission, MoreThanARecordHoldsIsRefused) {
    Json many = Json::array();
    for (int i = 0; i < 60; ++i) many.push_back("run-" + std::to_string(i));
    EXPECT_EQ(postAfter("run-1", many).status, 400);
    Json same = Json::array();
    for (int i = 0; i < 60; ++i) same.push_back("run-live");
    EXPECT_EQ(postAfter("run-2", same).status, 201);
}

TEST_F(Submission, JobsThatWereNeverAcceptedAndServicesCanNotBeNamed) {
    EXPECT_EQ(postAfter("run-1", {"run-live", "run-unheard-of"}).status, 422);
    EXPECT_EQ(postAfter("run-1", {"run-service"}).status, 422);
}

TEST_F(Submission, JobsInAnyStateCanBeNamed) {
    EXPECT_EQ(postAfter("run-1", {"run-live", "run-done"}).status, 201);
    EXPECT_EQ(postAfter("run-1", {"run-live", "run-done"}).status, 200);
    EXPECT_EQ(postAfter("run-2", {"run-done"}).status, 201);
    const auto cancelled = postAfter("run-3", {"run-done", "run-called-off"});
    EXPECT_EQ(cancelled.status, 201);
    EXPECT_EQ(cancelled.state, "cancelled");
    EXPECT_EQ(postAfter("run-3", {"run-done", "run-called-off"}).state, "cancelled");
    EXPECT_EQ(postAfter("run-4", {"run-3"}).state, "cancelled");
}

TEST_F(Submission, InAnOutageNothingIsDecided) {
    world.at(world.now(), [this] { world.stateOutage(Time(30)); });
    world.run(world.now() + Time(5));
    EXPECT_EQ(postAfter("run-1", {"run-unheard-of"}).status, 503);
    EXPECT_EQ(postAfter("run-1", {"run-live"}).status, 503);
}

TEST(SubmissionWhileUpgrading, WaitsForTheLastNode) {
    WorldSpec spec;
    spec.oldVersion = true;
    TypeSpec type;
    type.type.name = "small";
    type.type.capacity = {8, 0, 32};
    spec.types.push_back(type);
    World world(spec);
    protocol::JobSpec first;
    first.id = "run-first";
    first.jobClass = first.team = first.image = "x";
    first.tasks = 1;
    first.each = {1, 0, 1};
    world.at(Time(5), [&] { world.submit(first, Time(300), false); });
    auto body = protocol::encodeJobSpec(first);
    body[wire::id] = "run-next";
    body[wire::dependencies] = {"run-first"};
    std::map<int, int> statuses;  // by second
    const auto postAt = [&](int second) {
        world.at(Time(second), [&world, &statuses, body, second] {
            world.post(body, [&statuses, second](int status, const std::string&) {
                statuses[second] = status;
            });
        });
    };
    for (int node = 0; node < 2; ++node)
        world.at(Time(10 + 10 * node), [&world, node] { world.upgrade(node, Time(2)); });
    postAt(40);
    world.at(Time(50), [&world] { world.kill(2, Time(2)); });
    postAt(60);
    world.at(Time(70), [&world] { world.upgrade(2, Time(2)); });
    postAt(90);
    world.run(Time(100));
    EXPECT_EQ(statuses[40], 503);
    EXPECT_EQ(statuses[60], 503);
    EXPECT_EQ(statuses[90], 201);
}

}  // namespace
}  // namespace fawnwheel::sim
