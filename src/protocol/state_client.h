/// @file
/// Client of the state service. The client limits its own request rate, sends lease renewals first,
/// and distinguishes a failure from a missing response: a request without a response may have been
/// executed, or may still be.
///
/// Load is uneven between nodes, so each client adapts its rate: the rate starts at an equal share
/// of the service's limits, grows while calls are queued, and shrinks when the service answers 429.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "protocol/adaptive_rate_limiter.h"
#include "protocol/cbor.h"
#include "transport/interfaces.h"

namespace fawnwheel::protocol {

/// Condition of a transaction: the key must have this version.
struct Compare {
    std::string key;
    std::uint64_t version = 0;  ///< 0: the key must not exist
};

/// Change of a transaction: sets or deletes a key.
struct Write {
    std::string key;
    std::optional<Json> value;  ///< none: the key is deleted
    std::uint64_t lease = 0;    ///< lease to which the key is attached; 0: none
};

/// Multi-key transaction: the writes are applied if all compares hold; otherwise none is applied.
struct CompareAndSwap {
    std::vector<Compare> compares;
    std::vector<Write> writes;
};

/// Outcome of a request to the state service.
enum class StateResult {
    ok,           ///< executed
    conflict,     ///< definitely not executed: a compare failed, or the key or lease does not exist
    notExecuted,  ///< definitely not executed: outage, rate limit, or revision too old
    rejected,  ///< definitely not executed, nor on a retry: malformed, too large, or lease expired
    unknown,   ///< may have been executed, or may still be
};

/// Outcome of a transaction; `failed` lists the keys whose compare failed.
struct CompareAndSwapResponse {
    StateResult result = StateResult::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};

/// A key with its value and version.
struct Item {
    std::string key;
    Json value;
    std::uint64_t version = 0;
};

/// Response to a read of one key or of a range. `more` is true if the range continues.
struct ReadResponse {
    StateResult result = StateResult::unknown;
    std::vector<Item> items;  ///< empty after a read of one key that does not exist
    bool more = false;
    std::uint64_t revision = 0;
};

/// Change of a key, as delivered by a watch.
struct Event {
    std::string key;
    std::optional<Json> value;  ///< none: the key was deleted
    std::uint64_t version = 0;
};

/// Response to a watch. `tooOld` means that the service no longer keeps the start revision, so the
/// caller must read the range again.
struct WatchResponse {
    StateResult result = StateResult::unknown;
    bool tooOld = false;
    std::vector<Event> events;
    std::uint64_t revision = 0;
};

/// Priority of queued requests, first to last. `userRequest` is a request that a user waits for;
/// `write` is a change of records by a partition's leader.
enum class RequestPriority { lease, userRequest, write, read };

/// Limits of the state service, and the number of nodes that share them.
struct StateLimits {
    double requestsPerSecond = 60;  ///< limit for all nodes together
    double writesPerSecond = 20;
    double nodes = 1;
};

/// Asynchronous client of the state service. Callbacks run on the event loop; the client must
/// outlive its pending calls.
class StateClient {
  public:
    StateClient(transport::Timers& timers, transport::Network& network, std::string address,
                StateLimits limits);

    /// Sends a transaction. `done` is called exactly once, with the outcome.
    void transact(CompareAndSwap transaction, RequestPriority priority,
                  std::function<void(CompareAndSwapResponse)> done);
    /// Reads one key. If the key does not exist, the result is `ok` without items.
    void read(const std::string& key, std::function<void(ReadResponse)> done,
              RequestPriority priority = RequestPriority::read);
    /// Reads one page of the keys with `prefix`, starting after the key `after`.
    void readRange(const std::string& prefix, const std::string& after,
                   std::function<void(ReadResponse)> done);
    /// Long poll for changes under `prefix` after revision `since`, for at most `wait`.
    void watch(const std::string& prefix, std::uint64_t since, transport::Duration wait,
               std::function<void(WatchResponse)> done);
    /// Creates a lease. `done` gets the lease's number, or 0 if none was granted.
    void grantLease(transport::Duration ttl, std::function<void(std::uint64_t)> done);
    /// Extends a lease by its time to live.
    void renewLease(std::uint64_t lease, std::function<void(StateResult)> done);

    /// Time of the service's last response other than 503 (outage), and whether the service seems
    /// reachable.
    [[nodiscard]] transport::SteadyTime lastContact() const { return lastContact_; }
    [[nodiscard]] bool reachable() const { return reachable_; }
    /// Number of requests queued and not yet sent.
    [[nodiscard]] std::size_t waiting() const;
    /// Writes per second that this node may send, adapted to what the service accepts.
    [[nodiscard]] double writeRate() const { return writes_.rate(); }

  private:
    struct Call {
        transport::HttpRequest request;
        transport::Duration timeout;
        double writes = 0;
        transport::SteadyTime queued{};
        transport::HttpDone done;
        RequestPriority priority = RequestPriority::read;
    };

    void enqueue(RequestPriority priority, Call call);
    void sendQueued();
    void scheduleSendQueued();
    void send(Call call);
    void updateReachability(const std::optional<transport::HttpResponse>& response);

    transport::Timers& timers_;
    transport::Network& network_;
    std::string address_;
    std::array<std::deque<Call>, 4> queues_;
    AdaptiveRateLimiter requests_;
    AdaptiveRateLimiter writes_;
    transport::SteadyTime refilledAt_;
    transport::SteadyTime urgentNotBefore_{};
    transport::SteadyTime lastContact_;
    bool reachable_ = false;
    int failures_ = 0;
    bool sending_ = false;
};

}  // namespace fawnwheel::protocol
