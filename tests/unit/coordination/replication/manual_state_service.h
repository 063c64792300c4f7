/// @file
/// A clock that the test advances, and a small state service that executes and answers each request
/// only when the test asks for that.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "protocol/cbor.h"
#include "protocol/names.h"
#include "protocol/state_client.h"
#include "transport/interfaces.h"

namespace fawnwheel::coordination {

using protocol::Json;
using transport::Duration;
using transport::SteadyTime;

/// A clock with timers. Its time changes only when the test advances it.
class ManualTimers final : public transport::Timers {
  public:
    [[nodiscard]] SteadyTime now() const override { return now_; }
    [[nodiscard]] transport::WallTime wallNow() const override {
        return transport::WallTime(std::chrono::hours(1));
    }
    transport::TimerId after(Duration delay, std::function<void()> action) override {
        const auto id = nextId_++;
        scheduled_.emplace(std::pair(now_ + delay, id), std::move(action));
        return id;
    }
    void cancel(transport::TimerId id) override {
        std::erase_if(scheduled_, [id](const auto& entry) { return entry.first.second == id; });
    }
    void advance(Duration by) {
        const auto until = now_ + by;
        while (!scheduled_.empty() && scheduled_.begin()->first.first <= until) {
            auto due = scheduled_.extract(scheduled_.begin());
            now_ = std::max(now_, due.key().first);
            due.mapped()();
        }
        now_ = until;
    }

  private:
    SteadyTime now_{std::chrono::hours(1)};
    transport::TimerId nextId_ = 1;
    std::map<std::pair<SteadyTime, transport::TimerId>, std::function<void()>> scheduled_;
};

/// A state service at the address `state`. Calls to any other address are never answered.
class ManualStateService final : public transport::Network {
  public:
    struct Record {
        Json value;
        std::uint64_t version = 0;
    };
    struct Request {
        transport::HttpRequest request;
        transport::HttpDone done;
        [[nodiscard]] bool isTransaction() const {
            return request.path == protocol::wire::pathTransaction;
        }
        [[nodiscard]] bool isWatch() const {
            return request.path.starts_with(protocol::wire::pathWatch);
        }
    };
    using Requests = std::list<Request>;

    void call(const std::string& address, transport::HttpRequest request, Duration,
              transport::HttpDone done) override {
        if (address == "state") pending.push_back({std::move(request), std::move(done)});
    }
    void sendFrame(const std::string& peer, std::string payload) override {
        frames.emplace_back(peer, std::move(payload));
    }

    void put(const std::string& key, Json value) {
        records[key] = {std::move(value), ++revision};
        log.push_back({key, records[key].value, revision});
    }
    /// Removes the first pending transaction from the queue and returns it.
    Request takeTransaction() {
        const auto found = std::find_if(pending.begin(), pending.end(), [](const auto& request) {
            return request.isTransaction();
        });
        if (found == pending.end()) {
            ADD_FAILURE() << "no transaction is pending";
            return {};
        }
        auto request = std::move(*found);
        pending.erase(found);
        return request;
    }
    [[nodiscard]] std::size_t pendingTransactionCount() const {
        return static_cast<std::size_t>(
            std::count_if(pending.begin(), pending.end(),
                          [](const auto& request) { return request.isTransaction(); }));
    }
    /// Executes the request and returns its response, which the caller may deliver or drop.
    transport::HttpResponse execute(const transport::HttpRequest& request) {
        namespace wire = protocol::wire;
        if (request.path == wire::pathTransaction)
            return transact(*protocol::decodeCbor(request.body));
        if (request.path.starts_with(std::string(wire::pathKeys) + "?"))
            return readRange(request.path);
        if (request.path.starts_with(wire::pathWatch)) return watch(request.path);
        if (request.path.starts_with(wire::pathLeases))
            return makeResponse(200, {{wire::lease, 1}});
        const auto key = request.path.substr(std::string(wire::pathKeys).size() + 1);
        const auto found = records.find(key);
        if (found == records.end()) return makeResponse(404, {{wire::revision, revision}});
        return makeResponse(200, itemOf(*found));
    }
    void serve(const Request& request) { request.done(execute(request.request)); }

    std::map<std::string, Record> records;
    std::vector<protocol::Event> log;
    std::uint64_t revision = 0;
    Requests pending;
    std::vector<std::pair<std::string, std::string>> frames;  // by peer
    std::size_t pageSize = 200;

  private:
    static transport::HttpResponse makeResponse(int status, const Json& body) {
        return {status, protocol::encodeCbor(body), 0};
    }
    static Json itemOf(const std::pair<const std::string, Record>& entry) {
        namespace wire = protocol::wire;
        return {{wire::key, entry.first},
                {wire::value, entry.second.value},
                {wire::version, entry.second.version}};
    }
    static std::string queryParameter(const std::string& path, const std::string& name) {
        const auto at = path.find(name + "=");
        if (at == std::string::npos) return {};
        const auto begin = at + name.size() + 1;
        return path.substr(begin, path.find('&', begin) - begin);
    }
    transport::HttpResponse transact(const Json& body) {
        namespace wire = protocol::wire;
        for (const auto& compare : protocol::listOf(body, wire::compares)) {
            const auto found = records.find(protocol::textOf(compare, wire::key));
            const auto version = found == records.end() ? 0 : found->second.version;
            if (version != protocol::countOf(compare, wire::version))
                return makeResponse(409, {{wire::failed, Json::array({compare[wire::key]})},
                                          {wire::revision, revision}});
        }
        ++revision;
        for (const auto& change : protocol::listOf(body, wire::writes)) {
            const auto key = protocol::textOf(change, wire::put);
            if (key.empty()) {
                const auto deletedKey = protocol::textOf(change, wire::drop);
                if (records.erase(deletedKey) > 0)
                    log.push_back({deletedKey, std::nullopt, revision});
                continue;
            }
            records[key] = {change[wire::value], revision};
            log.push_back({key, change[wire::value], revision});
        }
        return makeResponse(200, {{wire::revision, revision}});
    }
    transport::HttpResponse readRange(const std::string& path) {
        namespace wire = protocol::wire;
        const auto prefix = queryParameter(path, wire::queryPrefix);
        const auto after = queryParameter(path, wire::querySince);
        Json items = Json::array();
        auto at = records.upper_bound(std::max(prefix, after));
        for (; at != records.end() && at->first.starts_with(prefix) && items.size() < pageSize;
             ++at)
            items.push_back(itemOf(*at));
        const bool more = at != records.end() && at->first.starts_with(prefix);
        return makeResponse(200,
                            {{wire::items, items}, {wire::more, more}, {wire::revision, revision}});
    }
    transport::HttpResponse watch(const std::string& path) {
        namespace wire = protocol::wire;
        const auto since = std::stoull(queryParameter(path, wire::querySince));
        Json events = Json::array();
        for (const auto& event : log) {
            if (event.version <= since) continue;
            Json entry{{event.value ? wire::put : wire::drop, event.key},
                       {wire::version, event.version}};
            if (event.value) entry[wire::value] = *event.value;
            events.push_back(std::move(entry));
        }
        return makeResponse(200, {{wire::revision, revision}, {wire::events, events}});
    }
};

}  // namespace fawnwheel::coordination
