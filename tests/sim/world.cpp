#include "sim/world.h"

#include <algorithm>

#include "bookkeeping/records.h"
#include "protocol/names.h"

namespace fawnwheel::sim {

namespace {

namespace wire = protocol::wire;
using protocol::Json;
using transport::HttpDone;
using transport::HttpReply;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr Time step{0.25};
constexpr Time reportPeriod{3.0};
constexpr Time reportGap{0.5};
constexpr Time reportTimeout{4.0};
constexpr Time gangWait{20.0};
constexpr Time gangPeer{4.0};
constexpr Time pollPeriod{5.0};
constexpr Time startUp{0.2};
constexpr Time acceptancePause{0.05};  // between looks whether a job has been accepted
constexpr std::size_t keptChanges = 10'000;

transport::Duration toSteady(Time t) {
    return std::chrono::duration_cast<transport::Duration>(t);
}

HttpResponse answer(int status, const Json& body = Json::object()) {
    return {status, protocol::encodeCbor(body), 0};
}

std::map<std::string, std::string> queryOf(const std::string& path) {
    std::map<std::string, std::string> out;
    auto at = path.find('?');
    while (at != std::string::npos) {
        const auto end = path.find('&', at + 1);
        const auto pair = path.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const auto equals = pair.find('=');
        out[pair.substr(0, equals)] = pair.substr(equals + 1);
        at = end;
    }
    return out;
}

template <typename Map>
auto& nth(Map& map, std::size_t index) {
    return *std::next(map.begin(), static_cast<std::ptrdiff_t>(index))->second;
}

}  // namespace

// Timers and network of one life of a node: what an earlier life has planned never happens.
class NodeClock final : public transport::Timers {
  public:
    NodeClock(World& world, std::shared_ptr<bool> alive)
        : world_(world), alive_(std::move(alive)) {}
    [[nodiscard]] transport::SteadyTime now() const override {
        return transport::SteadyTime(toSteady(world_.now_ + Time(1000)));
    }
    [[nodiscard]] transport::WallTime wallNow() const override {
        return transport::WallTime(
            std::chrono::duration_cast<transport::WallTime::duration>(world_.now_ + Time(1e9)));
    }
    transport::TimerId after(transport::Duration delay, std::function<void()> action) override {
        const auto id = next_++;
        auto pending = std::make_shared<bool>(true);
        pending_[id] = pending;
        world_.at(world_.now_ + std::max(Time(delay), Time(0)),
                  [this, id, pending, alive = alive_, action = std::move(action)] {
                      if (!*alive || !*pending) return;
                      pending_.erase(id);
                      action();
                  });
        return id;
    }
    void cancel(transport::TimerId id) override {
        if (const auto found = pending_.find(id); found != pending_.end()) {
            *found->second = false;
            pending_.erase(found);
        }
    }

  private:
    World& world_;
    std::shared_ptr<bool> alive_;
    transport::TimerId next_ = 1;
    std::map<transport::TimerId, std::shared_ptr<bool>> pending_;
};

class NodeNetwork final : public transport::Network {
  public:
    NodeNetwork(World& world, std::string host, std::shared_ptr<bool> alive)
        : world_(world), host_(std::move(host)), alive_(std::move(alive)) {}
    void call(const std::string& address, HttpRequest request, transport::Duration timeout,
              HttpDone done) override {
        world_.request(host_, address, std::move(request), Time(timeout),
                       [alive = alive_, done = std::move(done)](std::optional<HttpResponse> r) {
                           if (*alive) done(std::move(r));
                       });
    }
    void sendFrame(const std::string& peer, std::string payload) override;

