// Client of the state service. Paces itself, with lease renewals first, and keeps an answer apart
// from no answer: a request without one may have been carried out, or may yet be.
//
// Load is uneven between nodes, so what one may send adjusts itself: it begins at an even share of
// the service's limits, grows while calls wait, and shrinks when the service says 429.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "protocol/cbor.h"
#include "transport/interfaces.h"

namespace fawnwheel::protocol {

struct Compare {
    std::string key;
    std::uint64_t version = 0;  // 0: must not exist
};

struct Write {
    std::string key;
    std::optional<Json> value;  // none: delete
    std::uint64_t lease = 0;    // 0: attached to none
};

struct CompareAndSwap {
    std::vector<Compare> compares;
    std::vector<Write> writes;
};

enum class StateResult {
    ok,          // carried out
    refused,     // definitely not carried out, conditions failed
    notCarried,  // definitely not carried out (outage, over the limit, gone)
    rejected,    // definitely not carried out, nor will it be: malformed, too large, or lease over
    unknown,     // may have been carried out or may yet be
};

struct CompareAndSwapResponse {
    StateResult result = StateResult::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};

struct Item {
    std::string key;
    Json value;
    std::uint64_t version = 0;
};

struct ReadResponse {
    StateResult result = StateResult::unknown;
    std::vector<Item> items;  // a single read: empty if there is no such key
    bool more = false;
    std::uint64_t revision = 0;
};

struct Event {
    std::string key;
    std::optional<Json> value;  // none: deleted
    std::uint64_t version = 0;
};

struct WatchResponse {
    StateResult result = StateResult::unknown;
    bool tooOld = false;
    std::vector<Event> events;
    std::uint64_t revision = 0;
};

// In this order. Users wait for `userRequest`; `write` is what the leader of a partition records.
enum class RequestPriority { lease, userRequest, write, read };

struct StateLimits {
    double requestsPerSecond = 60;  // of the service, for all nodes
    double writesPerSecond = 20;
    double nodes = 1;
};

// How fast one kind of call may be sent.
class AdaptiveRateLimiter {
  public:
    AdaptiveRateLimiter(double limit, double nodes)
        : least_(limit / nodes / 2),
          even_(limit / nodes * fractionOfLimit),
          most_(limit * mostOfLimit),
          rate_(even_) {}

    void fill(double seconds, bool waiting);
    // A call larger than what gathers in a second is sent on credit.
    [[nodiscard]] bool allows(double amount) const { return tokens_ >= std::min(amount, rate_); }
    void consume(double amount) { tokens_ -= amount; }
    void refused();
    [[nodiscard]] double rate() const { return rate_; }

  private:
    static constexpr double fractionOfLimit = 0.92;
    static constexpr double mostOfLimit = 0.6;

    double least_;
    double even_;
    double most_;
    double rate_;
    double tokens_ = 0;
    double calmFor_ = 0;  // seconds since the last refusal
};

class StateClient {
  public:
    StateClient(transport::Timers& timers, transport::Network& network, std::string address,
                StateLimits limits);

    void transact(CompareAndSwap transaction, RequestPriority priority,
                  std::function<void(CompareAndSwapResponse)> done);
    void read(const std::string& key, std::function<void(ReadResponse)> done,
              RequestPriority priority = RequestPriority::read);
    void readRange(const std::string& prefix, const std::string& after,
                   std::function<void(ReadResponse)> done);
    void watch(const std::string& prefix, std::uint64_t since, transport::Duration wait,
               std::function<void(WatchResponse)> done);
    // The hold's number; 0: none was granted.
    void grantLease(transport::Duration ttl, std::function<void(std::uint64_t)> done);
    void renewLease(std::uint64_t lease, std::function<void(StateResult)> done);

    // When the service last answered anything but an outage, and whether it seems reachable.
    [[nodiscard]] transport::SteadyTime lastContact() const { return lastContact_; }
    [[nodiscard]] bool reachable() const { return reachable_; }
    [[nodiscard]] std::size_t waiting() const;
    // Changes a second that the service has been seen to take from this node.
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
