// Client of the cloud, paced to this node's share of the call limit.
#pragma once

#include <deque>
#include <functional>

#include "protocol/messages.h"
#include "transport/interfaces.h"

namespace fawnwheel::protocol {

enum class ProvisioningResult { provisioned, noCapacity, failed, unknown };

class CloudClient {
  public:
    CloudClient(transport::Timers& timers, transport::Network& network, std::string address,
                double callsPerSecond);

    // Empty: no answer to build on.
    void catalog(std::function<void(std::optional<std::vector<MachineType>>)> done);
    void list(const std::string& after, std::function<void(std::optional<CloudPage>)> done);
    void provision(const std::string& provisioningRequest, const std::string& type,
                   const std::string& zone, bool spot, int count,
                   std::function<void(ProvisioningResult, std::vector<std::string>)> done);
    // True: the machines and all on them are gone.
    void release(const std::vector<std::string>& machines, std::function<void(bool)> done);

    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }

  private:
    struct Call {
        transport::HttpRequest request;
        transport::HttpDone done;
    };

    void enqueue(transport::HttpRequest request, transport::HttpDone done);
    void pump();

    transport::Timers& timers_;
    transport::Network& network_;
    std::string address_;
    double rate_;
    double tokens_;
    transport::SteadyTime filled_;
    std::deque<Call> queue_;
    bool pumping_ = false;
};

}  // namespace fawnwheel::protocol
