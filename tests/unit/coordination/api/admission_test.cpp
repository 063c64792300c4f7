// Responses to the submission of jobs with dependencies. A wrong response would accept a job that
// can never start, or reject one that can.
#include <gtest/gtest.h>

#include "protocol/names.h"
#include "sim/small_simulation.h"

namespace fawnwheel::sim {
namespace {

namespace wire = protocol::wire;
using protocol::Json;

struct Response {
    int status = -1;
    std::string state;
};

class SubmissionWithDependencies : public ::testing::Test {
  protected:
    SubmissionWithDependencies() : simulation(smallSimulationSpec()) {
        for (int i = 0; i < 4; ++i) simulation.addMachine("small", "a", false);
        for (const auto& [id, runs] :
             {std::pair("run-done", 3.0), {"run-called-off", 300.0}, {"run-live", 300.0}})
            simulation.at(Time(3), [this, id = std::string(id), runs = runs] {
                simulation.submit(smallJob(id), Time(runs), false);
            });
        simulation.at(Time(5), [this] {
            auto service = smallJob("run-service");
            service.kind = protocol::JobKind::service;
            simulation.submit(service, Time(300), false);
        });
        simulation.at(Time(20), [this] { simulation.cancel("run-called-off"); });
        simulation.at(Time(25), [this] { simulation.cancel("run-called-off"); });
        simulation.run(Time(40));
    }

    static Json bodyWithDependencies(const std::string& id, const Json& dependencies) {
        auto body = protocol::encodeJobSpec(smallJob(id));
        body[wire::dependencies] = dependencies;
        return body;
    }
    Response post(const Json& body) {
        Response response;
        // Only the response matters: post() does not register the job with the simulation, so that
        // the simulated workers refuse to launch its tasks (cause "unknown").
        simulation.at(simulation.now(), [this, &response, body] {
            simulation.post(body, [&response](int status, const std::string& state) {
                response = {status, state};
            });
        });
        simulation.run(simulation.now() + Time(6));
        return response;
    }
    Response postWithDependencies(const std::string& id, const Json& dependencies) {
        return post(bodyWithDependencies(id, dependencies));
    }