  private:
    World& world_;
    std::string host_;
    std::shared_ptr<bool> alive_;
};

struct World::Node {
    std::string name;
    app::Settings settings;
    bool oldVersion = false;
    std::shared_ptr<bool> alive;
    std::unique_ptr<NodeClock> clock;
    std::unique_ptr<NodeNetwork> network;
    std::unique_ptr<coordination::Controller> controller;
    std::vector<std::unique_ptr<coordination::Controller>> ended;  // until the world ends
    std::vector<std::unique_ptr<NodeClock>> endedClocks;
    std::vector<std::unique_ptr<NodeNetwork>> endedNetworks;
};

struct World::Task {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    std::string state = wire::stateFetching;
    std::string cause;
    bool kept = false;
    Time imageAt{};
    Time waitingSince{};
    Time progress{};
    std::optional<Time> saveEnds;
    std::optional<Time> peersGoneAt;
    bool placed = false;  // has its image: counts as being on the machine
};

struct World::Worker {
    std::string id;
    std::string type;
    std::string zone;
    bool spot = false;
    bool up = false;
    bool gone = false;
    bool faulty = false;
    Time rented{};
    Time hangsUntil{};
    Time deafUntil{};
    Time muteUntil{};
    Time slowUntil{};
    Time slowBy{};
    std::optional<Time> noticeEnds;
    std::uint64_t session = 1;
    std::uint64_t sequence = 0;
    std::uint64_t token = 0;
    Time leaseFrom{};
    int node = 0;
    bool reporting = false;
    std::uint64_t reportNumber = 0;
    Time lastReport{-10};
    Time tokenReported{-1000};
    bool soon = false;
    std::vector<std::string> images;
    std::vector<Task> tasks;
};

void NodeNetwork::sendFrame(const std::string& peer, std::string payload) {
    if (*alive_) world_.sendFrame(host_, peer, std::move(payload));
}

World::World(WorldSpec spec)
    : spec_(std::move(spec)),
      rng_(spec_.seed),
      checker_(spec_.teams, spec_.cancel + Time(1)),
      limits_(spec_.recordLimits) {
    for (int i = 0; i < spec_.nodes; ++i) {
        auto node = std::make_unique<Node>();
        node->name = "node-" + std::to_string(i);
        node->oldVersion = spec_.oldVersion;
        setLimits(*node);
        auto& s = node->settings;
        s.name = node->name;
        s.zone = spec_.zones[static_cast<std::size_t>(i) % spec_.zones.size()];
        s.state = "state";
        s.cloud = "cloud";
        s.teams = spec_.teams;
        s.lease = spec_.lease;
        s.cancel = spec_.cancel;
        s.gangWait = gangWait;
        s.gangPeer = gangPeer;
        s.listLag = spec_.listLag;
        s.stateRequests = spec_.stateRequests;
        s.stateWrites = spec_.stateWrites;
        s.cloudCalls = 6;
        for (int j = 0; j < spec_.nodes; ++j)
            if (j != i)
                s.peers.push_back({"node-" + std::to_string(j),
                                   spec_.zones[static_cast<std::size_t>(j) % spec_.zones.size()],
                                   ""});
        nodes_.push_back(std::move(node));
    }
    for (int i = 0; i < spec_.nodes; ++i) at(Time(0.1 * i), [this, i] { startNode(i); });
    at(Time(5), [this] { watchWaiting(); });
}

World::~World() = default;

void World::at(Time when, std::function<void()> action) {
    queue_.emplace(std::max(when, now_), std::move(action));
}

void World::run(Time until) {
    while (!queue_.empty() && queue_.begin()->first <= until) {
        auto node = queue_.extract(queue_.begin());
        now_ = node.key();
        node.mapped()();
    }
    now_ = until;
    checker_.finish(until);
}

void World::startNode(int index) {
    auto& node = *nodes_[static_cast<std::size_t>(index)];
    node.alive = std::make_shared<bool>(true);
    node.clock = std::make_unique<NodeClock>(*this, node.alive);
    node.network = std::make_unique<NodeNetwork>(*this, node.name, node.alive);
    node.controller = std::make_unique<coordination::Controller>(
        node.settings, spec_.tuning, *node.clock, *node.network, rng_());
    node.controller->start();
}

void World::kill(int index, Time down) {
    auto& node = *nodes_[static_cast<std::size_t>(index)];
    if (!node.controller) return;
    *node.alive = false;
    node.ended.push_back(std::move(node.controller));
    node.endedClocks.push_back(std::move(node.clock));
    node.endedNetworks.push_back(std::move(node.network));
    checker_.troubledUntil(now_ + down + startUp);
    at(now_ + down + startUp, [this, index] { startNode(index); });
}

void World::upgrade(int index, Time down) {
    auto& node = *nodes_[static_cast<std::size_t>(index)];
    kill(index, down);
    node.oldVersion = false;
    setLimits(node);
}

void World::setLimits(Node& node) const {
    auto& settings = node.settings;
    settings.valueKb = spec_.recordLimits.valueKb;
    settings.transactionChanges = spec_.recordLimits.changes;
    if (node.oldVersion || !spec_.nextLimits) return;
    settings.valueKb = std::min(settings.valueKb, spec_.nextLimits->valueKb);
    settings.transactionChanges = std::min(settings.transactionChanges, spec_.nextLimits->changes);
}

void World::lowerLimits() {
    limits_ = spec_.nextLimits.value_or(limits_);
}

// ---- the network

void World::deliver(const std::string& from, const std::string& to, std::function<void()> action) {
    Time delay(std::uniform_real_distribution<>(0.0005, 0.01)(rng_));
    const auto more = [this](Time most) {
        return most * std::uniform_real_distribution<>(0, 1)(rng_);
    };
    if (const auto* target = worker(to); target != nullptr) {
        if (target->deafUntil > now_) return;
        if (target->slowUntil > now_) delay += more(target->slowBy);
    }
    if (const auto* source = worker(from); source != nullptr && source->slowUntil > now_)
        delay += more(source->slowBy);
    if (now_ < stateSlowUntil_ && (to == "state" || from == "state")) delay += more(stateSlow_);
    const auto found = cuts_.find(std::minmax(from, to));
    if (found != cuts_.end() && found->second.until > now_) {
        if (!found->second.hold) return;
        delay += found->second.until - now_;
    }
    at(now_ + delay, std::move(action));
}

void World::sendFrame(const std::string& from, const std::string& peer, std::string payload) {
    const auto chance = [this] { return std::uniform_real_distribution<>(0, 1)(rng_); };
    const auto hand = [this, peer, payload = std::move(payload)] {
        for (const auto& node : nodes_)
            if (node->name == peer && node->controller) node->controller->onFrame(payload);
    };
    const bool troubled = now_ < framesUntil_;
    if (troubled && chance() < copiedFrames_) at(now_ + latestFrame_ * chance(), hand);
    if (troubled && chance() < lostFrames_) return;
    deliver(from, peer, hand);
}

void World::request(const std::string& from, const std::string& address, HttpRequest request,
                    Time timeout, HttpDone done) {
    auto open = std::make_shared<bool>(true);
    auto finish = [open, done = std::move(done)](std::optional<HttpResponse> response) {
        if (!*open) return;
        *open = false;
        done(std::move(response));
    };
    at(now_ + timeout, [finish] { finish(std::nullopt); });
    if (const auto* source = worker(from); source != nullptr && source->muteUntil > now_) return;
    if (request.method == "POST" && std::uniform_real_distribution<>(0, 1)(rng_) < repeatedShare_)
        at(now_ + latestRepeat_ * std::uniform_real_distribution<>(0.02, 1)(rng_),
           [this, from, address, request] {
               serve(from, address, request, [](const HttpResponse&) {});
           });
    deliver(from, address, [this, from, address, request = std::move(request), finish] {
        serve(from, address, request, [this, from, address, finish](HttpResponse response) {
            if (std::uniform_real_distribution<>(0, 1)(rng_) < lostAnswers_) return;
            deliver(address, from, [this, finish, given = now_, response = std::move(response)] {
                givenAt_ = given;
                finish(response);
            });
        });
    });
}

void World::serve(const std::string& from, const std::string& host, const HttpRequest& request,
                  HttpReply reply) {
    if (host == "state") return serveState(from, request, reply);
    if (host == "cloud") return serveCloud(request, reply);
    for (const auto& node : nodes_) {
        if (node->name != host) continue;
        if (node->controller) node->controller->onRequest(request, std::move(reply));
        return;
    }
    Worker* target = worker(host);
    if (target == nullptr || !target->up || target->gone) return;
    if (target->hangsUntil > now_) {
        // Carried out when the machine goes on, if token and session still match.
        at(target->hangsUntil,
           [this, from, host, request, reply] { serve(from, host, request, reply); });
        return;
    }
    const auto body = protocol::decodeCbor(request.body);
    const auto token = body ? protocol::countOf(*body, wire::token) : 0;
    const auto session = body ? protocol::countOf(*body, wire::session) : 0;
    if (token < target->token || session != target->session)
        return reply(answer(409, reportBody(*target)));
    // A higher token is a change that it reports, once in half a lease.
    if (token > target->token && now_ - target->tokenReported > spec_.lease / 2) {
        target->tokenReported = now_;
        reportSoon(*target);
    }
    target->token = token;
    obey(*target, protocol::listOf(*body, wire::commands));
    ++target->sequence;
    reply(answer(200, reportBody(*target)));
}

void World::deafen(std::size_t machine, Time length) {
    nth(workers_, machine).deafUntil = now_ + length;
}

void World::mute(std::size_t machine, Time length) {
    nth(workers_, machine).muteUntil = now_ + length;
    checker_.troubledUntil(now_ + length);
}

void World::slowLinks(std::size_t machine, Time most, Time length) {
    Worker& w = nth(workers_, machine);
    w.slowBy = most;
    w.slowUntil = now_ + length;
    checker_.troubledUntil(w.slowUntil);
}

void World::cutZone(const std::string& zone, Time length, bool hold) {
    for (const auto& [host, where] : hosts())
        if (where == zone)
            for (const auto& [other, elsewhere] : hosts())
                if (elsewhere != zone) cut(host, other, length, hold);
}

void World::partZones(const std::string& one, const std::string& other, Time length, bool hold) {
    for (const auto& [host, where] : hosts())
        if (where == one)
            for (const auto& [peer, elsewhere] : hosts())
                if (elsewhere == other) cut(host, peer, length, hold);
}

void World::refusePeers(Time length) {
    for (const auto& node : nodes_)
        for (const auto& other : nodes_)
            if (node != other) cut(node->name, other->name, length, false);
}

void World::isolateFromState(int node, Time length) {
    const auto& name = nodes_[static_cast<std::size_t>(node)]->name;
    cut(name, "state", length, false);
    for (const auto& other : nodes_)
        if (other->name != name) cut(name, other->name, length, false);
}

std::map<std::string, std::string> World::hosts() const {
    std::map<std::string, std::string> all{
        {"state", ""}, {"cloud", ""}, {"users", ""}};  // regional
    for (const auto& node : nodes_) all[node->name] = node->settings.zone;
    for (const auto& [id, w] : workers_) all[id] = w->zone;
    return all;
}

void World::cut(const std::string& one, const std::string& other, Time length, bool hold) {
    cuts_[std::minmax(one, other)] = {now_ + length, hold};
    checker_.troubledUntil(now_ + length);
}

// ---- the state service

void World::stateOutage(Time length) {
    stateBackAt_ = now_ + length;
    checker_.troubledUntil(stateBackAt_);
    for (auto& [id, hold] : holds_) hold.first = stateBackAt_ + hold.second;
    at(stateBackAt_, [this] { answerWatches(); });
}

void World::refuseState(int node, Time length) {
    refusedUntil_["node-" + std::to_string(node)] = now_ + length;
    at(now_ + length, [this] { answerWatches(); });
    checker_.troubledUntil(now_ + length);
}

void World::expireHolds() {
    if (now_ < stateBackAt_) return;
    for (auto hold = holds_.begin(); hold != holds_.end();) {
        if (hold->second.first > now_) {
            ++hold;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, record] : records_)
            if (record.hold == hold->first) keys.push_back(key);
        hold = holds_.erase(hold);
        for (const auto& key : keys) {
            ++revision_;
            records_.erase(key);
            changed(key, true);
        }
        if (!keys.empty()) answerWatches();
    }
}

