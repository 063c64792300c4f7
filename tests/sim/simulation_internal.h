// Shared by the simulation's source files: the actual state of nodes, workers and tasks, and the
// timers and network of the simulated nodes.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/names.h"
#include "sim/simulation.h"

namespace fawnwheel::sim {

namespace wire = protocol::wire;
using protocol::Json;
using transport::HttpDone;
using transport::HttpReply;
using transport::HttpRequest;
using transport::HttpResponse;

inline constexpr Time gangWait{20.0};
inline constexpr Time gangPeer{4.0};

inline transport::Duration toSteady(Time t) {
    return std::chrono::duration_cast<transport::Duration>(t);
}

inline HttpResponse answer(int status, const Json& body = Json::object()) {
    return {status, protocol::encodeCbor(body), 0};
}

// Parses the query parameters of a request path.
std::map<std::string, std::string> queryOf(const std::string& path);

template <typename Map>
auto& nth(Map& map, std::size_t index) {
    return *std::next(map.begin(), static_cast<std::ptrdiff_t>(index))->second;
}

// Timers and network of one run of a node, from start to kill: callbacks that an earlier run
// scheduled never fire.
class NodeClock final : public transport::Timers {
  public:
    NodeClock(Simulation& simulation, std::shared_ptr<bool> alive)
        : simulation_(simulation), alive_(std::move(alive)) {}
    [[nodiscard]] transport::SteadyTime now() const override {
        return transport::SteadyTime(toSteady(simulation_.now_ + Time(1000)));
    }
    [[nodiscard]] transport::WallTime wallNow() const override {
        return transport::WallTime(std::chrono::duration_cast<transport::WallTime::duration>(
            simulation_.now_ + Time(1e9)));
    }
    transport::TimerId after(transport::Duration delay, std::function<void()> action) override {
        const auto id = next_++;
        auto pending = std::make_shared<bool>(true);
        pending_[id] = pending;
        simulation_.at(simulation_.now_ + std::max(Time(delay), Time(0)),
                       [this, id, pending, alive = alive_, action = std::move(action)] {
                           if (!*alive || !*pending) return;
                           pending_.erase(id);
                           simulation_.costs_.steps.measure(action);
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
    Simulation& simulation_;
    std::shared_ptr<bool> alive_;
    transport::TimerId next_ = 1;
    std::map<transport::TimerId, std::shared_ptr<bool>> pending_;
};

class NodeNetwork final : public transport::Network {
  public:
    NodeNetwork(Simulation& simulation, std::string host, std::shared_ptr<bool> alive)
        : simulation_(simulation), host_(std::move(host)), alive_(std::move(alive)) {}
    void call(const std::string& address, HttpRequest request, transport::Duration timeout,
              HttpDone done) override {
        simulation_.request(
            host_, address, std::move(request), Time(timeout),
            [alive = alive_, done = std::move(done)](std::optional<HttpResponse> r) {
                if (*alive) done(std::move(r));
            });
    }
    void sendFrame(const std::string& peer, std::string payload) override;

  private:
    Simulation& simulation_;
    std::string host_;
    std::shared_ptr<bool> alive_;
};

struct Simulation::Node {
    std::string name;
    config::Settings settings;
    config::OperatorSettings operatorSettings;
    bool oldVersion = false;
    std::shared_ptr<bool> alive;
    std::unique_ptr<NodeClock> clock;
    std::unique_ptr<NodeNetwork> network;
    std::unique_ptr<coordination::Controller> controller;
    // Of earlier runs of the node; kept until the simulation ends.
    std::vector<std::unique_ptr<coordination::Controller>> stoppedControllers;
    std::vector<std::unique_ptr<NodeClock>> stoppedClocks;
    std::vector<std::unique_ptr<NodeNetwork>> stoppedNetworks;
};

struct Simulation::Task {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    std::string state = wire::stateFetching;
    std::string cause;
    bool kept = false;
    Time imageReadyAt{};
    Time waitingSince{};
    Time progress{};
    std::optional<Time> saveEndsAt;
    std::optional<Time> peerLossDeadline;
    bool placed = false;  // the image is fetched: the task counts as being on the machine
};

struct Simulation::Worker {
    std::string id;
    std::string type;
    std::string zone;
    bool spot = false;
    bool up = false;
    bool terminated = false;
    bool faulty = false;
    Time provisionedAt{};
    Time hangsUntil{};
    Time downstreamLostUntil{};
    Time upstreamLostUntil{};
    Time slowUntil{};
    Time maxExtraDelay{};
    std::optional<Time> interruptionAt;
    std::uint64_t agentEpoch = 1;
    std::uint64_t sequence = 0;
    std::uint64_t fencingToken = 0;
    Time leaseRenewedAt{};
    int node = 0;
    bool heartbeatInFlight = false;
    std::uint64_t heartbeatNumber = 0;
    Time lastHeartbeat{-10};
    Time fencingTokenReportedAt{-1000};
    bool heartbeatScheduled = false;
    std::vector<std::string> images;
    std::vector<Task> tasks;
    // The last heartbeat that showed an exited task, by the cause of the exit, with its sequence.
    std::map<std::string, std::pair<std::uint64_t, HttpRequest>> exitHeartbeats;
    // The last direct command that starts the task, by task.
    std::map<std::string, HttpRequest> directStarts;
    std::optional<Time> answeredAt;
    // How long the link to a node is cut after its next accepted response.
    std::map<std::string, Time> cutsAfterResponse;
    // When the machine's record was last transferred to another partition, until a response of that
    // partition is accepted, and the lowest fencing token of its responses.
    std::optional<Time> transferredAt;
    std::uint64_t transferredFloor = 0;
};

}  // namespace fawnwheel::sim
