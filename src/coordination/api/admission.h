/// @file
/// Users' requests: submissions, status requests and cancellations.
///
/// Any node serves any job. Every response rests on the state service at the time of the request,
/// so that none is older than another node's.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/api/concurrency_limiter.h"
#include "coordination/api/job_status_reader.h"
#include "coordination/migration/work_migrator.h"
#include "coordination/replication/replica.h"

namespace fawnwheel::coordination {

/// Learns what users' requests have changed.
class AdmissionObserver {
  public:
    AdmissionObserver() = default;
    AdmissionObserver(const AdmissionObserver&) = delete;
    AdmissionObserver& operator=(const AdmissionObserver&) = delete;
    virtual ~AdmissionObserver() = default;

    /// A job's record has been written.
    virtual void onJobAccepted() = 0;
    /// A cancellation is durable. The user is answered by `respond`, to be called exactly once,
    /// when the peers have been told.
    virtual void onJobCancelled(std::function<void()> respond) = 0;
};

/// Handles users' requests. Each reply is called exactly once, now or later.
class Admission {
  public:
    Admission(Context& context, const Replica& replica, JobStatusReader& statusReader,
              WorkMigrator& migrator, AdmissionObserver& observer)
        : context_(context),
          replica_(replica),
          statusReader_(statusReader),
          migrator_(migrator),
          observer_(observer) {}

    /// POST of a job, CBOR. 201 when its record is written, 200 when it was known, 400 when
    /// malformed, 422 when it can never run, 503 with a time to retry when nothing can be decided
    /// now.
    void submit(const std::string& body, transport::HttpReply reply);
    /// GET of a job's state: 200, 404 when it was never accepted, 503 when nothing can be told now.
    void getStatus(const std::string& id, transport::HttpReply reply);
    /// Cancels a job: 200 with its state once the cancellation is durable, 404, or 503.
    void cancel(const std::string& id, transport::HttpReply reply);

  private:
    /// A submission that may have to be judged more than once.
    struct Submission {
        protocol::JobSpec spec;
        transport::HttpReply reply;
        int tries = 0;
        std::map<std::string, bool> terminals;  // dependencies that have ended; cancelled?
    };
    using SubmissionPtr = std::shared_ptr<Submission>;
    /// What is known of a submission's dependencies.
    struct Judgement {
        std::vector<std::string> unknown;         // to be looked up
        std::vector<protocol::Compare> compares;  // active records as they were judged
        std::optional<transport::HttpResponse> refusal;
        bool cancelled = false;  // one of them is
    };

    [[nodiscard]] transport::HttpResponse stateOf(const std::string& id, JobStatus status,
                                                  bool brief);
    void respond(const std::string& id, JobStatus status, bool brief,
                 const transport::HttpReply& reply);
    /// For a job whose record exists: reads its state before answering.
    void respondKnown(const std::string& id, const transport::HttpReply& reply);
    void tryCancel(const std::string& id, int tries, const transport::HttpReply& reply);
    /// The reply, counted in the limiter from now until it is called.
    [[nodiscard]] transport::HttpReply limited(ConcurrencyLimiter& limiter,
                                               transport::HttpReply reply);
    /// Why the job can't be accepted by what is known of teams and machine types; none: it can.
    [[nodiscard]] std::optional<transport::HttpResponse> check(const protocol::JobSpec& spec) const;
    /// Whether any machine type could run one of its tasks.
    [[nodiscard]] bool fitsSomeType(const protocol::JobSpec& spec) const;
    /// Whether the job's record, and the conditions for creating it, are within the limits.
    [[nodiscard]] bool recordable(const protocol::JobSpec& spec) const;
    [[nodiscard]] Job newJob(const protocol::JobSpec& spec) const;

    [[nodiscard]] Judgement judge(ClusterState& clusterState, const Submission& submission) const;
    /// Adds what is known of one dependency to the judgement.
    void judgeDependency(ClusterState& clusterState, const Submission& submission,
                         const std::string& id, Judgement& judgement) const;
    void accept(const SubmissionPtr& submission);
    /// Reads the status of these dependencies, then judges the submission again.
    void lookUp(const SubmissionPtr& submission, const std::vector<std::string>& dependencies);
    void create(const SubmissionPtr& submission, const Judgement& judgement);
    void createCancelled(const SubmissionPtr& submission, const Judgement& judgement);
    void onRefused(const SubmissionPtr& submission, const protocol::CompareAndSwapResponse& answer);

    Context& context_;
    const Replica& replica_;
    JobStatusReader& statusReader_;
    WorkMigrator& migrator_;
    AdmissionObserver& observer_;
    // Each its own: with a common limit users who poll took the places of those who submit or
    // cancel (poll_storm).
    ConcurrencyLimiter submissions_;
    ConcurrencyLimiter statusRequests_;
    ConcurrencyLimiter cancellations_;
};

}  // namespace fawnwheel::coordination