void World::changed(const std::string& key, bool deleted) {
    log_.emplace_back(revision_, key, deleted ? std::nullopt : std::optional(records_[key].value));
    if (log_.size() > keptChanges) log_.pop_front();
}

void World::answerWatches() {
    if (now_ < stateBackAt_) return;
    for (const auto& watch : watches_) {
        if (!watch->open || stateRefuses(watch->from)) continue;
        Json events = Json::array();
        for (const auto& [revision, key, value] : log_) {
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

bool World::stateRefuses(const std::string& node) const {
    const auto refused = refusedUntil_.find(node);
    return now_ < stateBackAt_ || (refused != refusedUntil_.end() && now_ < refused->second);
}

void World::endWatch(const std::shared_ptr<Watch>& watch) {
    if (!watch->open) return;
    // Watches that are open stay open while their node is not served.
    if (stateRefuses(watch->from)) {
        at(now_ + Time(1), [this, watch] { endWatch(watch); });
        return;
    }
    watch->open = false;
    watch->reply(answer(200, {{wire::revision, revision_}, {wire::events, Json::array()}}));
}

bool World::withinLimits(const Json& body) const {
    const auto& changes = protocol::listOf(body, wire::changes);
    const auto& conditions = protocol::listOf(body, wire::conditions);
    const auto conditionsMost = limits_.changes * app::Settings::conditionsPerChange;
    return changes.size() <= limits_.changes && conditions.size() <= conditionsMost &&
           std::all_of(changes.begin(), changes.end(), [this](const Json& change) {
               const auto value = change.find(wire::value);
               return value == change.end() ||
                      static_cast<double>(value->dump().size()) <= limits_.valueKb * 1024;
           });
}

Json World::asWrittenBy(const std::string& from, Json body) const {
    const auto node = std::find_if(nodes_.begin(), nodes_.end(),
                                   [&from](const auto& n) { return n->name == from; });
    if (node == nodes_.end() || !(*node)->oldVersion) return body;
    Json kept = Json::array();
    for (const auto& change : protocol::listOf(body, wire::changes))
        if (!protocol::textOf(change, wire::put).starts_with(bookkeeping::keys::upgraded({})))
            kept.push_back(change);
    body[wire::changes] = std::move(kept);
    return body;
}

HttpResponse World::stateTransaction(const Json& body) {
    if (!withinLimits(body)) return answer(400);
    Json failed = Json::array();
    for (const auto& condition : protocol::listOf(body, wire::conditions)) {
        const auto key = protocol::textOf(condition, wire::key);
        const auto found = records_.find(key);
        const auto version = found == records_.end() ? 0 : found->second.version;
        if (version != protocol::countOf(condition, wire::version)) failed.push_back(key);
    }
    const auto& changes = protocol::listOf(body, wire::changes);
    for (const auto& change : changes) {
        const auto hold = protocol::countOf(change, wire::hold);
        if (hold != 0 && !holds_.contains(hold)) return answer(400);
    }
    if (!failed.empty()) return answer(409, {{wire::failed, failed}, {wire::revision, revision_}});
    if (!changes.empty()) ++revision_;
    for (const auto& change : changes) {
        auto key = protocol::textOf(change, wire::put);
        if (key.empty()) {
            key = protocol::textOf(change, wire::drop);
            if (records_.erase(key) > 0) changed(key, true);
            continue;
        }
        records_[key] = {change[wire::value], revision_, protocol::countOf(change, wire::hold)};
        changed(key, false);
    }
    answerWatches();
    return answer(200, {{wire::revision, revision_}});
}

void World::serveState(const std::string& from, const HttpRequest& request,
                       const HttpReply& reply) {
    expireHolds();
    const auto path = request.path.substr(0, request.path.find('?'));
    const auto query = queryOf(request.path);
    const auto text = [&](const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    if (path == wire::pathFollow) {
        auto watch = std::make_shared<Watch>();
        watch->prefix = text(wire::queryPrefix);
        watch->since = std::stoull(text(wire::querySince));
        watch->reply = reply;
        watch->from = from;
        if (stateRefuses(from)) return reply(answer(503));
        watches_.push_back(watch);
        at(now_ + Time(std::stod(text(wire::queryWait)) / 1000),
           [this, watch] { endWatch(watch); });
        return answerWatches();
    }
    if (stateRefuses(from)) return reply(answer(503));
    auto body = protocol::decodeCbor(request.body);
    if (path == wire::pathTransaction) {
        body = asWrittenBy(from, std::move(*body));
        if (now_ >= lateUntil_ || std::uniform_real_distribution<>(0, 1)(rng_) >= lateShare_)
            return reply(stateTransaction(*body));
        const Time later(
            std::uniform_real_distribution<>(soonestWrite.count(), latestWrite.count())(rng_));
        at(std::max(now_ + later, stateBackAt_), [this, body = *body] {
            expireHolds();
            stateTransaction(body);
        });
        return;
    }
    if (path == wire::pathHolds) {
        const Time length(protocol::numberOf(*body, wire::holdTime) / 1000);
        holds_[nextHold_] = {now_ + length, length};
        return reply(answer(200, {{wire::hold, nextHold_++}}));
    }
    if (path.starts_with(wire::pathHolds)) {
        const auto id = std::stoull(path.substr(std::string(wire::pathHolds).size() + 1));
        const auto hold = holds_.find(id);
        if (hold == holds_.end()) return reply(answer(404));
        hold->second.first = now_ + hold->second.second;
        return reply(answer(200, {{wire::hold, id}}));
    }
    const auto item = [](const std::string& key, const Record& record) {
        return Json{{wire::key, key}, {wire::value, record.value}, {wire::version, record.version}};
    };
    if (path == wire::pathKeys) {
        Json items = Json::array();
        const auto prefix = text(wire::queryPrefix);
        const auto most = std::stoul(text(wire::queryMost));
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

// ---- the cloud

void World::cloudOutage(Time length) {
    cloudBackAt_ = now_ + length;
    checker_.troubledUntil(cloudBackAt_);
}

void World::serveCloud(const HttpRequest& request, const HttpReply& reply) {
    if (now_ < cloudBackAt_) return reply(answer(503, {{"error", "trouble"}}));
    const auto path = request.path.substr(0, request.path.find('?'));
    const auto body = protocol::decodeCbor(request.body);
    if (path == wire::pathCatalog) {
        std::vector<protocol::MachineType> types;
        for (const auto& entry : spec_.types) {
            types.push_back(entry.type);
            types.back().zones = spec_.zones;
        }
        return reply(answer(200, protocol::encodeCatalog(types)));
    }
    if (path == wire::pathRelease) {
        for (const auto& name : protocol::listOf(*body, wire::machines)) {
            Worker* target = worker(name.get<std::string>());
            if (target == nullptr || target->gone) continue;
            killAll(*target);
            target->gone = true;
        }
        return reply(answer(200));
    }
    if (request.method == "POST") {
        const auto name = protocol::textOf(*body, wire::rental);
        const auto known = rentals_.find(name);
        if (known != rentals_.end()) return reply(answer(200, {{wire::machines, known->second}}));
        const auto type = protocol::textOf(*body, wire::type);
        const auto zone = protocol::textOf(*body, wire::zone);
        const bool spot = protocol::flagOf(*body, wire::spot);
        const auto found = std::find_if(spec_.types.begin(), spec_.types.end(),
                                        [&](const auto& t) { return t.type.name == type; });
        auto room = spot ? found->spotCapacity : found->capacity;
        for (const auto& [id, w] : workers_)
            if (!w->gone && w->type == type && w->zone == zone && w->spot == spot) --room;
        const auto count = std::min(room, static_cast<int>(protocol::countOf(*body, wire::count)));
        if (count <= 0) return reply(answer(503, {{"error", "no capacity"}}));
        auto& names = rentals_[name];
        for (int i = 0; i < count; ++i) {
            addMachine(type, zone, spot);
            names.push_back(workers_.rbegin()->first);
        }
        return reply(answer(200, {{wire::machines, names}}));
    }
    // A list is as old as its lag.
    const auto moment = now_ - spec_.listLag * std::uniform_real_distribution<>(1.0, 2.0)(rng_);
    // In name order, a page at a time.
    const auto query = queryOf(request.path);
    const auto since = query.contains(wire::querySince) ? query.at(wire::querySince) : "";
    const auto most = std::stoul(query.at(wire::queryMost));
    Json machines = Json::array();
    bool more = false;
    for (auto at = workers_.upper_bound(since); at != workers_.end(); ++at) {
        const auto& [id, w] = *at;
        if (w->rented > moment || w->gone) continue;
        more = machines.size() == most;
        if (more) break;
        machines.push_back({{wire::id, id},
                            {wire::address, id},
                            {wire::type, w->type},
                            {wire::zone, w->zone},
                            {wire::spot, w->spot},
                            {wire::state, w->up ? wire::stateRunning : wire::stateBooting},
                            {wire::age, (moment - w->rented).count()}});
    }
    reply(answer(200, {{wire::machines, machines}, {wire::more, more}}));
}

// ---- workers

World::Worker* World::worker(const std::string& id) {
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : found->second.get();
}

void World::addMachine(const std::string& type, const std::string& zone, bool spot) {
    auto name = std::to_string(nextMachine_++);
    name = "m-" + std::string(6 - name.size(), '0') + name;
    auto w = std::make_unique<Worker>();
    w->id = name;
    w->type = type;
    w->zone = zone;
    w->spot = spot;
    w->rented = now_;
    w->node = someNode();
    const auto found = std::find_if(spec_.types.begin(), spec_.types.end(),
                                    [&](const auto& t) { return t.type.name == type; });
    const Time boot = now_ > Time(0)
                          ? found->type.bootTime * std::uniform_real_distribution<>(0.6, 1.5)(rng_)
                          : Time(0);
    at(now_ + boot, [this, name] { startWorker(*worker(name)); });
    workers_[name] = std::move(w);
}

void World::startWorker(Worker& w) {
    if (w.gone) return;
    w.up = true;
    w.leaseFrom = now_;
    reportSoon(w);
    stepWorker(w);
}

Json World::reportBody(Worker& w) const {
    Json tasks = Json::array();
    for (const auto& task : w.tasks) {
        Json entry{{wire::task, task.job + "/" + std::to_string(task.index)},
                   {wire::attempt, task.attempt},
                   {wire::state, task.state}};
        if (!task.cause.empty()) entry[wire::cause] = task.cause;
        if (task.kept) entry[wire::saved] = true;
        tasks.push_back(std::move(entry));
    }
    Json body{
        {wire::machine, w.id},        {wire::address, w.id},  {wire::type, w.type},
        {wire::zone, w.zone},         {wire::spot, w.spot},   {wire::session, w.session},
        {wire::sequence, w.sequence}, {wire::token, w.token}, {wire::tasks, std::move(tasks)}};
    if (w.noticeEnds) body[wire::notice] = (*w.noticeEnds - now_).count();
    return body;
}

void World::reportSoon(Worker& w) {
    if (w.soon) return;
    w.soon = true;
    at(std::max(now_, w.lastReport + reportGap), [this, id = w.id] {
        Worker& target = *worker(id);
        target.soon = false;
        report(target);
    });
}

void World::report(Worker& w) {
    if (w.gone || w.reporting) return;
    if (w.hangsUntil > now_) {
        at(w.hangsUntil, [this, id = w.id] { report(*worker(id)); });
        return;
    }
    w.reporting = true;
    w.lastReport = now_;
    ++w.sequence;
    const auto number = ++w.reportNumber;
    const auto sent = now_;
    const auto session = w.session;
    const HttpRequest sending{"POST", wire::pathReport, protocol::encodeCbor(reportBody(w))};
    const auto& node = nodes_[static_cast<std::size_t>(w.node)]->name;
    if (std::uniform_real_distribution<>(0, 1)(rng_) < copiedShare_)
        at(now_ + latestCopy_ * std::uniform_real_distribution<>(0.02, 1)(rng_),
           [this, id = w.id, node, sending] {
               serve(id, node, sending, [](const HttpResponse&) {});
           });
    request(w.id, node, sending, reportTimeout,
            [this, id = w.id, number, sent, session](const std::optional<HttpResponse>& response) {
                Worker& target = *worker(id);
                if (target.gone || target.reportNumber != number) return;
                target.reporting = false;
                const auto body = response ? protocol::decodeCbor(response->body) : std::nullopt;
                if (response && response->status == 421 && body) {
                    const auto to = protocol::textOf(*body, wire::reportTo);
                    for (std::size_t i = 0; i < nodes_.size(); ++i) {
                        if (nodes_[i]->name != to || static_cast<int>(i) == target.node) continue;
                        target.node = static_cast<int>(i);
                        return reportSoon(target);
                    }
                }
                if (!response || response->status != 200 || !body) {
                    target.node = (target.node + 1) % spec_.nodes;
                    at(now_ + Time(1), [this, id] { reportSoon(*worker(id)); });
                    return;
                }
                const auto token = protocol::countOf(*body, wire::token);
                if (token >= target.token && session == target.session) {
                    const bool higher = token > target.token;
                    target.token = token;
                    target.leaseFrom = sent;
                    obey(target, protocol::listOf(*body, wire::commands));
                    if (higher && now_ - target.tokenReported > spec_.lease / 2) {
                        target.tokenReported = now_;
                        reportSoon(target);
                    }
                }
                const Time pause =
                    reportPeriod * std::uniform_real_distribution<>(0.75, 1.25)(rng_);
                at(now_ + pause, [this, id, number] {
                    if (worker(id)->reportNumber == number) reportSoon(*worker(id));
                });
            });
}

void World::obey(Worker& w, const Json& calls) {
    for (const auto& call : calls) {
        const auto op = protocol::textOf(call, wire::command);
        const auto name = protocol::textOf(call, wire::task);
        const auto slash = name.rfind('/');
        const auto job = name.substr(0, slash);
        const auto index = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
        const auto attempt = protocol::countOf(call, wire::attempt);
        const auto found = std::find_if(w.tasks.begin(), w.tasks.end(), [&](const Task& t) {
            return t.job == job && t.index == index && t.attempt == attempt;
        });
        if (op == wire::commandForget) {
            if (found != w.tasks.end() && found->state == wire::stateExited) w.tasks.erase(found);
        } else if (op == wire::commandStop) {
            if (found == w.tasks.end() || found->state == wire::stateExited) continue;
            const auto& truth = truths_[job];
            const Time grace(protocol::numberOf(call, wire::grace));
            if (found->state == wire::stateRunning && truth.spec.checkpoint.count() > 0 &&
                grace >= truth.spec.save) {
                found->state = wire::stateSaving;
                found->saveEnds = now_ + truth.spec.save;
            } else if (found->state != wire::stateSaving || grace == Time(0)) {
                endTask(w, *found, wire::causeStopped, false);
            }
        } else if (found == w.tasks.end()) {
            Task task;
            task.job = job;
            task.index = index;
            task.attempt = attempt;
            const auto& truth = truths_[job];
            const auto type = std::find_if(spec_.types.begin(), spec_.types.end(),
                                           [&](const auto& t) { return t.type.name == w.type; });
            protocol::Resources used = truth.spec.each;
            bool busy = false;
            for (const auto& other : w.tasks) {
                if (other.state == wire::stateExited) continue;
                used += truths_[other.job].spec.each;
                busy = busy || (other.job == job && other.index == index);
            }
            const char* refusal = !truth.submitted                  ? wire::causeUnknown
                                  : busy                            ? wire::causeBusy
                                  : !used.fits(type->type.capacity) ? wire::causeNoRoom
                                                                    : nullptr;
            if (refusal != nullptr) {
                task.state = wire::stateExited;
                task.cause = refusal;
            } else {
                const bool cached =
                    std::find(w.images.begin(), w.images.end(), truth.spec.image) != w.images.end();
                task.imageAt =
                    now_ + Time(cached ? 0.0 : truth.spec.imageSize / type->type.fetchRate);
            }
            w.tasks.push_back(std::move(task));
        }
        reportSoon(w);
    }
}

void World::endTask(Worker& w, Task& task, const char* cause, bool kept) {
    const bool done = std::string(cause) == wire::causeDone;
    if (task.placed) checker_.ended(task.job, task.index, w.id, done, now_);
    if (done) {
        Truth& truth = truths_[task.job];
        truth.done.insert(task.index);
        if (truth.done.size() == truth.spec.tasks && now_ < cancelAtEndUntil_ &&
            std::uniform_real_distribution<>(0, 1)(rng_) < cancelAtEndShare_)
            at(now_, [this, job = task.job] { cancel(job); });
    }
    task.placed = false;
    task.state = wire::stateExited;
    task.cause = cause;
    task.kept = kept;
    reportSoon(w);
}

void World::killAll(Worker& w) {
    for (auto& task : w.tasks)
        if (task.placed) checker_.ended(task.job, task.index, w.id, false, now_);
    w.tasks.clear();
}

void World::stepWorker(Worker& w) {
    if (w.gone) return;
    if (w.noticeEnds && now_ >= *w.noticeEnds) {
        killAll(w);
        w.gone = true;
        return;
    }
    at(now_ + step, [this, id = w.id] { stepWorker(*worker(id)); });
    if (w.hangsUntil > now_) return;
    if (now_ - w.leaseFrom > spec_.lease) {
        killAll(w);
        ++w.session;
        w.leaseFrom = now_;
        reportSoon(w);
        return;
    }
    std::set<std::string> gangs;
    for (auto& task : w.tasks) {
        Truth& truth = truths_[task.job];
        const bool gang = truth.spec.kind == protocol::JobKind::gang;
        if (task.state == wire::stateFetching && now_ >= task.imageAt) {
            if (std::find(w.images.begin(), w.images.end(), truth.spec.image) == w.images.end())
                w.images.push_back(truth.spec.image);
            task.placed = true;
            checker_.started(task.job, task.index, {w.id, w.type, w.zone, w.spot}, now_);
            task.state = gang ? wire::stateWaiting : wire::stateRunning;
            task.waitingSince = now_;
            task.progress = truth.saved[task.index];
            reportSoon(w);
        } else if (task.state == wire::stateSaving) {
            if (now_ >= *task.saveEnds) {
                truth.saved[task.index] = task.progress;
                endTask(w, task, wire::causeStopped, true);
            }
        } else if (task.state == wire::stateRunning) {
            task.progress += step;
            if (truth.spec.checkpoint.count() > 0 && !gang) {
                const auto whole = std::floor(task.progress / truth.spec.checkpoint);
                truth.saved[task.index] =
                    std::max(truth.saved[task.index], Time(truth.spec.checkpoint) * whole);
            }
            if (w.faulty || truth.faulty)
                endTask(w, task, wire::causeError, false);
            else if (truth.done.contains(task.index) ||
                     (truth.spec.kind != protocol::JobKind::service && !gang &&
                      task.progress >= truth.runs))
                endTask(w, task, wire::causeDone, false);
        }
        if (gang) gangs.insert(task.job);
    }
    for (const auto& job : gangs) gangStep(job);
}

void World::gangStep(const std::string& job) {
    const Truth& truth = truths_[job];
    std::map<std::uint64_t, std::vector<std::pair<Worker*, Task*>>> attempts;
    for (const auto& [id, w] : workers_)
        if (!w->gone)
            for (auto& task : w->tasks)
                if (task.job == job && task.placed)
                    attempts[task.attempt].emplace_back(w.get(), &task);
    for (auto& entry : attempts) {
        auto& members = entry.second;
        const auto inState = [&members](const char* state) {
            return static_cast<std::size_t>(
                std::count_if(members.begin(), members.end(),
                              [state](const auto& m) { return m.second->state == state; }));
        };
        const auto running = inState(wire::stateRunning);
        const auto waiting = inState(wire::stateWaiting);
        const bool whole = members.size() == truth.spec.tasks;
        const bool finished = whole && running == members.size() &&
                              std::all_of(members.begin(), members.end(), [&](const auto& m) {
                                  return m.second->progress >= truth.runs;
                              });
        for (auto& [w, task] : members) {
            if (w->hangsUntil > now_) continue;
            if (finished) {
                endTask(*w, *task, wire::causeDone, false);
            } else if (task->state == wire::stateWaiting) {
                if (whole && running + waiting == members.size()) {
                    task->state = wire::stateRunning;
                    reportSoon(*w);
                } else if (now_ - task->waitingSince > gangWait) {
                    endTask(*w, *task, wire::causeAlone, false);
                }
            } else if (task->state == wire::stateRunning && !whole) {
                if (!task->peersGoneAt) task->peersGoneAt = now_ + gangPeer;
                if (now_ >= *task->peersGoneAt) endTask(*w, *task, wire::causePeers, false);
            }
        }
    }
}

// ---- troubles of machines

void World::hang(std::size_t machine, Time length) {
    nth(workers_, machine).hangsUntil = now_ + length;
    checker_.troubledUntil(now_ + length);
}

void World::die(std::size_t machine) {
    Worker& w = nth(workers_, machine);
    killAll(w);
    w.gone = true;
}

void World::notice(std::size_t machine, Time left) {
    Worker& w = nth(workers_, machine);
    w.noticeEnds = now_ + left;
    reportSoon(w);
}

void World::breakMachine(std::size_t machine) {
    nth(workers_, machine).faulty = true;
}

std::size_t World::machinesUp() const {
    return static_cast<std::size_t>(std::count_if(
        workers_.begin(), workers_.end(), [](auto& w) { return w.second->up && !w.second->gone; }));
}

// ---- users

int World::someNode() {
    std::vector<int> alive;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i]->controller && nodes_[i]->controller->healthy())
            alive.push_back(static_cast<int>(i));
    if (alive.empty()) return std::uniform_int_distribution<>(0, spec_.nodes - 1)(rng_);
    return alive[std::uniform_int_distribution<std::size_t>(0, alive.size() - 1)(rng_)];
}

void World::submit(const protocol::JobSpec& spec, Time runs, bool faulty) {
    Truth& truth = truths_[spec.id];
    truth.spec = spec;
    truth.runs = runs;
    truth.faulty = faulty;
    truth.submitted = true;
    checker_.submitted(spec, now_);
    submitWhenNamed(spec.id);
}

void World::submitWhenNamed(const std::string& id) {
    // A user names only jobs that were accepted.
    const auto& predecessors = truths_[id].spec.predecessors;
    const bool accepted = std::all_of(predecessors.begin(), predecessors.end(),
                                      [this](const auto& p) { return !truths_[p].told.empty(); });
    if (accepted) return sendSubmit(id, now_);
    at(now_ + acceptancePause, [this, id] { submitWhenNamed(id); });
}

void World::sendSubmit(const std::string& id, Time first) {
    if (now_ - first > Time(60)) return;
    request(
        "users", nodes_[static_cast<std::size_t>(someNode())]->name,
        {"POST", wire::pathJobs, protocol::encodeCbor(protocol::encodeJobSpec(truths_[id].spec))},
        Time(5), [this, id, first](const std::optional<HttpResponse>& response) {
            if (response && (response->status == 400 || response->status == 422))
                return checker_.toldInvalid(id);
            const auto body = response ? protocol::decodeCbor(response->body) : std::nullopt;
            if (!response || response->status / 100 != 2 || !body) {
                at(now_ + Time(1), [this, id, first] { sendSubmit(id, first); });
                return;
            }
            noteTold(id, protocol::textOf(*body, wire::state));
            poll(id);
        });
}

void World::post(const Json& body, std::function<void(int status, std::string state)> done) {
    request("users", nodes_[static_cast<std::size_t>(someNode())]->name,
            {"POST", wire::pathJobs, protocol::encodeCbor(body)}, Time(5),
            [done = std::move(done)](const std::optional<HttpResponse>& response) {
                const auto answered =
                    response ? protocol::decodeCbor(response->body) : std::nullopt;
                done(response ? response->status : 0,
                     answered ? protocol::textOf(*answered, wire::state) : std::string());
            });
}

void World::noteTold(const std::string& id, const std::string& state) {
    truths_[id].told = state;
    truths_[id].firstTold.try_emplace(state, now_);
    checker_.told(id, state, now_, givenAt_);
}

std::optional<Time> World::firstTold(const std::string& job, const std::string& state) const {
    const auto truth = truths_.find(job);
    if (truth == truths_.end()) return std::nullopt;
    const auto found = truth->second.firstTold.find(state);
    return found == truth->second.firstTold.end() ? std::nullopt : std::optional(found->second);
}

void World::poll(const std::string& id) {
    at(now_ + pollPeriod, [this, id] {
        askAbout(id);
        poll(id);
    });
}

void World::askAbout(const std::string& id) {
    request("users", nodes_[static_cast<std::size_t>(someNode())]->name,
            {"GET", std::string(wire::pathJobs) + "/" + id, {}}, Time(2),
            [this, id](const std::optional<HttpResponse>& response) {
                if (response && response->status == 404) return checker_.toldUnknown(id);
                const auto body = response ? protocol::decodeCbor(response->body) : std::nullopt;
                if (!response || response->status != 200 || !body)
                    return checker_.pollFailed(id, now_);
                noteTold(id, protocol::textOf(*body, wire::state));
            });
    checker_.tick(now_);
}

void World::cancel(const std::string& id) {
    checker_.askedToCancel(id);
    request("users", nodes_[static_cast<std::size_t>(someNode())]->name,
            {"POST", std::string(wire::pathJobs) + "/" + id + wire::pathCancel, {}}, Time(5),
            [this, id](const std::optional<HttpResponse>& response) {
                const auto body = response ? protocol::decodeCbor(response->body) : std::nullopt;
                if (!response || response->status != 200 || !body) {
                    at(now_ + Time(1), [this, id] { cancel(id); });
                    return;
                }
                noteTold(id, protocol::textOf(*body, wire::state));
            });
}

void World::cancelRunning(int count, Time hangs) {
    int hung = 0;
    for (const auto& [id, truth] : truths_) {
        if (count == 0) break;
        const auto runs = [&id = id](const Task& task) { return task.job == id && task.placed; };
        std::vector<Worker*> places;
        for (const auto& [name, w] : workers_)
            if (!w->gone && std::any_of(w->tasks.begin(), w->tasks.end(), runs))
                places.push_back(w.get());
        if (places.empty()) continue;
        --count;
        at(now_ + Time(std::uniform_real_distribution<>(0, 0.2)(rng_)),
           [this, id = id] { cancel(id); });
        if (hangs <= Time(0) || hung++ >= 8) continue;
        places.front()->hangsUntil = now_ + hangs;
        checker_.troubledUntil(now_ + hangs);
    }
}

void World::oddRequests(Time length) {
    oddUntil_ = std::max(oddUntil_, now_ + length);
    if (truths_.empty()) return;
    const auto& [id, truth] =
        *std::next(truths_.begin(), static_cast<std::ptrdiff_t>(rng_() % truths_.size()));
    if (truth.told == "done") {
        cancel(id);
    } else if (!truth.told.empty()) {
        sendSubmit(id, now_);
    }
    auto spec = truth.spec;
    spec.id = "run-odd-" + std::to_string(oddJobs_++);
    auto body = protocol::encodeJobSpec(spec);
    switch (oddJobs_ % 3) {
        case 0:
            // Any of those that may be neither null nor absent.
            for (const auto* field : {wire::types, wire::zone, wire::deadline}) body.erase(field);
            body.erase(std::next(body.begin(), static_cast<std::ptrdiff_t>(rng_() % body.size())));
            break;
        case 1:
            body[wire::cpus] = 100'000.0;
            break;
        default:
            body[wire::tasks] = "three";
    }
    sendBad(spec.id, body);
    if (now_ + Time(1) < oddUntil_) at(now_ + Time(1), [this] { oddRequests(oddUntil_ - now_); });
}

void World::sendBad(const std::string& id, const Json& body) {
    checker_.submittedBad(id);
    request("users", nodes_[static_cast<std::size_t>(someNode())]->name,
            {"POST", wire::pathJobs, protocol::encodeCbor(body)}, Time(5),
            [this, id](const std::optional<HttpResponse>& response) {
                if (response && response->status / 100 == 2) checker_.told(id, "pending", now_);
            });
}

// What users count: a job that waits although a machine that fits has room.
void World::watchWaiting() {
    for (const auto& [id, truth] : truths_)
        if (truth.submitted) checker_.waiting(id, couldStart(id), now_);
    at(now_ + Time(5), [this] { watchWaiting(); });
}

bool World::couldStart(const std::string& id) {
    const Truth& truth = truths_[id];
    const auto& spec = truth.spec;
    if (truth.faulty || truth.told == "done" || truth.told == "cancelled") return false;
    for (const auto& predecessor : spec.predecessors)
        if (!checker_.truthDone(predecessor)) return false;
    std::set<std::uint32_t> placed = truth.done;
    protocol::Resources team;
    std::map<std::string, std::uint32_t> places;  // by zone
    const bool gang = spec.kind == protocol::JobKind::gang;
    for (const auto& [name, w] : workers_) {
        if (!w->up || w->gone) continue;
        const auto type = std::find_if(spec_.types.begin(), spec_.types.end(),
                                       [&w = w](const auto& t) { return t.type.name == w->type; });
        auto room = type->type.capacity;
        for (const auto& task : w->tasks) {
            if (task.state == wire::stateExited) continue;
            room -= truths_[task.job].spec.each;
            if (truths_[task.job].spec.team == spec.team) team += truths_[task.job].spec.each;
            if (task.job == id) placed.insert(task.index);
        }
        if ((spec.types &&
             std::find(spec.types->begin(), spec.types->end(), w->type) == spec.types->end()) ||
            (spec.zone && *spec.zone != w->zone) || (w->spot && !spec.spot) || w->faulty)
            continue;
        while (spec.each.fits(room) && places[w->zone] < spec.tasks) {
            room -= spec.each;
            ++places[w->zone];
        }
    }
    // Spread jobs and arrays of one zone that have begun are bound by where their tasks are.
    if (spec.spread || (spec.oneZone && !gang && !placed.empty())) return false;
    if (placed.size() >= spec.tasks || (gang && !placed.empty())) return false;
    const std::uint32_t needed = gang ? spec.tasks : 1;
    for (const auto& limit : spec_.teams) {
        if (limit.name != spec.team) continue;
        const double times = needed;
        if ((limit.cpusMax > 0 && team.cpus + spec.each.cpus * times > limit.cpusMax) ||
            (limit.gpusMax > 0 && team.gpus + spec.each.gpus * times > limit.gpusMax))
            return false;
    }
    std::uint32_t all = 0;
    for (const auto& [zone, count] : places) {
        all += count;
        if (spec.oneZone && count >= needed) return true;
    }
    return !spec.oneZone && all >= needed;
}

std::string World::lastTold(const std::string& job) const {
    const auto found = truths_.find(job);
    return found == truths_.end() ? std::string() : found->second.told;
}

}  // namespace fawnwheel::sim
