#include "coordination/api/http_router.h"

#include "protocol/cbor.h"
#include "protocol/names.h"

namespace fawnwheel::coordination {

namespace {

namespace wire = protocol::wire;
using transport::HttpReply;
using transport::HttpRequest;
using transport::HttpResponse;

bool isGet(const HttpRequest& request) {
    return request.method == "GET";
}

bool isPost(const HttpRequest& request) {
    return request.method == "POST";
}

HttpResponse methodNotAllowed() {
    return {405, {}, 0};
}

}  // namespace

void HttpRouter::route(const HttpRequest& request, HttpReply reply) {
    const auto path = request.path.substr(0, request.path.find('?'));
    if (path == wire::pathHeartbeat)
        return isPost(request) ? handleHeartbeat(request.body, reply) : reply(methodNotAllowed());
    if (path == wire::pathHealth) {
        const HttpResponse health{membership_.healthy() ? 200 : 503, {}, 0};
        return reply(isGet(request) ? health : methodNotAllowed());
    }
    const std::string jobs = wire::pathJobs;
    if (path == jobs)
        return isPost(request) ? admission_.submit(request.body, reply) : reply(methodNotAllowed());
    if (!path.starts_with(jobs + "/")) return reply({404, {}, 0});
    routeJob(request, path.substr(jobs.size() + 1), std::move(reply));
}

void HttpRouter::routeJob(const HttpRequest& request, std::string id, HttpReply reply) {
    const std::string_view cancel = wire::pathCancel;
    if (id.ends_with(cancel)) {
        id.resize(id.size() - cancel.size());
        return isPost(request) ? admission_.cancel(id, std::move(reply))
                               : reply(methodNotAllowed());
    }
    return isGet(request) ? admission_.getStatus(id, std::move(reply)) : reply(methodNotAllowed());
}

void HttpRouter::handleHeartbeat(const std::string& body, const HttpReply& reply) {
    const auto map = protocol::decodeCbor(body);
    const auto heartbeat = map ? protocol::parseHeartbeat(*map) : std::nullopt;
    if (!heartbeat) return reply({400, {}, 0});
    reachability_.onHeartbeat();
    if (!replica_.synced()) return reply({503, {}, 0});
    auto response = heartbeats_.handleHeartbeat(*heartbeat);
    reply({response.httpStatus(), std::move(response.body), 0});
}

}  // namespace fawnwheel::coordination
