/// @file
/// The job cancellations known to this process, in the order in which it learned of them.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <unordered_set>
#include <vector>

namespace fawnwheel::storage {

/// A log of cancelled jobs in which each entry has a position, so that each peer can be sent the
/// entries that it has not received.
///
/// Entries sent from this log inform a peer that can't reach the state service of cancellations
/// that its replica lacks. Every cancellation is appended before this node confirms it to a user.
/// The oldest entries are dropped.
class CancellationLog {
  public:
    /// The revision of a cancellation that a peer reported: the cancellation is certain, but this
    /// node does not know at which revision the state service recorded it.
    static constexpr std::uint64_t unknownRevision = std::numeric_limits<std::uint64_t>::max();

    /// Returns false if the log already contains the job.
    bool append(const std::string& job, std::uint64_t revision);
    [[nodiscard]] bool contains(const std::string& job) const { return jobs_.contains(job); }

    /// The position after the last entry.
    [[nodiscard]] std::uint64_t end() const { return firstPosition_ + entries_.size(); }

    /// Consecutive entries of the log, filtered for one reader.
    struct Page {
        std::vector<std::string> jobs;
        std::uint64_t next = 0;  ///< the position after the last entry examined
        bool complete = false;   ///< whether the log has no entries after these
    };
    /// Returns at most `maxJobs` jobs from a position on, and skips those whose cancellation a
    /// reader that has applied the records up to `revision` knows.
    [[nodiscard]] Page since(std::uint64_t position, std::uint64_t revision,
                             std::size_t maxJobs) const;
    /// Whether the log still holds every cancellation that such a reader may lack.
    [[nodiscard]] bool covers(std::uint64_t position, std::uint64_t revision) const {
        return position >= firstPosition_ || revision >= droppedRevision_;
    }

  private:
    struct Entry {
        std::string job;
        std::uint64_t revision = 0;
    };
    static constexpr std::size_t maxEntries = 10'000;

    std::deque<Entry> entries_;
    std::unordered_set<std::string> jobs_;
    std::uint64_t firstPosition_ = 0;    // position of the oldest entry kept
    std::uint64_t droppedRevision_ = 0;  // latest known revision of a dropped entry
};

}  // namespace fawnwheel::storage
