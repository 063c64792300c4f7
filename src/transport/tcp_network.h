/// @file
/// The `Network` implementation of the daemon: HTTP client and peer link on the epoll loop.
#pragma once

#include "transport/frame_link.h"
#include "transport/http_client.h"

namespace fawnwheel::transport {

/// Network over TCP; the loop must outlive it.
class TcpNetwork final : public Network {
  public:
    TcpNetwork(Loop& loop, HttpClient client, const std::string& peerAddress,
               const std::map<std::string, std::string>& peers, FrameLink::OnFrame onFrame)
        : client_(std::move(client)), link_(loop, peerAddress, peers, std::move(onFrame)) {}

    void call(const std::string& address, HttpRequest request, Duration timeout,
              HttpDone done) override {
        client_.call(address, request, timeout, std::move(done));
    }
    void sendFrame(const std::string& peer, std::string payload) override {
        link_.send(peer, payload);
    }

  private:
    HttpClient client_;
    FrameLink link_;
};

}  // namespace fawnwheel::transport
