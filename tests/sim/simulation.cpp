// The simulated nodes and the network between all hosts.
#include <algorithm>

#include "sim/simulation_internal.h"

namespace fawnwheel::sim {

namespace {

constexpr Time startUp{0.2};

}  // namespace

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

void NodeNetwork::sendFrame(const std::string& peer, std::string payload) {
    if (*alive_) simulation_.sendFrame(host_, peer, std::move(payload));
}

Simulation::Simulation(SimulationSpec spec)
    : spec_(std::move(spec)),
      rng_(spec_.seed),
      checker_(spec_.teams, spec_.cancel + Time(1)),
      limits_(spec_.recordLimits) {
    for (int i = 0; i < spec_.nodes; ++i) {
        auto node = std::make_unique<Node>();
        node->name = "node-" + std::to_string(i);
        node->oldVersion = spec_.oldVersion;
        node->operatorSettings = spec_.operatorSettings;
        if (spec_.nodesWithoutRebalancing.contains(i))
            node->operatorSettings.rebalancing.enabled = false;
        setLimits(*node);
        auto& s = node->settings;
        s.name = node->name;
        s.zone = spec_.zones[static_cast<std::size_t>(i) % spec_.zones.size()];
        s.stateAddress = "state";
        s.cloudAddress = "cloud";
        s.teams = spec_.teams;
        s.lease = spec_.lease;
        s.cancellationTimeout = spec_.cancel;
        s.gangWaitTimeout = gangWait;
        s.gangPeerTimeout = gangPeer;
        s.listLag = spec_.listLag;
        s.stateRequestsPerSecond = spec_.stateRequests;
        s.stateWritesPerSecond = spec_.stateWrites;
        s.cloudCallsPerSecond = 6;
        for (int j = 0; j < spec_.nodes; ++j)
            if (j != i)
                s.peers.push_back({"node-" + std::to_string(j),
                                   spec_.zones[static_cast<std::size_t>(j) % spec_.zones.size()],
                                   ""});
        nodes_.push_back(std::move(node));
    }
    for (int i = 0; i < spec_.nodes; ++i) at(Time(0.1 * i), [this, i] { startNode(i); });
    at(Time(5), [this] { checkWaitingJobs(); });
    at(Time(5), [this] { checkAllocations(); });
}

Simulation::~Simulation() = default;

void Simulation::at(Time when, std::function<void()> action) {
    queue_.emplace(std::max(when, now_), std::move(action));
}

void Simulation::run(Time until) {
    advance(until);
    finish();
}

void Simulation::advance(Time until) {
    while (!queue_.empty() && queue_.begin()->first <= until) {
        auto node = queue_.extract(queue_.begin());
        now_ = node.key();
        node.mapped()();
    }
    now_ = std::max(now_, until);
}

void Simulation::finish() {
    audit();
    checker_.finish(now_);
}

void Simulation::startNode(int index) {
    if (spec_.externalNodes != nullptr) return spec_.externalNodes->start(index);
    auto& node = *nodes_[static_cast<std::size_t>(index)];
    node.alive = std::make_shared<bool>(true);
    node.clock = std::make_unique<NodeClock>(*this, node.alive);
    node.network = std::make_unique<NodeNetwork>(*this, node.name, node.alive);
    node.controller = std::make_unique<coordination::Controller>(
        node.settings, node.operatorSettings, *node.clock, *node.network, rng_());
    node.controller->start();
}

void Simulation::kill(int index, Time down) {
    auto& node = *nodes_[static_cast<std::size_t>(index)];
    if (!nodeUp(static_cast<std::size_t>(index))) return;
    if (spec_.externalNodes != nullptr) {
        spec_.externalNodes->kill(index);
    } else {
        *node.alive = false;
        node.stoppedControllers.push_back(std::move(node.controller));
        node.stoppedClocks.push_back(std::move(node.clock));
        node.stoppedNetworks.push_back(std::move(node.network));
    }
    checker_.faultsUntil(now_ + down + startUp);
    at(now_ + down + startUp, [this, index] { startNode(index); });
}

bool Simulation::nodeUp(std::size_t index) const {
    return spec_.externalNodes != nullptr ? spec_.externalNodes->up(static_cast<int>(index))
                                          : nodes_[index]->controller != nullptr;
}

void Simulation::upgrade(int index, Time down) {
    auto& node = *nodes_[static_cast<std::size_t>(index)];
    kill(index, down);
    node.oldVersion = false;
    setLimits(node);
}

void Simulation::setLimits(Node& node) const {
    auto& settings = node.settings;
    settings.maxValueKb = spec_.recordLimits.valueKb;
    settings.maxTransactionWrites = spec_.recordLimits.writes;
    if (node.oldVersion || !spec_.announcedLimits) return;
    settings.maxValueKb = std::min(settings.maxValueKb, spec_.announcedLimits->valueKb);
    settings.maxTransactionWrites =
        std::min(settings.maxTransactionWrites, spec_.announcedLimits->writes);
}

void Simulation::applyAnnouncedLimits() {
    limits_ = spec_.announcedLimits.value_or(limits_);
}

void Simulation::deliver(const std::string& from, const std::string& to,
                         std::function<void()> action) {
    Time delay(std::uniform_real_distribution<>(0.0005, 0.01)(rng_));
    const auto randomDelay = [this](Time most) {
        return most * std::uniform_real_distribution<>(0, 1)(rng_);
    };
    if (const auto* target = worker(to); target != nullptr) {
        if (target->downstreamLostUntil > now_) return;
        if (target->slowUntil > now_) delay += randomDelay(target->maxExtraDelay);
    }
    if (const auto* source = worker(from); source != nullptr && source->slowUntil > now_)
        delay += randomDelay(source->maxExtraDelay);
    if (now_ < stateSlowUntil_ && (to == "state" || from == "state"))
        delay += randomDelay(maxStateDelay_);
    const auto found = cuts_.find(std::minmax(from, to));
    if (found != cuts_.end() && found->second.until > now_) {
        if (!found->second.delayed) return;
        delay += found->second.until - now_;
    }
    at(now_ + delay, std::move(action));
}

void Simulation::sendFrame(const std::string& from, const std::string& peer, std::string payload) {
    history_.add(now_, "frame", {from, peer, payload});
    const auto chance = [this] { return std::uniform_real_distribution<>(0, 1)(rng_); };
    const auto deliverFrame = [this, peer, payload = std::move(payload)] {
        for (const auto& node : nodes_)
            if (node->name == peer && node->controller) node->controller->onFrame(payload);
    };
    const bool disrupted = now_ < framesDisruptedUntil_;
    if (disrupted && chance() < duplicatedFrameFraction_)
        at(now_ + maxFrameDelay_ * chance(), deliverFrame);
    if (disrupted && chance() < lostFrameFraction_) return;
    deliver(from, peer, deliverFrame);
}

void Simulation::request(const std::string& from, const std::string& address, HttpRequest request,
                         Time timeout, HttpDone done) {
    history_.add(now_, "request", {from, address, request.method, request.path, request.body});
    auto open = std::make_shared<bool>(true);
    auto finish = [open, done = std::move(done)](std::optional<HttpResponse> response) {
        if (!*open) return;
        *open = false;
        done(std::move(response));
    };
    at(now_ + timeout, [finish] { finish(std::nullopt); });
    if (const auto* source = worker(from); source != nullptr && source->upstreamLostUntil > now_)
        return;
    if (request.method == "POST" &&
        std::uniform_real_distribution<>(0, 1)(rng_) < repeatedFraction_)
        at(now_ + maxRepeatDelay_ * std::uniform_real_distribution<>(0.02, 1)(rng_),
           [this, from, address, request] {
               serve(from, address, request, [](const HttpResponse&) {});
           });
    deliver(from, address, [this, from, address, request = std::move(request), finish] {
        const auto late = address == "state" ? answerDelay(from, request.path) : Time(0);
        serve(from, address, request, [this, from, address, late, finish](HttpResponse response) {
            history_.add(now_, "response",
                         {address, from, std::to_string(response.status), response.body});
            if (std::uniform_real_distribution<>(0, 1)(rng_) < lostResponseFraction_) return;
            auto arrive = [this, finish, generatedAt = now_, response = std::move(response)] {
                responseGeneratedAt_ = generatedAt;
                finish(response);
            };
            if (late == Time(0)) return deliver(address, from, std::move(arrive));
            at(now_ + late, [this, address, from, arrive = std::move(arrive)] {
                deliver(address, from, arrive);
            });
        });
    });
}

void Simulation::delayStateAnswers(int node, StateAnswer kind, Time late, Time length) {
    answerDelays_[{nodes_[static_cast<std::size_t>(node)]->name, kind}] = {now_ + length, late};
    checker_.faultsUntil(now_ + length + late);
}

Time Simulation::answerDelay(const std::string& node, const std::string& path) const {
    const bool isWatch = path.starts_with(wire::pathWatch);
    const bool isRead = path.starts_with(std::string(wire::pathKeys) + "/");
    if (!isWatch && !isRead) return Time(0);
    const auto found = answerDelays_.find({node, isWatch ? StateAnswer::watch : StateAnswer::read});
    return found == answerDelays_.end() || now_ >= found->second.until ? Time(0)
                                                                       : found->second.late;
}

void Simulation::serve(const std::string& from, const std::string& host, const HttpRequest& request,
                       HttpReply reply) {
    if (host == "state") return serveState(from, request, reply);
    if (host == "cloud") return serveCloud(request, reply);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const auto& node = nodes_[i];
        if (node->name != host) continue;
        if (!nodeUp(i)) return;
        if (spec_.externalNodes != nullptr)
            return spec_.externalNodes->request(static_cast<int>(i), request, std::move(reply));
        if (request.path != wire::pathHeartbeat)
            return node->controller->onRequest(request, std::move(reply));
        return costs_.heartbeats.measure(
            [&] { node->controller->onRequest(request, std::move(reply)); });
    }
    Worker* target = worker(host);
    if (target == nullptr || !target->up || target->terminated) return;
    if (target->hangsUntil > now_) {
        // Executed once the machine no longer hangs, if fencing token and agent epoch still match.
        at(target->hangsUntil,
           [this, from, host, request, reply] { serve(from, host, request, reply); });
        return;
    }
    if (now_ < commandsRepeatedUntil_) repeatCommand(*target, request);
    serveWorker(*target, request, reply);
}

