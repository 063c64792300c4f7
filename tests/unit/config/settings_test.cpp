#include "config/settings.h"

#include <gtest/gtest.h>

namespace fawnwheel::config {
namespace {

const std::string minimal = R"({"host_name": "n-1", "area": "a", "front": "1.2.3.4:1",
    "internal_addr": "1.2.3.4:2",
    "others": [{"host_name": "n-0", "area": "b", "address": "1.2.3.5:2"}],
    "outside": {"cloud": "c:1", "state": "s:1"}})";

std::string errorOf(const std::string& json) {
    try {
        parseSettings(json);
    } catch (const SettingsError& error) {
        return error.what();
    }
    return {};
}

// A settings file without teams and objectives must be accepted.
TEST(Settings, TeamsAndObjectivesAreOptional) {
    const auto settings = parseSettings(minimal);
    EXPECT_TRUE(settings.teams.empty());
    EXPECT_TRUE(settings.objectives.empty());
    EXPECT_EQ(settings.nodeNames(), (std::vector<std::string>{"n-0", "n-1"}));
    EXPECT_EQ(settings.zoneOf("n-0"), "b");
}

// An error without the field's path would not show the operator which field to correct.
TEST(Settings, ErrorsNameTheField) {
    EXPECT_NE(errorOf(R"({"host_name": 3})").find("host_name"), std::string::npos);
    auto bad = minimal;
    bad.replace(bad.find("\"cloud\": \"c:1\", "), 16, "");
    EXPECT_NE(errorOf(bad).find("outside.cloud"), std::string::npos);
    bad = minimal;
    bad.insert(bad.size() - 1, R"(, "deployment": {"workers": {"lease_s": -1}})");
    EXPECT_NE(errorOf(bad).find("deployment.workers.lease_s"), std::string::npos);
    EXPECT_FALSE(errorOf("{").empty());
}

// The state service may lower its limits at an unknown time. Records written for the present limits
// would then be refused, so the smaller of the present and the next value must apply.
TEST(Settings, SmallerOfPresentAndNextLimitsApplies) {
    const auto with = [](const std::string& state) {
        auto text = minimal;
        text.insert(text.size() - 1, R"(, "deployment": {"state": )" + state + "}");
        return text;
    };
    auto settings = parseSettings(with(
        R"({"rps": 60, "write_rps": 20, "value_kb": 4, "txn_ops": 12,
            "next": {"write_rps": 15, "value_kb": 2, "txn_ops": 4}})"));
    EXPECT_EQ(settings.stateRequestsPerSecond, 60);
    EXPECT_EQ(settings.stateWritesPerSecond, 15);
    EXPECT_EQ(settings.maxValueBytes(), 2048U);
    EXPECT_EQ(settings.maxTransactionWrites, 4U);
    EXPECT_EQ(settings.maxTransactionCompares(), 16U);
    settings = parseSettings(with(R"({"value_kb": 4, "txn_ops": 12, "next": {"txn_ops": 50}})"));
    EXPECT_EQ(settings.maxTransactionWrites, 12U);
    EXPECT_EQ(settings.maxValueKb, 4);
    EXPECT_TRUE(errorOf(with(R"({"next": null})")).empty());
    EXPECT_NE(
        errorOf(with(R"({"next": {"txn_ops": "few"}})")).find("deployment.state.next.txn_ops"),
        std::string::npos);
    EXPECT_NE(errorOf(with(R"({"next": 4})")).find("deployment.state.next"), std::string::npos);
}

// A misspelled section or an invalid value must be refused; ignoring it would leave the default in
// force without notice.
TEST(OperatorSettings, ParsesKnownFieldsAndRejectsInvalidOnes) {
    const auto settings = parseOperatorSettings(
        "[moves]\nlow = 5\nhigh=50\n; note\n"
        "[machines]\nuse_spot = no\n");
    EXPECT_EQ(settings.lowQueueLength, 5);
    EXPECT_EQ(settings.highQueueLength, 50);
    EXPECT_FALSE(settings.useSpot);
    for (const auto* bad : {"[moves]\nlow = many\n", "[moves]\nlow = -1\n", "[other]\nlow = 1\n",
                            "[moves]\nlow = 30\nhigh = 20\n", "[machines]\nuse_spot = maybe\n"})
        EXPECT_THROW(parseOperatorSettings(bad), SettingsError) << bad;
}

}  // namespace
}  // namespace fawnwheel::config
