// HTTP/1.1 client: keeps idle connections per address, one request at a time on each.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "transport/socket.h"

namespace fawnwheel::transport {

class HttpClient {
  public:
    explicit HttpClient(Loop& loop) : loop_(loop) {}

    void call(const std::string& address, HttpRequest request, Duration timeout, HttpDone done);

  private:
    struct Connection;

    std::shared_ptr<Connection> take(const std::string& address);

    Loop& loop_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>> idle_;
};

}  // namespace fawnwheel::transport
