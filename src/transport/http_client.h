/// @file
/// HTTP/1.1 client. Keeps idle connections per address; each connection has one request at a time.
#pragma once

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "transport/socket.h"

namespace fawnwheel::transport {

/// Asynchronous HTTP client. Runs on the loop's thread; the loop must outlive it.
class HttpClient {
  public:
    /// `maxConnections` does not apply to calls to the addresses in `unboundedAddresses`.
    HttpClient(Loop& loop, std::size_t maxConnections, std::set<std::string> unboundedAddresses)
        : loop_(loop),
          maxConnections_(maxConnections),
          unboundedAddresses_(std::move(unboundedAddresses)) {}

    /// Sends a request. `done` is called exactly once, without a response if the call fails or none
    /// arrives within `timeout`.
    void call(const std::string& address, const HttpRequest& request, Duration timeout,
              HttpDone done);

  private:
    struct Connection;

    std::shared_ptr<Connection> acquireConnection(const std::string& address);
    bool evictIdleConnection();

    Loop& loop_;
    std::size_t maxConnections_;
    std::set<std::string> unboundedAddresses_;
    std::shared_ptr<std::size_t> openConnections_ = std::make_shared<std::size_t>(0);
    std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>> idle_;
};

}  // namespace fawnwheel::transport
