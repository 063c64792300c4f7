/// @file
/// Handles users' requests: submissions, status requests and cancellations.
///
/// Any node handles requests for any job. Every response is based on the state service at the time
/// of the request, so that it is never older than an earlier response of another node.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/api/concurrency_limiter.h"
#include "coordination/api/job_status_reader.h"
#include "coordination/api/submission_validator.h"
#include "coordination/migration/work_migrator.h"
#include "coordination/replication/replica.h"

namespace fawnwheel::coordination {

/// Receives events that users' requests cause.
class AdmissionObserver {
  public:
    AdmissionObserver() = default;
    AdmissionObserver(const AdmissionObserver&) = delete;
    AdmissionObserver& operator=(const AdmissionObserver&) = delete;
    virtual ~AdmissionObserver() = default;

    /// A job's record has been written.
    virtual void onJobAccepted() = 0;
    /// A cancellation is durable. `respond` answers the user; it must be called exactly once, after
    /// the peers have been notified.
    virtual void onJobCancelled(std::function<void()> respond) = 0;
};

/// Handles users' requests. Each reply is called exactly once, now or later.
class Admission {
  public:
    Admission(Context& context, const Replica& replica, JobStatusReader& statusReader,
              WorkMigrator& migrator, AdmissionObserver& observer)
        : context_(context),
          validator_(context),
          replica_(replica),
          statusReader_(statusReader),
          migrator_(migrator),
          observer_(observer) {}

    /// Submits a job (POST, CBOR). 201 when its record has been written, 200 when the job already
    /// exists, 400 when the request is malformed or too large, 422 when the job can never run, 503
    /// with a retry time when no decision is possible now.
    void submit(const std::string& body, transport::HttpReply reply);
    /// Reads a job's state (GET). 200, 404 when the job was never accepted, 503 when the state
    /// cannot be confirmed now.
    void getStatus(const std::string& id, transport::HttpReply reply);
    /// Cancels a job. 200 with its state once the cancellation is durable, 404 when the job was
    /// never accepted, 503 when the cancellation cannot be confirmed now.
    void cancel(const std::string& id, transport::HttpReply reply);

  private:
    /// A submission whose dependencies may have to be checked more than once.
    struct Submission {
        protocol::JobSpec spec;
        transport::HttpReply reply;
        int tries = 0;
        // Dependencies that have ended, and whether each was cancelled.
        std::map<std::string, bool> terminalDependencies;
    };
    using SubmissionPtr = std::shared_ptr<Submission>;
    /// The result of checking a submission's dependencies against the cluster state and the cache.
    struct DependencyCheck {
        std::vector<std::string> unresolved;      // status has to be read
        std::vector<protocol::Compare> compares;  // the active records that were checked
        std::optional<transport::HttpResponse> rejection;
        bool cancelled = false;  // whether any dependency is cancelled
    };

    /// The response for a job with this status. `withoutCounts` omits the numbers of done and
    /// running tasks.
    [[nodiscard]] transport::HttpResponse makeStatusResponse(const std::string& id,
                                                             JobStatus status, bool withoutCounts);
    void respond(const std::string& id, JobStatus status, bool withoutCounts,
                 const transport::HttpReply& reply);
    /// Responds to a submission whose job exists: reads its state first.
    void respondForExistingJob(const std::string& id, const transport::HttpReply& reply);
    void tryCancel(const std::string& id, int tries, const transport::HttpReply& reply);
    /// Returns a reply that counts as a request in progress in the limiter until it is called.
    [[nodiscard]] transport::HttpReply withConcurrencyLimit(ConcurrencyLimiter& limiter,
                                                            transport::HttpReply reply);
    /// Responds to a submission with this error: reads first whether the job exists.
    void rejectNewJob(const std::string& id, SubmissionError error,
                      const transport::HttpReply& reply);

    [[nodiscard]] DependencyCheck checkDependencies(ClusterState& clusterState,
                                                    const Submission& submission) const;
    /// Adds the state of one dependency to the result.
    void checkDependency(ClusterState& clusterState, const Submission& submission,
                         const std::string& id, DependencyCheck& dependencyCheck) const;
    void accept(const SubmissionPtr& submission);
    /// Reads the status of these dependencies, then tries again to accept the submission.
    void readDependencies(const SubmissionPtr& submission,
                          const std::vector<std::string>& dependencies);
    void create(const SubmissionPtr& submission, const DependencyCheck& dependencyCheck);
    void createCancelled(const SubmissionPtr& submission, const DependencyCheck& dependencyCheck);
    void onConflict(const SubmissionPtr& submission,
                    const protocol::CompareAndSwapResponse& response);

    Context& context_;
    SubmissionValidator validator_;
    const Replica& replica_;
    JobStatusReader& statusReader_;
    WorkMigrator& migrator_;
    AdmissionObserver& observer_;
    // Separate limits: with a common one, users who poll would take the slots of users who submit
    // or cancel (scenario poll_storm).
    ConcurrencyLimiter submissions_;
    ConcurrencyLimiter statusRequests_;
    ConcurrencyLimiter cancellations_;
};

}  // namespace fawnwheel::coordination
