// What the state service vouches for about a job, at the time of the question.
//
// Many questions share one comparing transaction, so that every answer is as new as the records and
// none costs a request of its own.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

#include "coordination/context.h"

namespace fawnwheel::coordination {

enum class JobStatus {
    unknownJob,  // neither a live nor a terminal record
    active,
    cancelled,  // its tasks may not all be gone
    terminalDone,
    terminalCancelled,
    noAnswer,  // can't be told now
};

enum class ReadPurpose {
    decision,       // a submission or a cancellation waits for it: before all questions
    statusRequest,  // a user only wants to know
};

class JobStatusReader {
  public:
    using Done = std::function<void(JobStatus)>;

    explicit JobStatusReader(Context& context) : context_(context) {}

    // Callers bound how many are in progress (`ConcurrencyLimiter`).
    void find(const std::string& id, ReadPurpose purpose, Done done) {
        enqueue({id, purpose, std::move(done), 0});
    }
    // Final states never change, so that the latest of them are kept. Older ones are read again.
    void recordTerminal(const std::string& id, bool cancelled);
    [[nodiscard]] std::optional<JobStatus> knownTerminal(const std::string& id) const;

    // The records known here hold all that was carried out before this.
    std::function<SteadyTime()> recordsCurrentAsOf = [] { return SteadyTime{}; };

  private:
    struct StatusRequest {
        std::string id;
        ReadPurpose purpose = ReadPurpose::statusRequest;
        Done done;
        int tries = 0;
    };
    struct Asked {
        StatusRequest statusRequest;
        bool live = false;  // in the cluster state
    };

    void enqueue(StatusRequest statusRequest);
    void retry(const StatusRequest& statusRequest);
    void flush();
    void flushQueue(std::deque<StatusRequest>& queue, protocol::RequestPriority priority);
    [[nodiscard]] static bool failed(const protocol::CompareAndSwapResponse& answer,
                                     const std::string& id);
    void settle(const Asked& asked, const protocol::CompareAndSwapResponse& answer);
    void readTerminal(const StatusRequest& statusRequest);
    void readLive(const StatusRequest& statusRequest);
    // Of a job whose active record is current.
    [[nodiscard]] JobStatus statusOf(const Job& job) const;

    Context& context_;
    std::deque<StatusRequest> decisions_;
    std::deque<StatusRequest> statusRequests_;
    bool flushing_ = false;
    std::unordered_map<std::string, bool> terminals_;  // cancelled?
    std::deque<std::string> terminalOrder_;
};

}  // namespace fawnwheel::coordination
