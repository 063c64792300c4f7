// The simulated state service.
#include <algorithm>

#include "sim/simulation_internal.h"
#include "storage/records.h"

namespace fawnwheel::sim {

namespace {

constexpr std::size_t keptChanges = 10'000;
constexpr Time maxRejection{60};
constexpr Time rejectionAfterLease{0.1};

}  // namespace

void Simulation::stateOutage(Time length) {
    stateOutageUntil_ = now_ + length;
    checker_.faultsUntil(stateOutageUntil_);
    for (auto& [id, lease] : leases_) lease.first = stateOutageUntil_ + lease.second;
    at(stateOutageUntil_, [this] { answerWatches(); });
}

void Simulation::rejectStateRequests(int node, Time length) {
    stateRejectedUntil_["node-" + std::to_string(node)] = now_ + length;
    at(now_ + length, [this] { answerWatches(); });
    checker_.faultsUntil(now_ + length);
}

void Simulation::rejectUntilLeaseEnds(int node) {
    const auto name = nodes_[static_cast<std::size_t>(node)]->name;
    stateRejectedUntil_[name] = now_ + maxRejection;
    rejectedUntilLeaseEnds_.insert(storage::keys::node(name));
    checker_.faultsUntil(now_);
}

void Simulation::onLeasedRecordRemoved(const std::string& key) {
    if (rejectedUntilLeaseEnds_.erase(key) == 0) return;
    const auto end = now_ + rejectionAfterLease;
    stateRejectedUntil_[key.substr(key.rfind('/') + 1)] = end;
    at(end, [this] { answerWatches(); });
    checker_.faultsUntil(end);
}

void Simulation::expireLeases() {
    if (now_ < stateOutageUntil_) return;
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.first > now_) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, record] : records_)
            if (record.lease == lease->first) keys.push_back(key);
        lease = leases_.erase(lease);
        for (const auto& key : keys) {
            ++revision_;
            records_.erase(key);
            recordChange(key, true);
            onLeasedRecordRemoved(key);
        }
        if (!keys.empty()) answerWatches();
    }
}

void Simulation::recordChange(const std::string& key, bool deleted) {
    std::optional<Json> value;
    if (!deleted) value = records_[key].value;
    const auto replaceInvalidText = Json::error_handler_t::replace;
    history_.add(now_, "record",
                 {key, value ? value->dump(-1, ' ', false, replaceInvalidText) : std::string()});
    changeLog_.emplace_back(revision_, key, std::move(value));
    if (changeLog_.size() > keptChanges) changeLog_.pop_front();
}

void Simulation::putRecord(const std::string& key, const Json& value) {
    records_[key] = {value, ++revision_, 0, now_};
    recordChange(key, false);
    answerWatches();
}

void Simulation::answerWatches() {
    if (now_ < stateOutageUntil_) return;
    for (const auto& watch : watches_) {
        if (!watch->open || stateRejects(watch->from)) continue;
        Json events = Json::array();
        for (const auto& [revision, key, value] : changeLog_) {
            if (revision <= watch->since || !key.starts_with(watch->prefix)) continue;
            Json event{{value ? wire::put : wire::drop, key}, {wire::version, revision}};
            if (value) event[wire::value] = *value;
            events.push_back(std::move(event));
        }
        if (events.empty()) continue;
        watch->open = false;
        watch->reply(answer(200, {{wire::revision, revision_}, {wire::events, events}}));
    }
    std::erase_if(watches_, [](const auto& watch) { return !watch->open; });
}

bool Simulation::stateRejects(const std::string& node) const {
    const auto refused = stateRejectedUntil_.find(node);
    return now_ < stateOutageUntil_ ||
           (refused != stateRejectedUntil_.end() && now_ < refused->second);
}

void Simulation::expireWatch(const std::shared_ptr<Watch>& watch) {
    if (!watch->open) return;
    // Open watches stay open while the state service rejects their node's requests.
    if (stateRejects(watch->from)) {
        at(now_ + Time(1), [this, watch] { expireWatch(watch); });
        return;
    }
    watch->open = false;
    watch->reply(answer(200, {{wire::revision, revision_}, {wire::events, Json::array()}}));
}

