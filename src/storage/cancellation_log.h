/// @file
/// The cancellations that this process knows of, in the order in which it learnt of them.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <unordered_set>
#include <vector>

namespace fawnwheel::storage {

/// A log of cancelled jobs with positions, so that peers can be sent what they have not seen.
///
/// A peer that can't reach the state service learns from here what its records lack: all that this
/// node may have told users is in the log before they are told. The oldest entries are dropped.
class CancellationLog {
  public:
    /// Of a cancellation that a peer has told of: certain, but the records' revision of it is not
    /// known here.
    static constexpr std::uint64_t unknownRevision = std::numeric_limits<std::uint64_t>::max();

    /// False if it was known already.
    bool append(const std::string& job, std::uint64_t revision);
    [[nodiscard]] bool contains(const std::string& job) const { return known_.contains(job); }

    /// The position after the last entry.
    [[nodiscard]] std::uint64_t end() const { return first_ + entries_.size(); }

    /// A part of the log.
    struct Extract {
        std::vector<std::string> jobs;
        std::uint64_t next = 0;  ///< the position after the last entry looked at
        bool complete = false;   ///< whether nothing follows
    };
    /// The entries from a position on, without those that a reader of the records up to `revision`
    /// knows.
    [[nodiscard]] Extract since(std::uint64_t position, std::uint64_t revision,
                                std::size_t maxJobs) const;
    /// Whether the log still holds all that such a reader may lack.
    [[nodiscard]] bool covers(std::uint64_t position, std::uint64_t revision) const {
        return position >= first_ || revision >= droppedRevision_;
    }

  private:
    struct Entry {
        std::string job;
        std::uint64_t revision = 0;
    };
    static constexpr std::size_t maxEntries = 10'000;

    std::deque<Entry> entries_;
    std::unordered_set<std::string> known_;
    std::uint64_t first_ = 0;            // position of the first entry kept
    std::uint64_t droppedRevision_ = 0;  // the latest of those dropped
};

}  // namespace fawnwheel::storage
