// Client of the state service. Paces itself to this node's share of the service's limits, with
// lease renewals first, and keeps an answer apart from no answer: a request without one may have
// been carried out, or may yet be.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "protocol/cbor.h"
#include "transport/interfaces.h"

namespace fawnwheel::protocol {

struct Condition {
    std::string key;
    std::uint64_t version = 0;  // 0: must not exist
};

struct Change {
    std::string key;
    std::optional<Json> value;  // none: delete
    std::uint64_t hold = 0;     // 0: attached to none
};

struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Change> changes;
};

enum class StateResult {
    ok,          // carried out
    refused,     // definitely not carried out, conditions failed
    notCarried,  // definitely not carried out (outage, over the limit, gone)
    unknown,     // may have been carried out or may yet be
};

struct TransactionAnswer {
    StateResult result = StateResult::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};

struct Item {
    std::string key;
    Json value;
    std::uint64_t version = 0;
};

struct ReadAnswer {
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

struct FollowAnswer {
    StateResult result = StateResult::unknown;
    bool tooOld = false;
    std::vector<Event> events;
    std::uint64_t revision = 0;
};

enum class Urgency { lease, write, read };

struct StateLimits {
    double requestsPerSecond = 20;  // this node's share
    double writesPerSecond = 10;
};

class StateClient {
  public:
    StateClient(transport::Timers& timers, transport::Network& network, std::string address,
                StateLimits limits);

    void transact(Transaction transaction, Urgency urgency,
                  std::function<void(TransactionAnswer)> done);
    void read(const std::string& key, std::function<void(ReadAnswer)> done);
    void readRange(const std::string& prefix, const std::string& after,
                   std::function<void(ReadAnswer)> done);
    void follow(const std::string& prefix, std::uint64_t since, transport::Duration wait,
                std::function<void(FollowAnswer)> done);
    // The hold's number; 0: none was granted.
    void createHold(transport::Duration ttl, std::function<void(std::uint64_t)> done);
    void extendHold(std::uint64_t hold, std::function<void(StateResult)> done);

    // When the service last answered anything but an outage, and whether it seems reachable.
    [[nodiscard]] transport::SteadyTime lastContact() const { return lastContact_; }
    [[nodiscard]] bool reachable() const { return reachable_; }
    [[nodiscard]] std::size_t waiting() const;

  private:
    struct Call {
        transport::HttpRequest request;
        transport::Duration timeout;
        double writes = 0;
        transport::SteadyTime queued{};
        transport::HttpDone done;
    };

    void enqueue(Urgency urgency, Call call);
    void pump();
    void send(Call call);
    void noteAnswer(const std::optional<transport::HttpResponse>& response);

    transport::Timers& timers_;
    transport::Network& network_;
    std::string address_;
    StateLimits limits_;
    std::array<std::deque<Call>, 3> queues_;
    double requestTokens_;
    double writeTokens_;
    transport::SteadyTime filled_;
    transport::SteadyTime lastContact_;
    bool reachable_ = false;
    int failures_ = 0;
    bool pumping_ = false;
};

}  // namespace fawnwheel::protocol
