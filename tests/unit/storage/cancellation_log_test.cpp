#include "storage/cancellation_log.h"

#include <gtest/gtest.h>

namespace fawnwheel::storage {
namespace {

// A peer must receive each cancellation that its records lack, whether it reads the log at once or
// in several parts, and also a cancellation whose revision is unknown.
TEST(CancellationLogTest, ReadersGetTheCancellationsThatTheirRecordsLack) {
    CancellationLog log;
    EXPECT_TRUE(log.append("run-1", 10));
    EXPECT_TRUE(log.append("run-2", 30));
    EXPECT_TRUE(log.append("run-3", 20));
    EXPECT_FALSE(log.append("run-1", 40));
    const auto all = log.since(0, 15, 10);
    EXPECT_EQ(all.jobs, (std::vector<std::string>{"run-2", "run-3"}));
    EXPECT_TRUE(all.complete);
    EXPECT_EQ(all.next, 3U);
    const auto one = log.since(0, 15, 1);
    EXPECT_EQ(one.jobs, (std::vector<std::string>{"run-2"}));
    EXPECT_FALSE(one.complete);
    EXPECT_EQ(log.since(one.next, 15, 10).jobs, (std::vector<std::string>{"run-3"}));
    EXPECT_TRUE(log.append("run-4", CancellationLog::unknownRevision));
    EXPECT_EQ(log.since(all.next, 1000, 10).jobs, (std::vector<std::string>{"run-4"}));
}

// The log drops its oldest entries. A reader that may lack a dropped cancellation must not be
// treated as having received all of them.
TEST(CancellationLogTest, DoesNotCoverReadersThatMayLackADroppedEntry) {
    CancellationLog log;
    for (std::uint64_t i = 1; i <= 10'001; ++i) log.append("run-" + std::to_string(i), i);
    EXPECT_FALSE(log.contains("run-1"));
    EXPECT_FALSE(log.covers(0, 0));
    EXPECT_TRUE(log.covers(0, 1));
    EXPECT_TRUE(log.covers(1, 0));
    EXPECT_EQ(log.since(0, 0, 1).jobs, (std::vector<std::string>{"run-2"}));
}

}  // namespace
}  // namespace fawnwheel::storage
