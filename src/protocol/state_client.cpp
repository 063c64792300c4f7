#include "protocol/state_client.h"

#include <memory>

#include "protocol/names.h"

namespace fawnwheel::protocol {

namespace {

using namespace std::chrono_literals;

constexpr auto requestTimeout = 1500ms;
constexpr auto leaseTimeout = 1000ms;
constexpr auto pumpPeriod = 10ms;
// What waits longer than this is refused here: its caller decides anew.
constexpr auto longestWait = 1500ms;
constexpr std::size_t rangePage = 200;
constexpr auto leasePause = 100ms;  // calls that need no share wait this long after a 429
constexpr int failuresUntilLost = 2;

StateResult plainResult(const std::optional<transport::HttpResponse>& response) {
    if (!response) return StateResult::unknown;
    switch (response->status) {
        case 200:
            return StateResult::ok;
        case 404:
        case 409:
            return StateResult::conflict;
        case 400:
            return StateResult::rejected;
        case 410:
        case 429:
        case 503:
            return StateResult::notExecuted;
        default:
            return StateResult::unknown;
    }
}

Item parseItem(const Json& entry) {
    Item item;
    item.key = textOf(entry, wire::key);
    const auto value = entry.find(wire::value);
    if (value != entry.end()) item.value = *value;
    item.version = countOf(entry, wire::version);
    return item;
}

using Response = std::optional<transport::HttpResponse>;

std::optional<Json> bodyOf(const Response& response) {
    return response ? decodeCbor(response->body) : std::nullopt;
}

CompareAndSwapResponse parseTransactionResponse(const Response& response) {
    CompareAndSwapResponse answer;
    answer.result = plainResult(response);
    const auto map = bodyOf(response);
    if (!map) return answer;
    answer.revision = countOf(*map, wire::revision);
    for (const auto& key : listOf(*map, wire::failed))
        if (key.is_string()) answer.failed.push_back(key.get<std::string>());
    return answer;
}

ReadResponse parseReadResponse(const Response& response) {
    ReadResponse answer;
    answer.result = plainResult(response);
    const auto map = bodyOf(response);
    if (answer.result == StateResult::ok) {
        if (map)
            answer.items.push_back(parseItem(*map));
        else
            answer.result = StateResult::unknown;
    } else if (response && response->status == 404) {
        answer.result = StateResult::ok;
        if (map) answer.revision = countOf(*map, wire::revision);
    }
    return answer;
}

ReadResponse parseRangeResponse(const Response& response) {
    ReadResponse answer;
    answer.result = plainResult(response);
    const auto map = bodyOf(response);
    if (answer.result == StateResult::ok && !map) answer.result = StateResult::unknown;
    if (answer.result != StateResult::ok) return answer;
    for (const auto& entry : listOf(*map, wire::items)) answer.items.push_back(parseItem(entry));
    answer.more = flagOf(*map, wire::more);
    answer.revision = countOf(*map, wire::revision);
    return answer;
}

Event parseEvent(const Json& entry) {
    Event event;
    event.version = countOf(entry, wire::version);
    event.key = textOf(entry, wire::put);
    if (event.key.empty())
        event.key = textOf(entry, wire::drop);
    else
        event.value = entry.value(wire::value, Json());
    return event;
}

WatchResponse parseWatchResponse(const Response& response) {
    WatchResponse answer;
    answer.result = plainResult(response);
    answer.tooOld = response && response->status == 410;
    const auto map = bodyOf(response);
    if (answer.result == StateResult::ok && !map) answer.result = StateResult::unknown;
    if (answer.result != StateResult::ok) return answer;
    answer.revision = countOf(*map, wire::revision);
    for (const auto& entry : listOf(*map, wire::events)) answer.events.push_back(parseEvent(entry));
    return answer;
}

Json encodeTransaction(CompareAndSwap transaction) {
    Json compares = Json::array();
    for (const auto& compare : transaction.compares)
        compares.push_back({{wire::key, compare.key}, {wire::version, compare.version}});
    Json writes = Json::array();
    for (auto& write : transaction.writes) {
        if (!write.value) {
            writes.push_back({{wire::drop, write.key}});
            continue;
        }
        Json entry{{wire::put, write.key}, {wire::value, std::move(*write.value)}};
        if (write.lease != 0) entry[wire::lease] = write.lease;
        writes.push_back(std::move(entry));
    }
    return {{wire::compares, std::move(compares)}, {wire::writes, std::move(writes)}};
}

}  // namespace

StateClient::StateClient(transport::Timers& timers, transport::Network& network,
                         std::string address, StateLimits limits)
    : timers_(timers),
      network_(network),
      address_(std::move(address)),
      requests_(limits.requestsPerSecond, limits.nodes),
      writes_(limits.writesPerSecond, limits.nodes),
      filled_(timers.now()),
      lastContact_(timers.now()) {
    requests_.fill(1, false);
    writes_.fill(1, false);
}

std::size_t StateClient::waiting() const {
    std::size_t total = 0;
    for (const auto& queue : queues_) total += queue.size();
    return total;
}

void StateClient::enqueue(RequestPriority priority, Call call) {
    call.queued = timers_.now();
    call.priority = priority;
    queues_[static_cast<std::size_t>(priority)].push_back(std::move(call));
    if (!pumping_) pump();
}

void StateClient::pump() {
    pumping_ = true;
    const auto now = timers_.now();
    const double seconds = std::chrono::duration<double>(now - filled_).count();
    filled_ = now;
    const bool waiting = this->waiting() > 0;
    requests_.fill(seconds, waiting);
    writes_.fill(seconds, waiting);
    for (auto& queue : queues_) {
        while (!queue.empty()) {
            Call& call = queue.front();
            if (now < urgentNotBefore_ && call.priority <= RequestPriority::userRequest) break;
            // A submission is one small write: it goes on credit rather than behind the records.
            const bool paced = call.writes > 0 && call.priority != RequestPriority::userRequest;
            if (call.priority != RequestPriority::lease &&
                (!requests_.allows(1) || (paced && !writes_.allows(call.writes)))) {
                // What a partition's leader records has to be carried out sooner or later: refused
                // here it went to the end of the line again and again, and hardly anything was
                // written.
                if (call.priority == RequestPriority::write || now - call.queued < longestWait)
                    break;
                // Never sent, so definitely not carried out.
                Call late = std::move(call);
                queue.pop_front();
                late.done(transport::HttpResponse{503, {}, 0});
                continue;
            }
            requests_.consume(1);
            writes_.consume(call.writes);
            Call ready = std::move(call);
            queue.pop_front();
            send(std::move(ready));
        }
    }
    pumping_ = false;
    if (this->waiting() > 0) pumpLater();
}

void StateClient::pumpLater() {
    if (pumping_) return;
    pumping_ = true;
    timers_.after(pumpPeriod, [this] { pump(); });
}

void StateClient::send(Call call) {
    auto again = std::make_shared<Call>(std::move(call));
    network_.call(
        address_, again->request, again->timeout,
        [this, again](std::optional<transport::HttpResponse> r) {
            recordAnswer(r);
            if (r && r->status == 429) {
                // Not carried out: it goes first as soon as it may. Sent again at once,
                // the acquisitions of partitions at the start used up what the service allows.
                urgentNotBefore_ = timers_.now() + leasePause;
                (again->writes > 0 ? writes_ : requests_).onThrottled();
                queues_[static_cast<std::size_t>(again->priority)].push_front(std::move(*again));
                return pumpLater();
            }
            again->done(std::move(r));
        });
}

void StateClient::recordAnswer(const std::optional<transport::HttpResponse>& response) {
    if (response && response->status != 503) {
        lastContact_ = timers_.now();
        failures_ = 0;
        reachable_ = true;
    } else if (++failures_ >= failuresUntilLost) {
        reachable_ = false;
    }
}

void StateClient::transact(CompareAndSwap transaction, RequestPriority priority,
                           std::function<void(CompareAndSwapResponse)> done) {
    const auto writeCount = static_cast<double>(transaction.writes.size());
    const Json body = encodeTransaction(std::move(transaction));
    enqueue(priority, {{"POST", wire::pathTransaction, encodeCbor(body)},
                       requestTimeout,
                       writeCount,
                       {},
                       [done = std::move(done)](const Response& response) {
                           done(parseTransactionResponse(response));
                       }});
}

void StateClient::read(const std::string& key, std::function<void(ReadResponse)> done,
                       RequestPriority priority) {
    enqueue(priority, {{"GET", std::string(wire::pathKeys) + "/" + key, {}},
                       requestTimeout,
                       0,
                       {},
                       [done = std::move(done)](const Response& response) {
                           done(parseReadResponse(response));
                       }});
}

void StateClient::readRange(const std::string& prefix, const std::string& after,
                            std::function<void(ReadResponse)> done) {
    std::string path = std::string(wire::pathKeys) + "?" + wire::queryPrefix + "=" + prefix + "&" +
                       wire::queryLimit + "=" + std::to_string(rangePage);
    if (!after.empty()) path += std::string("&") + wire::querySince + "=" + after;
    enqueue(RequestPriority::read, {{"GET", std::move(path), {}},
                                    requestTimeout,
                                    0,
                                    {},
                                    [done = std::move(done)](const Response& response) {
                                        done(parseRangeResponse(response));
                                    }});
}

void StateClient::watch(const std::string& prefix, std::uint64_t since, transport::Duration wait,
                        std::function<void(WatchResponse)> done) {
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    std::string path = std::string(wire::pathWatch) + "?" + wire::queryPrefix + "=" + prefix + "&" +
                       wire::querySince + "=" + std::to_string(since) + "&" + wire::queryWait +
                       "=" + std::to_string(millis.count());
    enqueue(RequestPriority::read, {{"GET", std::move(path), {}},
                                    wait + requestTimeout,
                                    0,
                                    {},
                                    [done = std::move(done)](const Response& response) {
                                        done(parseWatchResponse(response));
                                    }});
}

void StateClient::grantLease(transport::Duration ttl, std::function<void(std::uint64_t)> done) {
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(ttl).count();
    enqueue(RequestPriority::lease,
            {{"POST", wire::pathLeases, encodeCbor({{wire::leaseTtl, millis}})},
             leaseTimeout,
             0,
             {},
             [done = std::move(done)](std::optional<transport::HttpResponse> response) {
                 const auto map = response && response->status == 200 ? decodeCbor(response->body)
                                                                      : std::nullopt;
                 done(map ? countOf(*map, wire::lease) : 0);
             }});
}

void StateClient::renewLease(std::uint64_t lease, std::function<void(StateResult)> done) {
    enqueue(RequestPriority::lease,
            {{"POST",
              std::string(wire::pathLeases) + "/" + std::to_string(lease) + wire::pathRenew,
              {}},
             leaseTimeout,
             0,
             {},
             [done = std::move(done)](const std::optional<transport::HttpResponse>& response) {
                 done(plainResult(response));
             }});
}

}  // namespace fawnwheel::protocol
