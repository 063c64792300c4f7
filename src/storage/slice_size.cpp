#include "storage/slice_size.h"

#include <algorithm>

namespace fawnwheel::storage {

namespace {

constexpr double bytesPerTask = 52;  // an allocation with long names plus a done range
constexpr std::uint32_t minSliceSize = 4;
constexpr std::uint32_t divisibleSliceSize = 40;  // small enough to be rewritten often
constexpr std::uint32_t targetSliceCount = 16;
constexpr double writesPerSlice = 2;  // at least one for allocations and one for completions
constexpr double targetRecordingSeconds = 10;  // for all slices of a job at the full write rate

}  // namespace

std::uint32_t sliceSizeFor(const JobSpec& spec, const StateServiceLimits& limits, bool divisible) {
    const auto maxTasks =
        static_cast<std::uint32_t>(std::max(1.0, limits.valueKb * 1024 / bytesPerTask));
    Job job;
    job.spec = spec;
    if (job.requiresSingleLeader()) return std::min(maxTasks, spec.tasks);
    // With many small slices, a change of many tasks of a job takes many writes, and the write
    // limit of the state service delays the starts. If recording the allocations and completions
    // of an array would take longer than `targetRecordingSeconds`, its slices are made larger.
    if (divisible) {
        const auto sizeForWriteRate = static_cast<std::uint32_t>(
            spec.tasks * writesPerSlice /
            std::max(1.0, limits.writesPerSecond * targetRecordingSeconds));
        return std::min({maxTasks, spec.tasks, std::max(divisibleSliceSize, sizeForWriteRate)});
    }
    const auto evenSize = (spec.tasks + targetSliceCount - 1) / targetSliceCount;
    return std::clamp(evenSize, std::min(minSliceSize, maxTasks), maxTasks);
}

}  // namespace fawnwheel::storage
