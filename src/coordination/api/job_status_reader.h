/// @file
/// Linearizable reads of jobs' states.
///
/// Many requests share one compare-only transaction with the state service. So every response is as
/// current as the records, without a separate transaction for each request.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "coordination/context.h"
#include "coordination/replication/replica.h"

namespace fawnwheel::coordination {

/// The state of a job that the state service confirms at the time of the request.
enum class JobStatus {
    unknownJob,  // neither an active nor a terminal record
    active,
    cancelled,  // some of its tasks may still run
    terminalDone,
    terminalCancelled,
    undetermined,  // cannot be confirmed now
};

/// The purpose of a read; determines the order in which requests are sent.
enum class ReadPurpose {
    decision,       // needed for a submission or a cancellation; sent before all status requests
    statusRequest,  // a user polls the state
};

/// Reads jobs' states in batches, and caches terminal states.
class JobStatusReader {
  public:
    using Callback = std::function<void(JobStatus)>;

    JobStatusReader(Context& context, const Replica& replica)
        : context_(context), replica_(replica) {}

    /// Calls `callback` exactly once. Callers limit the number of reads in progress
    /// (`ConcurrencyLimiter`).
    void readStatus(const std::string& id, ReadPurpose purpose, Callback callback) {
        enqueue({id, purpose, std::move(callback), 0});
    }
    /// Caches a terminal state that was read or written. A terminal state never changes. The cache
    /// is bounded; evicted states are read again.
    void cacheTerminalStatus(const std::string& id, bool cancelled);
    /// Returns the cached terminal state, or none if it is not cached.
    [[nodiscard]] std::optional<JobStatus> cachedTerminalStatus(const std::string& id) const;

  private:
    struct StatusRequest {
        std::string id;
        ReadPurpose purpose = ReadPurpose::statusRequest;
        Callback callback;
        int tries = 0;
    };
    struct SentRequest {
        StatusRequest statusRequest;
        bool active = false;  // whether the cluster state has an active record of the job
    };

    void enqueue(StatusRequest statusRequest);
    void retry(const StatusRequest& statusRequest);
    void flush();
    void flushQueue(std::deque<StatusRequest>& queue, protocol::RequestPriority priority);
    [[nodiscard]] static bool compareFailed(const protocol::CompareAndSwapResponse& response,
                                            const std::string& id);
    void handleResponse(const SentRequest& sent, const protocol::CompareAndSwapResponse& response);
    void readTerminal(const StatusRequest& statusRequest);
    void readActive(const StatusRequest& statusRequest);
    /// The status of a job whose active record is current.
    [[nodiscard]] JobStatus statusOf(const Job& job) const;

    Context& context_;
    const Replica& replica_;
    std::deque<StatusRequest> decisions_;
    std::deque<StatusRequest> statusRequests_;
    bool flushing_ = false;
    std::unordered_map<std::string, bool> terminalCache_;  // whether each ended job was cancelled
    std::deque<std::string> terminalCacheOrder_;           // oldest first
};

}  // namespace fawnwheel::coordination
