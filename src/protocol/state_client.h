/// @file
/// Client of the state service. Paces itself, with lease renewals first, and keeps an answer apart
/// from no answer: a request without one may have been carried out, or may yet be.
///
/// Load is uneven between nodes, so what one may send adjusts itself: it begins at an even share of
/// the service's limits, grows while calls wait, and shrinks when the service says 429.
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

/// Condition of a transaction: the key has this version.
struct Compare {
    std::string key;
    std::uint64_t version = 0;  ///< 0: must not exist
};

/// Change of a transaction: sets or deletes a key.
struct Write {
    std::string key;
    std::optional<Json> value;  ///< none: delete
    std::uint64_t lease = 0;    ///< 0: attached to none
};

/// Multi-key transaction: all writes are applied if all compares hold, else none.
struct CompareAndSwap {
    std::vector<Compare> compares;
    std::vector<Write> writes;
};

/// Outcome of a request to the state service.
enum class StateResult {
    ok,           ///< carried out
    conflict,     ///< definitely not carried out: a compare failed
    notExecuted,  ///< definitely not carried out (outage, over the limit, gone)
    rejected,  ///< definitely not carried out, nor will it be: malformed, too large, or lease over
    unknown,   ///< may have been carried out or may yet be
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

/// Answer to a read of one key or of a range; `more`: the range continues.
struct ReadResponse {
    StateResult result = StateResult::unknown;
    std::vector<Item> items;  ///< a single read: empty if there is no such key
    bool more = false;
    std::uint64_t revision = 0;
};

/// Change of a key, as a watch delivers it.
struct Event {
    std::string key;
    std::optional<Json> value;  ///< none: deleted
    std::uint64_t version = 0;
};

/// Answer to a watch; `tooOld`: the start revision was no longer kept, read the range again.
struct WatchResponse {
    StateResult result = StateResult::unknown;
    bool tooOld = false;
    std::vector<Event> events;
    std::uint64_t revision = 0;
};

/// Order in which queued requests are sent. Users wait for `userRequest`; `write` is what the
/// leader of a partition records.
enum class RequestPriority { lease, userRequest, write, read };

/// Limits of the state service, and the number of nodes that divide them.
struct StateLimits {
    double requestsPerSecond = 60;  ///< of the service, for all nodes
    double writesPerSecond = 20;
    double nodes = 1;
};

/// Asynchronous client of the state service. Callbacks run on the event loop; the client must
/// outlive its pending calls.
class StateClient {
  public:
    StateClient(transport::Timers& timers, transport::Network& network, std::string address,
                StateLimits limits);

    /// Sends a transaction; `done` gets its outcome exactly once.
    void transact(CompareAndSwap transaction, RequestPriority priority,
                  std::function<void(CompareAndSwapResponse)> done);
    /// Reads one key; a key that does not exist is `ok` without items.
    void read(const std::string& key, std::function<void(ReadResponse)> done,
              RequestPriority priority = RequestPriority::read);
    /// Reads one page of the keys with `prefix`, those that follow `after`.
    void readRange(const std::string& prefix, const std::string& after,
                   std::function<void(ReadResponse)> done);
    /// Long poll for changes under `prefix` after revision `since`, for at most `wait`.
    void watch(const std::string& prefix, std::uint64_t since, transport::Duration wait,
               std::function<void(WatchResponse)> done);
    /// Creates a lease; `done` gets its number, 0 if none was granted.
    void grantLease(transport::Duration ttl, std::function<void(std::uint64_t)> done);
    /// Extends a lease by its time to live.
    void renewLease(std::uint64_t lease, std::function<void(StateResult)> done);

    /// When the service last answered anything but an outage, and whether it seems reachable.
    [[nodiscard]] transport::SteadyTime lastContact() const { return lastContact_; }
    [[nodiscard]] bool reachable() const { return reachable_; }
    /// Requests queued and not yet sent.
    [[nodiscard]] std::size_t waiting() const;
    /// Changes a second that the service has been seen to take from this node.
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
    void pump();
    void pumpLater();
    void send(Call call);
    void recordAnswer(const std::optional<transport::HttpResponse>& response);

    transport::Timers& timers_;
    transport::Network& network_;
    std::string address_;
    std::array<std::deque<Call>, 4> queues_;
    AdaptiveRateLimiter requests_;
    AdaptiveRateLimiter writes_;
    transport::SteadyTime filled_;
    transport::SteadyTime urgentNotBefore_{};
    transport::SteadyTime lastContact_;
    bool reachable_ = false;
    int failures_ = 0;
    bool pumping_ = false;
};

}  // namespace fawnwheel::protocol
