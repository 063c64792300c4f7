// A small HTTP/1.1 server and client on loopback with one poll loop, for the stand-ins of the
// second review. Independent of the project's own transport.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace net {

/// Seconds since the program began.
double now();

struct Request {
    std::string method;
    std::string path;  // with the query
    std::string body;
};
using Reply = std::function<void(int status, std::string body)>;
using Handler = std::function<void(const Request&, Reply)>;
/// Status 0: no response.
using Done = std::function<void(int status, const std::string& body)>;

/// A loopback address with a port that nothing listens on.
std::string freeAddress();

class Net {
  public:
    ~Net();
    /// Listens on a free loopback port and returns its address.
    std::string listen(Handler handler);
    /// One request on a connection of its own.
    void call(const std::string& address, const Request& request, double timeout, Done done);
    void after(double seconds, std::function<void()> action);
    void run();
    void stop() { stopped_ = true; }

  private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    void step();
    void readFrom(const ConnectionPtr& connection);
    void writeTo(const ConnectionPtr& connection);
    void serve(const ConnectionPtr& connection);
    void receive(const ConnectionPtr& connection);
    void end(const ConnectionPtr& connection);

    std::map<int, Handler> listeners_;
    std::map<int, ConnectionPtr> connections_;
    std::multimap<double, std::function<void()>> timers_;
    bool stopped_ = false;
};

}  // namespace net