    Simulation simulation;
};

TEST_F(SubmissionWithDependencies, AcceptsJobsWithoutDependencies) {
    EXPECT_EQ(postWithDependencies("run-1", nullptr).status, 201);
    EXPECT_EQ(postWithDependencies("run-2", Json::array()).status, 201);
}

TEST_F(SubmissionWithDependencies, RejectsMalformedDependencies) {
    EXPECT_EQ(postWithDependencies("run-1", "run-live").status, 400);
    EXPECT_EQ(postWithDependencies("run-1", Json::array({7})).status, 400);
    EXPECT_EQ(postWithDependencies("run-1", Json::array({"no id"})).status, 400);
    EXPECT_EQ(postWithDependencies("run-1", Json::array({"run-live", nullptr})).status, 400);
    EXPECT_EQ(postWithDependencies("run-1", Json::array({"run-1"})).status, 400);
    EXPECT_EQ(postWithDependencies("run-1", Json::object()).status, 400);
}

// Each dependency needs a compare in the transaction that creates the job, and the list has to fit
// into its record. Repetitions of one dependency count once.
TEST_F(SubmissionWithDependencies, RejectsMoreDependenciesThanARecordHolds) {
    Json distinct = Json::array();
    for (int i = 0; i < 60; ++i) distinct.push_back("run-" + std::to_string(i));
    EXPECT_EQ(postWithDependencies("run-1", distinct).status, 400);
    Json repeated = Json::array();
    for (int i = 0; i < 60; ++i) repeated.push_back("run-live");
    EXPECT_EQ(postWithDependencies("run-2", repeated).status, 201);
}

// A job that depends on an unknown job or on a service, which never ends, could never start.
TEST_F(SubmissionWithDependencies, RejectsDependenciesOnUnknownJobsAndServices) {
    EXPECT_EQ(postWithDependencies("run-1", {"run-live", "run-unheard-of"}).status, 422);
    EXPECT_EQ(postWithDependencies("run-1", {"run-service"}).status, 422);
}

// Dependencies may be active, done or cancelled. A job with a cancelled dependency is accepted and
// is itself cancelled at once, and so are jobs that depend on it.
TEST_F(SubmissionWithDependencies, AcceptsDependenciesOnJobsInAnyState) {
    EXPECT_EQ(postWithDependencies("run-1", {"run-live", "run-done"}).status, 201);
    EXPECT_EQ(postWithDependencies("run-1", {"run-live", "run-done"}).status, 200);
    EXPECT_EQ(postWithDependencies("run-2", {"run-done"}).status, 201);
    const auto cancelled = postWithDependencies("run-3", {"run-done", "run-called-off"});
    EXPECT_EQ(cancelled.status, 201);
    EXPECT_EQ(cancelled.state, "cancelled");
    EXPECT_EQ(postWithDependencies("run-3", {"run-done", "run-called-off"}).state, "cancelled");
    EXPECT_EQ(postWithDependencies("run-4", {"run-3"}).state, "cancelled");
}

// Without the state service a node cannot tell an unknown job from one that it has not seen yet,
// so the submission has to be retried.
TEST_F(SubmissionWithDependencies, AnswersUnavailableDuringAStateServiceOutage) {
    simulation.at(simulation.now(), [this] { simulation.stateOutage(Time(30)); });
    simulation.run(simulation.now() + Time(5));
    EXPECT_EQ(postWithDependencies("run-1", {"run-unheard-of"}).status, 503);
    EXPECT_EQ(postWithDependencies("run-1", {"run-live"}).status, 503);
}

// Nodes of the previous version do not know dependencies and would start a dependent job too early.
// So dependencies are accepted only once every node has been upgraded; a restart of the last old
// node changes nothing.
TEST(SubmissionDuringUpgrade, AnswersUnavailableUntilAllNodesAreUpgraded) {
    SimulationSpec spec;
    spec.oldVersion = true;
    TypeSpec type;
    type.type.name = "small";
    type.type.capacity = {8, 0, 32};
    spec.types.push_back(type);
    Simulation simulation(spec);
    protocol::JobSpec first;
    first.id = "run-first";
    first.jobClass = first.team = first.image = "x";
    first.tasks = 1;
    first.taskResources = {1, 0, 1};
    simulation.at(Time(5), [&] { simulation.submit(first, Time(300), false); });
    auto body = protocol::encodeJobSpec(first);
    body[wire::id] = "run-next";
    body[wire::dependencies] = {"run-first"};
    std::map<int, int> statuses;  // by second of the request
    const auto postAt = [&](int second) {
        simulation.at(Time(second), [&simulation, &statuses, body, second] {
            simulation.post(body, [&statuses, second](int status, const std::string&) {
                statuses[second] = status;
            });
        });
    };
    for (int node = 0; node < 2; ++node)
        simulation.at(Time(10 + 10 * node),
                      [&simulation, node] { simulation.upgrade(node, Time(2)); });
    postAt(40);
    simulation.at(Time(50), [&simulation] { simulation.kill(2, Time(2)); });
    postAt(60);
    simulation.at(Time(70), [&simulation] { simulation.upgrade(2, Time(2)); });
    postAt(90);
    simulation.run(Time(100));
    EXPECT_EQ(statuses[40], 503);
    EXPECT_EQ(statuses[60], 503);
    EXPECT_EQ(statuses[90], 201);
}

// The state service's limits fall after the job was accepted by the previous version, and its
// record is larger than a new one may be. A repeated submission was answered 400, as if there were
// no job.
TEST(SubmissionDuringUpgrade, JobAcceptedUnderHigherLimitsStaysAccepted) {
    auto spec = smallSimulationSpec();
    spec.oldVersion = true;
    spec.announcedLimits = RecordLimits{1, 4};
    Simulation simulation(spec);
    auto job = smallJob("run-wide");
    job.types = {{"small"}};
    for (int i = 0; i < 200; ++i) job.types->push_back("type-" + std::to_string(i));
    const auto body = protocol::encodeJobSpec(job);
    std::map<int, int> statuses;  // by second of the request
    for (const int second : {5, 70})
        simulation.at(Time(second), [&simulation, &statuses, body, second] {
            simulation.post(body, [&statuses, second](int status, const std::string&) {
                statuses[second] = status;
            });
        });
    for (int node = 0; node < simulation.nodeCount(); ++node)
        simulation.at(Time(20 + 10 * node),
                      [&simulation, node] { simulation.upgrade(node, Time(2)); });
    auto other = body;
    other[wire::id] = "run-wide-2";
    simulation.at(Time(72), [&simulation, &statuses, other] {
        simulation.post(other,
                        [&statuses](int status, const std::string&) { statuses[72] = status; });
    });
    simulation.run(Time(80));
    EXPECT_EQ(statuses[5], 201);
    EXPECT_EQ(statuses[70], 200);
    EXPECT_EQ(statuses[72], 400);
}

}  // namespace
}  // namespace fawnwheel::sim
