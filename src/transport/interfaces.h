/// @file
/// Interfaces of the clock and the network, so that the same code runs on epoll and in the tests'
/// virtual time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace fawnwheel::transport {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using TimerId = std::uint64_t;

/// Clocks and one-shot timers. Actions run on the event loop's thread.
class Timers {
  public:
    virtual ~Timers() = default;
    [[nodiscard]] virtual SteadyTime now() const = 0;
    [[nodiscard]] virtual WallTime wallNow() const = 0;
    /// Runs `action` once after `delay`.
    virtual TimerId after(Duration delay, std::function<void()> action) = 0;
    /// Cancels a timer; no effect if its action has run.
    virtual void cancel(TimerId id) = 0;
};

/// An HTTP request without headers.
struct HttpRequest {
    std::string method;
    std::string path;  ///< including the query
    std::string body;
};

/// An HTTP response; the only header kept is `Retry-After`.
struct HttpResponse {
    int status = 0;
    std::string body;
    int retryAfterSeconds = 0;  ///< 0: no such header
};

/// Callback for a response; empty if none arrived, in which case the request may have been
/// executed.
using HttpDone = std::function<void(std::optional<HttpResponse>)>;
/// Callback that sends a response. A handler calls it exactly once per request, at once or later.
using HttpReply = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

/// Outgoing HTTP calls and peer frames. Not thread-safe; callbacks run on the event loop's thread.
class Network {
  public:
    virtual ~Network() = default;
    /// Sends a request to `address` ("ip:port"); `done` is called exactly once.
    virtual void call(const std::string& address, HttpRequest request, Duration timeout,
                      HttpDone done) = 0;
    /// Sends a one-way frame without a delivery guarantee; frames stay in order while the
    /// connection lasts.
    virtual void sendFrame(const std::string& peer, std::string payload) = 0;
};

}  // namespace fawnwheel::transport
