// The paper's runtime adaptation: watch the ready queue, and push unstarted work to a peer.
#pragma once

#include <random>

#include "coordination/committer.h"
#include "coordination/placement.h"
#include "coordination/recorder.h"
#include "protocol/peer_codec.h"

namespace fawnwheel::coordination {

// Exponentially weighted average of the queue and the RED-like probability of a move.
class QueueWatch {
  public:
    struct Tuning {
        double weight = 0.2;
        double low = 20;
        double high = 200;
        double probability = 0.1;
    };

    void sample(double queueLength, const Tuning& tuning);
    // Probability of moving one job, given its stickiness from 0 (stays) to 1 (free to go).
    [[nodiscard]] double moveProbability(double freedom, const Tuning& tuning) const;
    void considered() { ++count_; }
    void moved() { count_ = 0; }
    [[nodiscard]] double average() const { return average_; }
    [[nodiscard]] bool aboveHigh(const Tuning& tuning) const { return average_ > tuning.high; }

  private:
    double average_ = 0;
    double count_ = 0;  // jobs seen since the last move
};

class Moves {
  public:
    Moves(Context& context, Membership& membership, TransactionPipeline& pipeline,
          StateWriter& stateWriter, Placement& placement)
        : context_(context),
          membership_(membership),
          pipeline_(pipeline),
          stateWriter_(stateWriter),
          placement_(placement) {}

    void start();
    void onAsk(const std::string& peer, const protocol::MoveAsk& ask);
    void onAnswer(const protocol::MoveAnswer& answer);
    // Where a new job starts out.
    [[nodiscard]] std::uint32_t mapJob(const Job& job);

  private:
    struct Offer {
        std::uint32_t partition = 0;  // ours
        std::string job;
        std::uint32_t slice = 0;
        bool wholeJob = false;
        bookkeeping::TaskRange range;  // of the slice
        std::uint32_t tasks = 0;
        std::vector<std::uint32_t> peersLeft;  // partitions to ask, in turn
        std::uint32_t asked = 0;               // partition
    };
    struct Promise {
        std::uint32_t partition = 0;
        std::uint32_t tasks = 0;
        SteadyTime until{};
    };

    void sampleAll();
    void samplePartition(std::uint32_t partition);
    void consider(std::uint32_t partition, const std::string& id, bool always);
    // Whether some of the job's tasks here could be pushed.
    [[nodiscard]] bool movable(const Job& job, std::uint32_t partition);
    // The tasks of a slice that may be pushed together; none: an empty range.
    [[nodiscard]] bookkeeping::TaskRange movableRange(const Slice& slice);
    void offer(std::uint32_t partition, Job& job, const Slice& slice, bool wholeJob);
    void askNext(std::uint64_t ask);
    void push(std::uint64_t ask);
    void pushJob(std::uint64_t ask, const Offer& offer, std::uint32_t target);
    void pushTasks(std::uint64_t ask, const Offer& offer, std::uint32_t target);
    void finishPush(std::uint64_t ask, std::uint32_t target, bool pushed);
    void setLeaving(const Offer& offer, bool leaving);
    [[nodiscard]] QueueWatch::Tuning tuningFor(std::uint32_t partition);
    [[nodiscard]] std::optional<std::uint32_t> partitionOfDependencies(const Job& job);
    [[nodiscard]] double freedom(const Job& job, std::uint32_t partition);
    [[nodiscard]] std::uint32_t promised(std::uint32_t partition);

    Context& context_;
    Membership& membership_;
    TransactionPipeline& pipeline_;
    StateWriter& stateWriter_;
    Placement& placement_;
    std::map<std::uint32_t, QueueWatch> queues_;
    // By partition and job: since when some of its tasks have waited to be placed.
    std::map<std::uint32_t, std::map<std::string, SteadyTime>> waitingSince_;
    std::map<std::uint64_t, Offer> offers_;
    std::vector<Promise> promises_;
    std::uint64_t nextAsk_ = 1;
};

}  // namespace fawnwheel::coordination