bool Simulation::withinLimits(const Json& body) const {
    const auto& writes = protocol::listOf(body, wire::writes);
    const auto& compares = protocol::listOf(body, wire::compares);
    const auto conditionsMost = limits_.writes * config::Settings::comparesPerWrite;
    return writes.size() <= limits_.writes && compares.size() <= conditionsMost &&
           std::all_of(writes.begin(), writes.end(), [this](const Json& write) {
               const auto value = write.find(wire::value);
               return value == write.end() ||
                      static_cast<double>(protocol::jsonSize(*value)) <= limits_.valueKb * 1024;
           });
}

Json Simulation::withoutUnsupportedWrites(const std::string& from, Json body) const {
    const auto node = std::find_if(nodes_.begin(), nodes_.end(),
                                   [&from](const auto& n) { return n->name == from; });
    if (node == nodes_.end() || !(*node)->oldVersion) return body;
    Json kept = Json::array();
    for (const auto& write : protocol::listOf(body, wire::writes)) {
        const auto key = protocol::textOf(write, wire::put);
        if (!key.starts_with(storage::keys::jobDependenciesGate({})) &&
            !key.starts_with(storage::keys::machineTransfersGate({})))
            kept.push_back(write);
    }
    body[wire::writes] = std::move(kept);
    return body;
}

void Simulation::recordMachineTransfers(const Json& writes) {
    const auto prefix = storage::keys::machine({});
    const auto before = transferStats_.transfers;
    for (const auto& write : writes) {
        const auto key = protocol::textOf(write, wire::put);
        const auto known = records_.find(key);
        if (!key.starts_with(prefix) || known == records_.end()) continue;
        const auto& last = known->second.value;
        const auto& next = write[wire::value];
        if (last["part"] == next["part"] || next.contains("lender") || last.contains("lender"))
            continue;
        if (Worker* moved = worker(key.substr(prefix.size())))
            recordTransfer(*moved, protocol::countOf(next, "floor"));
    }
    if (transferStats_.transfers > before) transferStats_.writes += writes.size();
}

HttpResponse Simulation::stateTransaction(const Json& body) {
    if (!withinLimits(body)) return answer(400);
    Json failed = Json::array();
    for (const auto& compare : protocol::listOf(body, wire::compares)) {
        const auto key = protocol::textOf(compare, wire::key);
        const auto found = records_.find(key);
        const auto version = found == records_.end() ? 0 : found->second.version;
        if (version != protocol::countOf(compare, wire::version)) failed.push_back(key);
    }
    const auto& writes = protocol::listOf(body, wire::writes);
    for (const auto& write : writes) {
        const auto lease = protocol::countOf(write, wire::lease);
        if (lease != 0 && !leases_.contains(lease)) return answer(400);
    }
    if (!failed.empty()) return answer(409, {{wire::failed, failed}, {wire::revision, revision_}});
    if (!writes.empty()) ++revision_;
    recordMachineTransfers(writes);
    observeLeaderChanges(writes);
    for (const auto& write : writes) {
        auto key = protocol::textOf(write, wire::put);
        if (key.empty()) {
            key = protocol::textOf(write, wire::drop);
            if (records_.erase(key) > 0) recordChange(key, true);
            continue;
        }
        records_[key] = {write[wire::value], revision_, protocol::countOf(write, wire::lease),
                         now_};
        recordChange(key, false);
    }
    answerWatches();
    return answer(200, {{wire::revision, revision_}});
}

void Simulation::delayMachineRecord(std::size_t machine, int node, Time length) {
    recordDelays_[{storage::keys::machine(machineId(machine)),
                   nodes_[static_cast<std::size_t>(node)]->name}] = {now_ + length, std::nullopt};
    checker_.faultsUntil(now_ + length + maxWriteDelay);
}

void Simulation::delayJobRecord(const std::string& job, int node, Time late, Time length) {
    recordDelays_[{storage::keys::job(job), nodes_[static_cast<std::size_t>(node)]->name}] = {
        now_ + length, late};
    checker_.faultsUntil(now_ + length + late);
}

