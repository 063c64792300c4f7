#include "protocol/state_client.h"

#include <memory>

#include "protocol/names.h"

namespace fawnwheel::protocol {

namespace {

using namespace std::chrono_literals;

constexpr auto requestTimeout = 1500ms;
constexpr auto leaseTimeout = 1000ms;
constexpr auto sendRetryInterval = 10ms;
// A request queued for longer than this, except a `write`, is refused by the client, so that the
// caller can decide again.
constexpr auto maxQueueTime = 1500ms;
constexpr std::size_t rangePageSize = 200;
constexpr auto urgentPause = 100ms;  // pause of lease and user requests after a 429
constexpr int failuresUntilUnreachable = 2;

StateResult resultFromStatus(const std::optional<transport::HttpResponse>& response) {
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

// Records may hold text of any encoding: versions that did not check submissions wrote it. If the
// response were refused for it, the replica would never be complete.
std::optional<Json> bodyOf(const Response& response) {
    return response ? decodeCbor(response->body, TextEncoding::any) : std::nullopt;
}

CompareAndSwapResponse parseTransactionResponse(const Response& response) {
    CompareAndSwapResponse answer;
    answer.result = resultFromStatus(response);
    const auto map = bodyOf(response);
    if (!map) return answer;
    answer.revision = countOf(*map, wire::revision);
    for (const auto& key : listOf(*map, wire::failed))
        if (key.is_string()) answer.failed.push_back(key.get<std::string>());
    return answer;
}

ReadResponse parseReadResponse(const Response& response) {
    ReadResponse answer;
    answer.result = resultFromStatus(response);
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
    answer.result = resultFromStatus(response);
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
    answer.result = resultFromStatus(response);
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
      refilledAt_(timers.now()),
      lastContact_(timers.now()) {
    requests_.refill(1, false);
    writes_.refill(1, false);
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
    if (!sending_) sendQueued();
}

void StateClient::sendQueued() {
    sending_ = true;
    const auto now = timers_.now();
    const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
    refilledAt_ = now;
    const bool waiting = this->waiting() > 0;
    requests_.refill(seconds, waiting);
    writes_.refill(seconds, waiting);
    for (auto& queue : queues_) {
        while (!queue.empty()) {
            Call& call = queue.front();
            if (now < urgentNotBefore_ && call.priority <= RequestPriority::userRequest) break;
            // A user request is one small write. It is sent on credit and does not wait behind the
            // records.
            const bool paced = call.writes > 0 && call.priority != RequestPriority::userRequest;
            if (call.priority != RequestPriority::lease &&
                (!requests_.allows(1) || (paced && !writes_.allows(call.writes)))) {
                // The leader's writes must be executed eventually, so the client does not refuse
                // them. A refused write would rejoin the queue at its end every time, and hardly
                // any write would be executed.
                if (call.priority == RequestPriority::write || now - call.queued < maxQueueTime)
                    break;
                // The request was never sent, so it was definitely not executed.
                Call expired = std::move(call);
                queue.pop_front();
                expired.done(transport::HttpResponse{503, {}, 0});
                continue;
            }
            requests_.consume(1);
            writes_.consume(call.writes);
            Call ready = std::move(call);
            queue.pop_front();
            send(std::move(ready));
        }
    }
    sending_ = false;
    if (this->waiting() > 0) scheduleSendQueued();
}

void StateClient::scheduleSendQueued() {
    if (sending_) return;
    sending_ = true;
    timers_.after(sendRetryInterval, [this] { sendQueued(); });
}

void StateClient::send(Call call) {
    auto pending = std::make_shared<Call>(std::move(call));
    network_.call(address_, pending->request, pending->timeout,
                  [this, pending](std::optional<transport::HttpResponse> r) {
                      updateReachability(r);
                      if (r && r->status == 429) {
                          // The request was not executed, so it returns to the front of its queue,
                          // but is sent only after a pause. Without the pause, the partition
                          // acquisitions at startup use up the service's limits.
                          urgentNotBefore_ = timers_.now() + urgentPause;
                          (pending->writes > 0 ? writes_ : requests_).onThrottled();
                          queues_[static_cast<std::size_t>(pending->priority)].push_front(
                              std::move(*pending));
                          return scheduleSendQueued();
                      }
                      pending->done(std::move(r));
                  });
}

void StateClient::updateReachability(const std::optional<transport::HttpResponse>& response) {
    if (response && response->status != 503) {
        lastContact_ = timers_.now();
        failures_ = 0;
        reachable_ = true;
    } else if (++failures_ >= failuresUntilUnreachable) {
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
                       wire::queryLimit + "=" + std::to_string(rangePageSize);
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
                 done(resultFromStatus(response));
             }});
}

}  // namespace fawnwheel::protocol
