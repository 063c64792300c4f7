/// @file
/// Client of the cloud API, rate-limited to this node's share of the call limit.
#pragma once

#include <deque>
#include <functional>

#include "protocol/messages.h"
#include "transport/interfaces.h"

namespace fawnwheel::protocol {

/// Outcome of a provisioning call. `unknown` means that no response arrived, so machines may have
/// been started.
enum class ProvisioningResult { provisioned, noCapacity, failed, unknown };

/// Asynchronous client of the cloud API. Calls are queued and sent in order at the given rate.
/// Callbacks run on the event loop; the client must outlive its pending calls.
class CloudClient {
  public:
    CloudClient(transport::Timers& timers, transport::Network& network, std::string address,
                double callsPerSecond);

    /// Reads the machine types on offer; `done` gets none if there is no usable response.
    void catalog(std::function<void(std::optional<std::vector<MachineType>>)> done);
    /// Reads one page of this account's machines, those after the id `after`; `done` gets none if
    /// there is no usable response.
    void list(const std::string& after, std::function<void(std::optional<CloudPage>)> done);
    /// Requests `count` machines; `done` gets the ids of the machines provisioned.
    void provision(const std::string& provisioningRequest, const std::string& type,
                   const std::string& zone, bool spot, int count,
                   std::function<void(ProvisioningResult, std::vector<std::string>)> done);
    /// Releases machines; `done` gets true once the machines and everything on them are removed.
    void release(const std::vector<std::string>& machines, std::function<void(bool)> done);

    /// Number of calls queued and not yet sent.
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }

  private:
    struct Call {
        transport::HttpRequest request;
        transport::HttpDone done;
    };

    void enqueue(transport::HttpRequest request, transport::HttpDone done);
    void sendQueued();

    transport::Timers& timers_;
    transport::Network& network_;
    std::string address_;
    double rate_;
    double tokens_;
    transport::SteadyTime refilledAt_;
    std::deque<Call> queue_;
    bool sending_ = false;
};

}  // namespace fawnwheel::protocol
