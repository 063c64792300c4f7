#include "storage/slice_size.h"

#include <algorithm>

namespace fawnwheel::storage {

namespace {

constexpr double bytesPerTask = 52;  // an allocation with long names, plus its done range
constexpr std::uint32_t migratableSliceSize = 4;
constexpr std::uint32_t practicalSliceSize = 40;  // small enough to be rewritten often
constexpr std::uint32_t slicesWanted = 16;
constexpr double writesPerSlice = 2;     // its allocations and its ends, at the least
constexpr double recordingSeconds = 10;  // for all slices of a job, at the full write rate

}  // namespace

std::uint32_t sliceSizeFor(const JobSpec& spec, const RecordBounds& bounds, bool divisible) {
    const auto maxTasks =
        static_cast<std::uint32_t>(std::max(1.0, bounds.valueKb * 1024 / bytesPerTask));
    Job job;
    job.spec = spec;
    if (job.requiresSingleLeader()) return std::min(maxTasks, spec.tasks);
    // With many small slices, tasks of a job that changed together took many writes, and the write
    // limit of the state service delayed the starts. An array that is so large that even its
    // allocations and completions take longer than this gets larger slices.
    if (divisible) {
        const auto sizeForWriteRate = static_cast<std::uint32_t>(
            spec.tasks * writesPerSlice / std::max(1.0, bounds.writesPerSecond * recordingSeconds));
        return std::min({maxTasks, spec.tasks, std::max(practicalSliceSize, sizeForWriteRate)});
    }
    const auto even = (spec.tasks + slicesWanted - 1) / slicesWanted;
    return std::clamp(even, std::min(migratableSliceSize, maxTasks), maxTasks);
}

}  // namespace fawnwheel::storage
