/// @file
/// Linearizable reads of jobs' states.
///
/// Many requests share one compare-only transaction with the state service, so that every answer is
/// as new as the records and none costs a request of its own.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "coordination/context.h"
#include "coordination/replication/replica.h"

namespace fawnwheel::coordination {

/// What the state service confirms about a job at the time of the request.
enum class JobStatus {
    unknownJob,  // neither an active nor a terminal record
    active,
    cancelled,  // its tasks may not all be gone
    terminalDone,
    terminalCancelled,
    noAnswer,  // can't be told now
};

/// What a status is needed for; decides the order in which requests are sent.
enum class ReadPurpose {
    decision,       // a submission or a cancellation waits for it: before all status requests
    statusRequest,  // a user polls
};

/// Reads jobs' states, batched, with a cache of terminal states.
class JobStatusReader {
  public:
    using Done = std::function<void(JobStatus)>;

    JobStatusReader(Context& context, const Replica& replica)
        : context_(context), replica_(replica) {}

    /// Calls `done` exactly once. Callers bound how many are in progress (`ConcurrencyLimiter`).
    void find(const std::string& id, ReadPurpose purpose, Done done) {
        enqueue({id, purpose, std::move(done), 0});
    }
    /// Caches a terminal state that was read or written. It never changes; the cache is bounded,
    /// and older ones are read again.
    void recordTerminal(const std::string& id, bool cancelled);
    /// The cached terminal state; none: not cached.
    [[nodiscard]] std::optional<JobStatus> knownTerminal(const std::string& id) const;

  private:
    struct StatusRequest {
        std::string id;
        ReadPurpose purpose = ReadPurpose::statusRequest;
        Done done;
        int tries = 0;
    };
    struct Sent {
        StatusRequest statusRequest;
        bool active = false;  // the cluster state has its record
    };

    void enqueue(StatusRequest statusRequest);
    void retry(const StatusRequest& statusRequest);
    void flush();
    void flushQueue(std::deque<StatusRequest>& queue, protocol::RequestPriority priority);
    [[nodiscard]] static bool failed(const protocol::CompareAndSwapResponse& answer,
                                     const std::string& id);
    void settle(const Sent& sent, const protocol::CompareAndSwapResponse& answer);
    void readTerminal(const StatusRequest& statusRequest);
    void readActive(const StatusRequest& statusRequest);
    /// Of a job whose active record is current.
    [[nodiscard]] JobStatus statusOf(const Job& job) const;

    Context& context_;
    const Replica& replica_;
    std::deque<StatusRequest> decisions_;
    std::deque<StatusRequest> statusRequests_;
    bool flushing_ = false;
    std::unordered_map<std::string, bool> terminals_;  // cancelled?
    std::deque<std::string> terminalOrder_;            // oldest first
};

}  // namespace fawnwheel::coordination
