#include "storage/cancellation_log.h"

#include <algorithm>

namespace fawnwheel::storage {

bool CancellationLog::append(const std::string& job, std::uint64_t revision) {
    if (!jobs_.insert(job).second) return false;
    entries_.push_back({job, revision});
    if (entries_.size() > maxEntries) {
        const Entry& oldest = entries_.front();
        if (oldest.revision != unknownRevision)
            droppedRevision_ = std::max(droppedRevision_, oldest.revision);
        jobs_.erase(oldest.job);
        entries_.pop_front();
        ++firstPosition_;
    }
    return true;
}

CancellationLog::Page CancellationLog::since(std::uint64_t position, std::uint64_t revision,
                                             std::size_t maxJobs) const {
    Page page;
    auto current = std::clamp(position, firstPosition_, end());
    for (; current < end() && page.jobs.size() < maxJobs; ++current) {
        const Entry& entry = entries_[current - firstPosition_];
        if (entry.revision > revision) page.jobs.push_back(entry.job);
    }
    page.next = current;
    page.complete = current == end();
    return page;
}

}  // namespace fawnwheel::storage
