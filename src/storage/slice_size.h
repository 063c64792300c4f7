/// @file
/// How the tasks of a job are split into slices.
#pragma once

#include <cstdint>

#include "storage/job.h"

namespace fawnwheel::storage {

/// What the state service allows.
struct RecordBounds {
    double valueKb = 4;           ///< size of one value
    double writesPerSecond = 20;  ///< of all nodes together
};

/// How many tasks a slice may have so that its record, all tasks allocated, stays within a value.
/// Slices that can be divided later are as large as is practical; others are small enough to be
/// migrated whole.
[[nodiscard]] std::uint32_t sliceSizeFor(const JobSpec& spec, const RecordBounds& bounds,
                                         bool divisible);

}  // namespace fawnwheel::storage
