#include "storage/deleted_machines.h"

#include <gtest/gtest.h>

namespace fawnwheel::storage {
namespace {

// At capacity, the name inserted first must be dropped. If the smallest name were dropped, that
// could be the name just inserted, and an outdated list from the cloud would bring the machine
// back.
TEST(DeletedMachines, DropsTheOldestName) {
    DeletedMachines gone;
    gone.insert("m-9");
    for (int i = 10'000; i < 13'999; ++i) gone.insert("m-" + std::to_string(i));
    EXPECT_TRUE(gone.contains("m-9"));
    gone.insert("m-1");
    EXPECT_TRUE(gone.contains("m-1"));
    EXPECT_TRUE(gone.contains("m-10000"));
    EXPECT_FALSE(gone.contains("m-9"));
}

}  // namespace
}  // namespace fawnwheel::storage
