// Makes an owner's changes of slices and jobs durable, many in one transaction.
#pragma once

#include "coordination/committer.h"

namespace fawnwheel::coordination {

class Recorder {
  public:
    Recorder(Context& context, Committer& committer) : context_(context), committer_(committer) {}

    // Writes what has changed in this part, if nothing of it is under way already.
    void flush(std::uint32_t part);

    // A job has reached its end, durably.
    std::function<void(const std::string& job, bool cancelled)> onFinal = [](const std::string&,
                                                                             bool) {};
    // Claims on these machines have become durable: their starts may be sent.
    std::function<void(const std::set<std::string>& machines)> onDurable =
        [](const std::set<std::string>&) {};

  private:
    struct Batch {
        protocol::Transaction transaction;
        std::vector<std::pair<std::string, bool>> finals;  // job, cancelled
        struct Written {
            std::string job;
            std::uint32_t index = 0;
            std::uint64_t version = 0;  // before
        };
        std::vector<Written> slices;
        std::size_t bytes = 0;
        std::set<std::string> jobs;  // with a condition already
    };

    void addFinal(Batch& batch, Job& job);
    void addSlice(Batch& batch, Job& job, Slice& slice);
    [[nodiscard]] bool full(const Batch& batch) const;
    void finish(std::uint32_t part, const Batch& batch, CommitResult result,
                std::uint64_t revision);
    void sweepLeftovers(std::uint32_t part);

    Context& context_;
    Committer& committer_;
    std::deque<std::string> leftovers_;  // slice records of ended jobs
};

}  // namespace fawnwheel::coordination
