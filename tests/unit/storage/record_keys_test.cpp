#include "storage/record_keys.h"

#include <gtest/gtest.h>

namespace fawnwheel::storage {
namespace {

void expectKey(const std::string& key, RecordKind kind, const std::string& name) {
    const auto parsed = parseKey(key);
    EXPECT_EQ(parsed.kind, kind) << key;
    EXPECT_EQ(parsed.name, name) << key;
}

// Each key must be parsed as the kind and the name from which it was built.
TEST(RecordKeys, RoundTrip) {
    expectKey(keys::catalog, RecordKind::catalog, "");
    expectKey(keys::term, RecordKind::term, "");
    expectKey(keys::job("run-1"), RecordKind::job, "run-1");
    expectKey(keys::slice("run-1", 7), RecordKind::slice, "run-1/7");
    expectKey(keys::machine("m-1"), RecordKind::machine, "m-1");
    expectKey(keys::partition(2), RecordKind::partition, "2");
    expectKey(keys::node("node-0"), RecordKind::node, "node-0");
    expectKey(keys::quota("t"), RecordKind::quota, "t");
    expectKey(keys::jobDependenciesGate("node-0"), RecordKind::jobDependenciesGate, "node-0");
    expectKey(keys::machineTransfersGate("node-0"), RecordKind::machineTransfersGate, "node-0");
}

// Keys of terminal records and keys that only resemble those of active records must not be applied.
TEST(RecordKeys, OtherKeysAreUnknown) {
    expectKey(keys::terminal("run-1"), RecordKind::unknown, "");
    expectKey("live/terms", RecordKind::unknown, "");
    expectKey("live/job", RecordKind::unknown, "");
    expectKey("", RecordKind::unknown, "");
}

// Signs, spaces, further characters and numbers above 32 bits must be rejected.
TEST(RecordKeys, NumbersMustBeTheWholeText) {
    EXPECT_EQ(parseNumber("0"), 0U);
    EXPECT_EQ(parseNumber("4294967295"), 4294967295U);
    for (const auto* text : {"", "-1", "+1", " 1", "1 ", "1/2", "4294967296"})
        EXPECT_EQ(parseNumber(text), std::nullopt) << text;
}

}  // namespace
}  // namespace fawnwheel::storage
