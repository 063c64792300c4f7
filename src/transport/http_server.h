/// @file
/// HTTP/1.1 server with keep-alive, limits on body size and connections, and idle timeouts.
/// Pipelined requests are handled one at a time.
#pragma once

#include <memory>
#include <unordered_set>

#include "transport/socket.h"

namespace fawnwheel::transport {

/// Accepts connections and passes each request to the handler. Runs on the loop's thread; the loop
/// must outlive it.
class HttpServer {
  public:
    HttpServer(Loop& loop, const std::string& address, std::size_t maxConnections,
               HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    static constexpr std::size_t maxBodyBytes = std::size_t{64} * 1024;

  private:
    struct Connection;

    // More clients than `maxConnections` may connect, for example all workers while the other nodes
    // are down. Near the limit, each response closes its connection, so that every client gets
    // served.
    [[nodiscard]] bool isNearConnectionLimit() const;
    void acceptAll();
    void closeIdleConnections();

    Loop& loop_;
    Socket listener_;
    std::size_t maxConnections_;
    HttpHandler handler_;
    TimerId idleTimer_ = 0;
    std::unordered_set<std::shared_ptr<Connection>> connections_;
};

}  // namespace fawnwheel::transport
