#include "storage/cancellation_log.h"

#include <algorithm>

namespace fawnwheel::storage {

bool CancellationLog::append(const std::string& job, std::uint64_t revision) {
    if (!known_.insert(job).second) return false;
    entries_.push_back({job, revision});
    if (entries_.size() > maxEntries) {
        const Entry& oldest = entries_.front();
        if (oldest.revision != unknownRevision)
            droppedRevision_ = std::max(droppedRevision_, oldest.revision);
        known_.erase(oldest.job);
        entries_.pop_front();
        ++first_;
    }
    return true;
}

CancellationLog::Extract CancellationLog::since(std::uint64_t position, std::uint64_t revision,
                                                std::size_t maxJobs) const {
    Extract extract;
    auto at = std::clamp(position, first_, end());
    for (; at < end() && extract.jobs.size() < maxJobs; ++at) {
        const Entry& entry = entries_[at - first_];
        if (entry.revision > revision) extract.jobs.push_back(entry.job);
    }
    extract.next = at;
    extract.complete = at == end();
    return extract;
}

}  // namespace fawnwheel::storage
