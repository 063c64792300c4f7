// Users' requests: submissions, questions and cancellations. Any node serves any job; every
// answer rests on the state service at the time of the request, so that none is older than
// another node's.
#pragma once

#include "coordination/api/job_status_reader.h"
#include "coordination/membership/membership.h"
#include "coordination/migration/work_migrator.h"

namespace fawnwheel::coordination {

// How many requests may be in progress: grows while answers come fast, shrinks when they slow
// down beside the fastest seen lately.
class ConcurrencyLimiter {
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

class Admission {
  public:
    Admission(Context& context, JobStatusReader& statusReader, WorkMigrator& migrator)
        : context_(context), statusReader_(statusReader), migrator_(migrator) {}

    void submit(const std::string& body, transport::HttpReply reply);
    void getStatus(const std::string& id, transport::HttpReply reply);
    void cancel(const std::string& id, transport::HttpReply reply);

    std::function<bool()> synced = [] { return false; };
    // A cancellation is durable; `then` answers a user.
    std::function<void(std::function<void()> then)> onCancelled =
        [](const std::function<void()>& then) { then(); };
    std::function<void()> onAccepted = [] {};

  private:
    // A submission that may have to be judged more than once.
    struct Submission {
        protocol::JobSpec spec;
        transport::HttpReply reply;
        int tries = 0;
        std::map<std::string, bool> terminals;  // dependencies that have ended; cancelled?
    };
    using SubmissionPtr = std::shared_ptr<Submission>;
    // What is known of a submission's dependencies.
    struct Judgement {
        std::vector<std::string> unknown;         // to be looked up
        std::vector<protocol::Compare> compares;  // active records as they were judged
        std::optional<transport::HttpResponse> refusal;
        bool cancelled = false;  // one of them is
    };

    [[nodiscard]] transport::HttpResponse stateOf(const std::string& id, JobStatus status,
                                                  bool brief);
    void tell(const std::string& id, JobStatus status, bool brief,
              const transport::HttpReply& reply);
    void tellKnown(const std::string& id, const transport::HttpReply& reply);
    void tryCancel(const std::string& id, int tries, const transport::HttpReply& reply);
    [[nodiscard]] transport::HttpReply limited(ConcurrencyLimiter& limit,
                                               transport::HttpReply reply);
    [[nodiscard]] std::optional<transport::HttpResponse> check(const protocol::JobSpec& spec) const;
    // Whether the job's record, and the conditions for creating it, are within the limits.
    [[nodiscard]] bool recordable(const protocol::JobSpec& spec) const;
    [[nodiscard]] Job newJob(const protocol::JobSpec& spec) const;

    [[nodiscard]] Judgement judge(ClusterState& clusterState, const Submission& submission) const;
    void accept(const SubmissionPtr& submission);
    void lookUp(const SubmissionPtr& submission, const std::vector<std::string>& dependencies);
    void create(const SubmissionPtr& submission, const Judgement& judgement);
    void createCancelled(const SubmissionPtr& submission, const Judgement& judgement);
    void onRefused(const SubmissionPtr& submission, const protocol::CompareAndSwapResponse& answer);

    Context& context_;
    JobStatusReader& statusReader_;
    WorkMigrator& migrator_;
    // Each its own: users who ask again and again took the places of those who submit or call off.
    ConcurrencyLimiter submissions_;
    ConcurrencyLimiter statusRequests_;
    ConcurrencyLimiter cancellations_;
};

}  // namespace fawnwheel::coordination
