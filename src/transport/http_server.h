/// @file
/// HTTP/1.1 server: keep-alive, no pipelining, bounded bodies and connections, idle time-outs.
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

    static constexpr std::size_t maxBody = std::size_t{64} * 1024;

  private:
    struct Connection;

    // More clients than connections may come, say every worker's of a fleet whose other nodes are
    // gone. When most are taken, each answer ends its connection, so that all get their turn.
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
