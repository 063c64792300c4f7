#include "protocol/messages.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "protocol/names.h"

namespace fawnwheel::protocol {
namespace {

Json validJob() {
    JobSpec spec;
    spec.id = "run-000412";
    spec.jobClass = "train";
    spec.team = "crew";
    spec.kind = JobKind::gang;
    spec.priority = Priority::high;
    spec.tasks = 16;
    spec.taskResources = {8, 1, 64};
    spec.image = "img-07";
    spec.imageSize = 6.2;
    spec.types = {{"g8"}};
    spec.oneZone = true;
    spec.estimate = Seconds(240);
    spec.deadline = Seconds(900);
    return encodeJobSpec(spec);
}

bool accepted(const Json& body) {
    return std::holds_alternative<JobSpec>(parseJobSpec(body));
}

// Encoding a parsed job must not lose or change a field.
TEST(JobSpec, RoundTrips) {
    const auto parsed = std::get<JobSpec>(parseJobSpec(validJob()));
    EXPECT_EQ(encodeJobSpec(parsed), validJob());
    EXPECT_EQ(parsed.tasks, 16U);
    EXPECT_EQ(parsed.deadline, Seconds(900));
}

// A client may send an optional field as null, leave it out, or add fields that this version does
// not know. Each of these submissions must be accepted.
TEST(JobSpec, AcceptsNullAbsentAndUnknownFields) {
    auto body = validJob();
    body[wire::zone] = nullptr;
    body[wire::types] = nullptr;
    body["surprise"] = {1, 2, 3};
    EXPECT_TRUE(accepted(body));
    body.erase(wire::types);
    EXPECT_TRUE(accepted(body));
}

// A submission with a missing, mistyped or out-of-range field must not become a job.
TEST(JobSpec, RejectsMissingMistypedAndOutOfRangeFields) {
    for (const auto* field :
         {wire::id, wire::jobClass, wire::team, wire::kind, wire::priority, wire::tasks, wire::cpus,
          wire::gpus, wire::memory, wire::image, wire::imageSize, wire::oneZone, wire::spread,
          wire::spot, wire::estimate, wire::checkpointInterval, wire::checkpointDuration}) {
        auto body = validJob();
        body.erase(field);
        EXPECT_FALSE(accepted(body)) << field;
        body[field] = Json::array();
        EXPECT_FALSE(accepted(body)) << field;
    }
    const std::vector<std::pair<const char*, Json>> bad{
        {wire::id, "412"},        {wire::id, "run-"},    {wire::id, "run-a b"},
        {wire::id, "run-a/b"},    {wire::tasks, 0},      {wire::tasks, 100'001},
        {wire::tasks, 1.5},       {wire::cpus, -1.0},    {wire::cpus, std::nan("")},
        {wire::memory, INFINITY}, {wire::kind, "swarm"}, {wire::priority, "highest"},
        {wire::types, "g8"},      {wire::types, {1}},    {wire::spot, "yes"},
        {wire::deadline, "soon"}};
    for (const auto& [field, value] : bad) {
        auto body = validJob();
        body[field] = value;
        EXPECT_FALSE(accepted(body)) << field << " " << value;
    }
    EXPECT_FALSE(accepted(Json::array()));
    EXPECT_FALSE(accepted(Json("text")));
}

// Damaged bytes must not crash the decoder or the parsers, and whatever is decoded must be text
// that can be encoded as JSON: a job's text that was not ended the controllers. Deep nesting and a
// huge claimed length must be refused, because they could exhaust the stack or the memory.
TEST(Cbor, RejectsMalformedAndDeeplyNestedInput) {
    std::mt19937 rng(7);
    const auto valid = encodeCbor(validJob());
    for (int i = 0; i < 20'000; ++i) {
        auto bytes = valid;
        for (int j = 0; j < 3; ++j) bytes[rng() % bytes.size()] = static_cast<char>(rng());
        if (rng() % 4 == 0) bytes.resize(rng() % bytes.size());
        if (const auto decoded = decodeCbor(bytes)) {
            parseJobSpec(*decoded);
            parseHeartbeat(*decoded);
            EXPECT_NO_THROW(static_cast<void>(decoded->dump()));
        }
    }
    EXPECT_FALSE(decodeCbor(std::string(60'000, '\x81')));
    EXPECT_FALSE(decodeCbor(std::string(60'000, '\x9f')));
    EXPECT_FALSE(decodeCbor("\xbb\xff\xff\xff\xff\xff\xff\xff\xff"));
    EXPECT_FALSE(decodeCbor(""));
    EXPECT_TRUE(decodeCbor(valid));
}

// Text that is not UTF-8 is not CBOR, wherever it stands. It ended each controller that received it
// in a submission (submission_text_test.cpp).
TEST(Cbor, RejectsTextThatIsNotUtf8) {
    const std::vector<std::string> valid{"",
                                         "img-07",
                                         "caf\xc3\xa9",
                                         "\xe2\x82\xac",
                                         "\xed\x9f\xbf",
                                         "\xf4\x8f\xbf\xbf",
                                         std::string(1, '\0')};
    const std::vector<std::string> invalid{"img-\xff\xfe",       // no lead bytes
                                           "\x80",               // continuation without a lead byte
                                           "\xe2\x82",           // truncated
                                           "\xc0\xaf",           // overlong
                                           "\xed\xa0\x80",       // surrogate
                                           "\xf4\x90\x80\x80"};  // above U+10FFFF
    for (const auto& text : valid)
        for (const Json& value : {Json(text), Json{{text, 1}}, Json{{"list", {1, text}}}})
            EXPECT_EQ(decodeCbor(encodeCbor(value)), value) << value;
    for (const auto& text : invalid)
        for (const Json& value : {Json(text), Json{{text, 1}}, Json{{"list", {1, text}}}}) {
            EXPECT_FALSE(decodeCbor(encodeCbor(value)));
            EXPECT_EQ(decodeCbor(encodeCbor(value), TextEncoding::any), value);
        }
    // Text in chunks, each of which has to be valid by itself.
    EXPECT_EQ(decodeCbor("\x7f\x62\xc3\xa9\x61z\xff"), Json("\xc3\xa9z"));
    EXPECT_FALSE(decodeCbor("\x7f\x61\xc3\x61\xa9\xff"));
}

// Measuring a record that an earlier version wrote must not throw: the exception ended the process.
TEST(Cbor, MeasuresTextOfAnyEncoding) {
    EXPECT_EQ(jsonSize({{"k", "img"}}), std::string(R"({"k":"img"})").size());
    EXPECT_EQ(jsonSize({{"k", "\xff"}}), std::string(R"({"k":"***"})").size());
}

// The cloud's text is not checked by the decoder, so that one bad entry does not hide the others.
TEST(Catalog, LeavesOutTypesAndZonesWithInvalidText) {
    const Json body{{wire::types,
                     {{{wire::name, "g8"}, {wire::zones, {"a", "z\xff"}}},
                      {{wire::name, "g\xff"}, {wire::zones, {"a"}}}}}};
    const auto types = parseCatalog(body);
    ASSERT_EQ(types.size(), 1U);
    EXPECT_EQ(types[0].name, "g8");
    EXPECT_EQ(types[0].zones, std::vector<std::string>{"a"});
}

// A heartbeat with a malformed task or machine name must be refused as a whole.
TEST(Heartbeat, ParsesTasksAndRejectsMalformedNames) {
    Json body{{wire::machine, "m-1"},
              {wire::agentEpoch, 2},
              {wire::sequence, 9},
              {wire::fencingToken, 41},
              {wire::interruptionNotice, nullptr},
              {wire::tasks,
               {{{wire::task, "run-1/3"},
                 {wire::attempt, 7},
                 {wire::state, wire::stateExited},
                 {wire::cause, wire::causeDone}}}}};
    const auto heartbeat = parseHeartbeat(body);
    ASSERT_TRUE(heartbeat);
    EXPECT_EQ(heartbeat->tasks.at(0).job, "run-1");
    EXPECT_EQ(heartbeat->tasks.at(0).index, 3U);
    EXPECT_EQ(heartbeat->tasks.at(0).state, TaskState::exited);
    EXPECT_EQ(heartbeat->tasks.at(0).cause, ExitCause::done);
    EXPECT_FALSE(heartbeat->interruptionNotice);
    body[wire::tasks][0][wire::task] = "run-1";
    EXPECT_FALSE(parseHeartbeat(body));
    body[wire::tasks] = Json::array();
    for (const auto* machine : {"m/1", "m 1", "m-1\r\n", "m-\xff", ""}) {
        body[wire::machine] = machine;
        EXPECT_FALSE(parseHeartbeat(body)) << machine;
    }
    body[wire::machine] = "m-1";
    EXPECT_TRUE(parseHeartbeat(body));
}

}  // namespace
}  // namespace fawnwheel::protocol
