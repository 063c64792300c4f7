// The simulated cloud API.
#include <algorithm>

#include "sim/simulation_internal.h"

namespace fawnwheel::sim {

void Simulation::cloudOutage(Time length) {
    cloudOutageUntil_ = now_ + length;
    checker_.faultsUntil(cloudOutageUntil_);
}

void Simulation::serveCloud(const HttpRequest& request, const HttpReply& reply) {
    if (now_ < cloudOutageUntil_) return reply(answer(503, {{"error", "trouble"}}));
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
    if (path == wire::pathReleaseMachines) {
        for (const auto& name : protocol::listOf(*body, wire::machines)) {
            Worker* target = worker(name.get<std::string>());
            if (target == nullptr || target->terminated) continue;
            killAllTasks(*target);
            target->terminated = true;
        }
        return reply(answer(200));
    }
    if (request.method == "POST") {
        const auto name = protocol::textOf(*body, wire::provisioningRequest);
        const auto known = provisioningRequests_.find(name);
        if (known != provisioningRequests_.end())
            return reply(answer(200, {{wire::machines, known->second}}));
        const auto type = protocol::textOf(*body, wire::type);
        const auto zone = protocol::textOf(*body, wire::zone);
        const bool spot = protocol::flagOf(*body, wire::spot);
        const auto found = std::find_if(spec_.types.begin(), spec_.types.end(),
                                        [&](const auto& t) { return t.type.name == type; });
        auto room = spot ? found->spotCapacity : found->capacity;
        for (const auto& [id, w] : workers_)
            if (!w->terminated && w->type == type && w->zone == zone && w->spot == spot) --room;
        const auto count = std::min(room, static_cast<int>(protocol::countOf(*body, wire::count)));
        if (count <= 0) return reply(answer(503, {{"error", "no capacity"}}));
        auto& names = provisioningRequests_[name];
        for (int i = 0; i < count; ++i) {
            addMachine(type, zone, spot);
            names.push_back(workers_.rbegin()->first);
        }
        return reply(answer(200, {{wire::machines, names}}));
    }
    if (now_ < listsBrokenUntil_)
        return reply(answer(200, {{wire::machines, Json::array()}, {wire::more, true}}));
    // A list shows the machines as of one to two list lags ago.
    const auto moment = now_ - spec_.listLag * std::uniform_real_distribution<>(1.0, 2.0)(rng_);
    // Pages are in order of machine names.
    const auto query = queryOf(request.path);
    const auto since = query.contains(wire::querySince) ? query.at(wire::querySince) : "";
    const auto most = std::stoul(query.at(wire::queryLimit));
    Json machines = Json::array();
    bool more = false;
    for (auto at = workers_.upper_bound(since); at != workers_.end(); ++at) {
        const auto& [id, w] = *at;
        if (w->provisionedAt > moment || w->terminated) continue;
        more = machines.size() == most;
        if (more) break;
        machines.push_back(
            {{wire::id, id},
             {wire::address,
              spec_.externalNodes != nullptr ? spec_.externalNodes->addressOf(id) : id},
             {wire::type, w->type},
             {wire::zone, w->zone},
             {wire::spot, w->spot},
             {wire::state, w->up ? wire::stateRunning : wire::stateBooting},
             {wire::age, (moment - w->provisionedAt).count()}});
    }
    reply(answer(200, {{wire::machines, machines}, {wire::more, more}}));
}

}  // namespace fawnwheel::sim
