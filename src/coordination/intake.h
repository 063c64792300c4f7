// Users' requests: submissions, questions and cancellations. Any node serves any job; every
// answer rests on the state service at the time of the request, so that none is older than
// another node's.
#pragma once

#include <unordered_map>

#include "coordination/membership.h"
#include "coordination/moves.h"

namespace fawnwheel::coordination {

// How many requests may be in progress: grows while answers come fast, shrinks when they slow
// down beside the fastest seen lately.
class AdaptiveLimit {
  public:
    [[nodiscard]] bool full() const { return static_cast<double>(active_) >= limit_; }
    void begin() { ++active_; }
    void end(Duration took);
    [[nodiscard]] double limit() const { return limit_; }

  private:
    static constexpr double least = 16;
    static constexpr double most = 512;

    std::size_t active_ = 0;
    double limit_ = 64;
    double fastest_ = 0;  // seconds, forgets slowly
};

class Intake {
  public:
    Intake(Context& context, Membership& membership, Moves& moves)
        : context_(context), membership_(membership), moves_(moves) {}

    void submit(const std::string& body, transport::HttpReply reply);
    void ask(const std::string& id, transport::HttpReply reply);
    void cancel(const std::string& id, transport::HttpReply reply);

    void noteFinal(const std::string& id, bool cancelled);

    std::function<bool()> synced = [] { return false; };
    // A cancellation is durable; `then` answers a user.
    std::function<void(std::function<void()> then)> onCancelled =
        [](const std::function<void()>& then) { then(); };
    std::function<void()> onAccepted = [] {};

  private:
    // What the state service vouches for.
    enum class Standing { unknownJob, active, cancelled, finalDone, finalCancelled, noAnswer };
    using StandingDone = std::function<void(Standing)>;
    struct Question {
        std::string id;
        StandingDone done;
        int tries = 0;
    };

    void standing(const std::string& id, StandingDone done, int tries = 0);
    void flushQuestions();
    void readJob(const Question& question);
    [[nodiscard]] transport::HttpResponse stateOf(const std::string& id, Standing standing,
                                                  bool brief);
    void tell(const std::string& id, Standing standing, bool brief,
              const transport::HttpReply& reply);
    void tryCancel(const std::string& id, int tries, transport::HttpReply reply);
    transport::HttpReply limited(transport::HttpReply reply);
    [[nodiscard]] std::optional<transport::HttpResponse> check(const protocol::JobSpec& spec) const;

    Context& context_;
    Membership& membership_;
    Moves& moves_;
    AdaptiveLimit limit_;
    std::deque<Question> questions_;
    bool flushing_ = false;
    std::unordered_map<std::string, bool> finals_;  // cancelled?
    std::deque<std::string> finalOrder_;
};

}  // namespace fawnwheel::coordination