std::optional<Time> Simulation::lateExecutionTime(const std::string& node, const Json& body) {
    for (const auto& write : protocol::listOf(body, wire::writes)) {
        const auto delayed = recordDelays_.find({protocol::textOf(write, wire::put), node});
        if (delayed == recordDelays_.end() || now_ >= delayed->second.until) continue;
        const auto& [until, late] = delayed->second;
        return late ? now_ + *late : until + maxWriteDelay;
    }
    if (now_ >= writesDelayedUntil_ ||
        std::uniform_real_distribution<>(0, 1)(rng_) >= delayedWriteFraction_)
        return std::nullopt;
    return now_ + Time(std::uniform_real_distribution<>(minWriteDelay.count(),
                                                        maxWriteDelay.count())(rng_));
}

void Simulation::serveState(const std::string& from, const HttpRequest& request,
                            const HttpReply& reply) {
    expireLeases();
    const auto path = request.path.substr(0, request.path.find('?'));
    const auto query = queryOf(request.path);
    const auto text = [&](const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    if (path == wire::pathWatch) {
        auto watch = std::make_shared<Watch>();
        watch->prefix = text(wire::queryPrefix);
        watch->since = std::stoull(text(wire::querySince));
        watch->reply = reply;
        watch->from = from;
        if (stateRejects(from)) return reply(answer(503));
        watches_.push_back(watch);
        at(now_ + Time(std::stod(text(wire::queryWait)) / 1000),
           [this, watch] { expireWatch(watch); });
        return answerWatches();
    }
    if (stateRejects(from)) return reply(answer(503));
    const auto encoding =
        spec_.stateChecksText ? protocol::TextEncoding::utf8 : protocol::TextEncoding::any;
    auto body = protocol::decodeCbor(request.body, encoding);
    if (!body && request.method == "POST" && path == wire::pathTransaction)
        return reply(answer(400));
    if (path == wire::pathTransaction) {
        body = withoutUnsupportedWrites(from, std::move(*body));
        const auto executionTime = lateExecutionTime(from, *body);
        if (!executionTime) return reply(stateTransaction(*body));
        at(std::max(*executionTime, stateOutageUntil_), [this, body = *body] {
            expireLeases();
            stateTransaction(body);
        });
        return;
    }
    if (path == wire::pathLeases) {
        const Time length(protocol::numberOf(*body, wire::leaseTtl) / 1000);
        leases_[nextLease_] = {now_ + length, length};
        return reply(answer(200, {{wire::lease, nextLease_++}}));
    }
    if (path.starts_with(wire::pathLeases)) {
        const auto id = std::stoull(path.substr(std::string(wire::pathLeases).size() + 1));
        const auto lease = leases_.find(id);
        if (lease == leases_.end()) return reply(answer(404));
        lease->second.first = now_ + lease->second.second;
        return reply(answer(200, {{wire::lease, id}}));
    }
    const auto item = [](const std::string& key, const Record& record) {
        return Json{{wire::key, key}, {wire::value, record.value}, {wire::version, record.version}};
    };
    if (path == wire::pathKeys) {
        Json items = Json::array();
        const auto prefix = text(wire::queryPrefix);
        const auto most = std::stoul(text(wire::queryLimit));
        bool more = false;
        for (auto at = records_.upper_bound(std::max(text(wire::querySince), prefix));
             at != records_.end() && at->first.starts_with(prefix); ++at) {
            more = items.size() == most;
            if (more) break;
            items.push_back(item(at->first, at->second));
        }
        return reply(
            answer(200, {{wire::items, items}, {wire::more, more}, {wire::revision, revision_}}));
    }
    const auto key = path.substr(std::string(wire::pathKeys).size() + 1);
    const auto found = records_.find(key);
    if (found == records_.end()) return reply(answer(404, {{wire::revision, revision_}}));
    reply(answer(200, item(key, found->second)));
}

}  // namespace fawnwheel::sim
