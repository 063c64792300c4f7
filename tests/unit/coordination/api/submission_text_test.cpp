// Submissions with text that is not UTF-8. One of them, repeated by its user for want of an answer,
// ended all controllers one after the other, and with them the work of other users.
#include <gtest/gtest.h>

#include "protocol/names.h"
#include "sim/small_simulation.h"
#include "storage/records.h"

namespace fawnwheel::sim {
namespace {

namespace wire = protocol::wire;
using protocol::Json;

constexpr auto invalidText = "text-\xff\xfe";

class SubmissionText : public ::testing::Test {
  protected:
    SubmissionText() : simulation(smallSimulationSpec()) {
        for (int i = 0; i < 2; ++i) simulation.addMachine("small", "a", false);
        simulation.at(Time(3),
                      [this] { simulation.submit(smallJob("run-other"), Time(400), false); });
        simulation.run(Time(40));
    }

    static Json validBody() { return protocol::encodeJobSpec(smallJob("run-1")); }
    static Json bodyWith(const std::string& field, const Json& value) {
        auto body = validBody();
        body[field] = value;
        return body;
    }
    // The status of the response from a random node; 0 if there is none.
    int post(const Json& body) {
        int status = -1;
        simulation.at(simulation.now(), [this, &status, body] {
            simulation.post(body, [&status](int got, const std::string&) { status = got; });
        });
        simulation.run(simulation.now() + Time(6));
        return status;
    }

    Simulation simulation;
};

// Guards against controllers that end on a submission, and against jobs with such text.
TEST_F(SubmissionText, ThatIsNotUtf8IsMalformedAndEndsNoController) {
    for (const auto* field : {wire::id, wire::jobClass, wire::team, wire::kind, wire::priority,
                              wire::image, wire::zone, "unknown_field", invalidText})
        for (int repetition = 0; repetition < 3; ++repetition)
            EXPECT_EQ(post(bodyWith(field, invalidText)), 400) << field;
    for (const auto* field : {wire::types, wire::dependencies})
        EXPECT_EQ(post(bodyWith(field, Json::array({invalidText}))), 400) << field;
    EXPECT_EQ(post(validBody()), 201);
    EXPECT_EQ(simulation.lastReportedState("run-other"), wire::stateRunning);
    EXPECT_EQ(simulation.checker().starts(), 1U);  // of run-other; the workers know no run-1
    EXPECT_TRUE(simulation.checker().violations().empty());
}

// Without the state service a node can't rule out that the job is one of an earlier version.
TEST_F(SubmissionText, ThatIsNotUtf8HasToBeRepeatedDuringAStateServiceOutage) {
    simulation.at(simulation.now(), [this] { simulation.stateOutage(Time(20)); });
    simulation.run(simulation.now() + Time(5));
    EXPECT_EQ(post(bodyWith(wire::image, invalidText)), 503);
    simulation.run(simulation.now() + Time(30));
    EXPECT_EQ(post(bodyWith(wire::image, invalidText)), 400);
}

// The version in production did not check text. Its jobs stay accepted: they must neither keep the
// nodes from reading the records nor be refused when their submission is repeated.
TEST_F(SubmissionText, AcceptedByAnEarlierVersionStaysAccepted) {
    auto body = bodyWith(wire::image, invalidText);
    body[wire::cpus] = 6;
    storage::Job job;
    job.spec = std::get<protocol::JobSpec>(protocol::parseJobSpec(body));
    simulation.at(simulation.now(), [this, &job] {
        simulation.putRecord(storage::keys::job("run-1"), storage::jobValue(job));
        for (int node = 0; node < simulation.nodeCount(); ++node) simulation.kill(node, Time(2));
    });
    simulation.run(simulation.now() + Time(30));
    EXPECT_EQ(post(body), 200);
    body[wire::id] = "run-2";
    EXPECT_EQ(post(body), 400);
    simulation.at(simulation.now(), [this] { simulation.cancel("run-1"); });
    simulation.run(simulation.now() + Time(10));
    EXPECT_EQ(simulation.lastReportedState("run-1"), wire::stateCancelled);
    EXPECT_EQ(post(bodyWith(wire::image, invalidText)), 200);
}

}  // namespace
}  // namespace fawnwheel::sim
