/// @file
/// How the tasks of a job are split into slices.
#pragma once

#include <cstdint>

#include "storage/job.h"

namespace fawnwheel::storage {

/// Limits of the state service.
struct StateServiceLimits {
    double valueKb = 4;           ///< maximum size of a value
    double writesPerSecond = 20;  ///< for all nodes together
};

/// The number of tasks per slice with which a slice's record fits into a value even if all of its
/// tasks are allocated. Slices that can be divided later are as large as is practical; the others
/// are small enough to be migrated whole.
[[nodiscard]] std::uint32_t sliceSizeFor(const JobSpec& spec, const StateServiceLimits& limits,
                                         bool divisible);

}  // namespace fawnwheel::storage