void Simulation::dropDownstream(std::size_t machine, Time length) {
    nth(workers_, machine).downstreamLostUntil = now_ + length;
}

void Simulation::dropUpstream(std::size_t machine, Time length) {
    nth(workers_, machine).upstreamLostUntil = now_ + length;
    checker_.faultsUntil(now_ + length);
}

void Simulation::slowLinks(std::size_t machine, Time most, Time length) {
    Worker& w = nth(workers_, machine);
    w.maxExtraDelay = most;
    w.slowUntil = now_ + length;
    checker_.faultsUntil(w.slowUntil);
}

void Simulation::cutZone(const std::string& zone, Time length, bool delayed) {
    for (const auto& [host, where] : hosts())
        if (where == zone)
            for (const auto& [other, elsewhere] : hosts())
                if (elsewhere != zone) cutLink(host, other, length, delayed);
}

void Simulation::separateZones(const std::string& one, const std::string& other, Time length,
                               bool delayed) {
    for (const auto& [host, where] : hosts())
        if (where == one)
            for (const auto& [peer, elsewhere] : hosts())
                if (elsewhere == other) cutLink(host, peer, length, delayed);
}

void Simulation::cutPeerLinks(Time length) {
    for (const auto& node : nodes_)
        for (const auto& other : nodes_)
            if (node != other) cutLink(node->name, other->name, length, false);
}

void Simulation::isolateFromState(int node, Time length) {
    const auto& name = nodes_[static_cast<std::size_t>(node)]->name;
    cutLink(name, "state", length, false);
    for (const auto& other : nodes_)
        if (other->name != name) cutLink(name, other->name, length, false);
}

std::map<std::string, std::string> Simulation::hosts() const {
    std::map<std::string, std::string> all{
        {"state", ""}, {"cloud", ""}, {"users", ""}};  // regional services: in no zone
    for (const auto& node : nodes_) all[node->name] = node->settings.zone;
    for (const auto& [id, w] : workers_) all[id] = w->zone;
    return all;
}

void Simulation::cutLink(const std::string& one, const std::string& other, Time length,
                         bool delayed) {
    cuts_[std::minmax(one, other)] = {now_ + length, delayed};
    checker_.faultsUntil(now_ + length);
}

}  // namespace fawnwheel::sim
