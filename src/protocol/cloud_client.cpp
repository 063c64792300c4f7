#include "protocol/cloud_client.h"

#include <algorithm>

#include "protocol/names.h"

namespace fawnwheel::protocol {

namespace {

using namespace std::chrono_literals;

constexpr auto callTimeout = 5s;
constexpr auto sendRetryInterval = 50ms;
constexpr double burstSeconds = 2;  // the cloud allows a burst of this many seconds' calls
constexpr int listPageSize = 500;

std::optional<Json> bodyIfOk(const std::optional<transport::HttpResponse>& response) {
    if (!response || response->status != 200) return std::nullopt;
    return decodeCbor(response->body, TextEncoding::any);
}

std::vector<std::string> machineIds(const Json& answer) {
    std::vector<std::string> ids;
    for (const auto& id : listOf(answer, wire::machines))
        if (id.is_string()) ids.push_back(id.get<std::string>());
    return ids;
}

bool isCapacityError(const Json& answer) {
    return textOf(answer, "error") == "no capacity";
}

}  // namespace

CloudClient::CloudClient(transport::Timers& timers, transport::Network& network,
                         std::string address, double callsPerSecond)
    : timers_(timers),
      network_(network),
      address_(std::move(address)),
      rate_(callsPerSecond),
      tokens_(std::max(1.0, burstSeconds * callsPerSecond)),
      refilledAt_(timers.now()) {}

void CloudClient::enqueue(transport::HttpRequest request, transport::HttpDone done) {
    queue_.push_back({std::move(request), std::move(done)});
    if (!sending_) sendQueued();
}

void CloudClient::sendQueued() {
    sending_ = true;
    const auto now = timers_.now();
    tokens_ = std::min(tokens_ + Seconds(now - refilledAt_).count() * rate_,
                       std::max(1.0, burstSeconds * rate_));
    refilledAt_ = now;
    while (!queue_.empty() && tokens_ >= 1) {
        tokens_ -= 1;
        Call call = std::move(queue_.front());
        queue_.pop_front();
        network_.call(address_, std::move(call.request), callTimeout, std::move(call.done));
    }
    sending_ = !queue_.empty();
    if (sending_) timers_.after(sendRetryInterval, [this] { sendQueued(); });
}

void CloudClient::catalog(std::function<void(std::optional<std::vector<MachineType>>)> done) {
    enqueue({"GET", wire::pathCatalog, {}},
            [done = std::move(done)](const std::optional<transport::HttpResponse>& response) {
                const auto body = bodyIfOk(response);
                if (!body) return done(std::nullopt);
                done(parseCatalog(*body));
            });
}

void CloudClient::list(const std::string& after,
                       std::function<void(std::optional<CloudPage>)> done) {
    std::string path = std::string(wire::pathMachines) + "?" + wire::queryLimit + "=" +
                       std::to_string(listPageSize);
    if (!after.empty()) path += std::string("&") + wire::querySince + "=" + after;
    enqueue({"GET", std::move(path), {}},
            [done = std::move(done)](const std::optional<transport::HttpResponse>& response) {
                const auto body = bodyIfOk(response);
                if (!body) return done(std::nullopt);
                done(parseCloudPage(*body));
            });
}

void CloudClient::provision(
    const std::string& provisioningRequest, const std::string& type, const std::string& zone,
    bool spot, int count, std::function<void(ProvisioningResult, std::vector<std::string>)> done) {
    const Json body{{wire::provisioningRequest, provisioningRequest},
                    {wire::type, type},
                    {wire::zone, zone},
                    {wire::spot, spot},
                    {wire::count, count}};
    enqueue({"POST", wire::pathMachines, encodeCbor(body)},
            [done = std::move(done)](const std::optional<transport::HttpResponse>& response) {
                if (!response) return done(ProvisioningResult::unknown, {});
                const auto answer = decodeCbor(response->body, TextEncoding::any);
                if (response->status == 200 && answer)
                    return done(ProvisioningResult::provisioned, machineIds(*answer));
                const bool full = response->status == 503 && answer && isCapacityError(*answer);
                done(full ? ProvisioningResult::noCapacity : ProvisioningResult::failed, {});
            });
}

void CloudClient::release(const std::vector<std::string>& machines,
                          std::function<void(bool)> done) {
    enqueue({"POST", wire::pathReleaseMachines, encodeCbor({{wire::machines, machines}})},
            [done = std::move(done)](std::optional<transport::HttpResponse> response) {
                done(response && response->status == 200);
            });
}

}  // namespace fawnwheel::protocol
