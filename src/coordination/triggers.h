// The trigger of a dependent job: its predecessors' ends, told by their owners and proved by their
// final records.
//
// A message about an end only saves time. A job is released by final records that were read here or
// written here, and by nothing else.
#pragma once

#include <functional>
#include <set>

#include "coordination/membership.h"

namespace fawnwheel::coordination {

class Triggers {
  public:
    Triggers(Context& context, Membership& membership)
        : context_(context), membership_(membership) {}

    // Reads the final records that jobs of our parts wait for.
    void review();
    // A job has ended, durably: tells the owners of the jobs that wait for it.
    void announce(const std::string& job);
    void onEnded(const protocol::JobEnded& message);

    // A final record has been read: jobs may have been released, or have to be cancelled.
    std::function<void()> onRead = [] {};

  private:
    using Parts = std::set<std::uint32_t>;

    // Whether a job that waits for it has its home or a slice in one of these parts.
    [[nodiscard]] static bool concerns(Ledger& ledger, const std::string& predecessor,
                                       const Parts& parts);
    [[nodiscard]] Parts ownParts();
    void read(const std::string& predecessor);

    Context& context_;
    Membership& membership_;
    std::set<std::string> reading_;
    std::map<std::string, SteadyTime> notBefore_;  // after a read that failed
};

}  // namespace fawnwheel::coordination
