/// @file
/// Non-blocking TCP sockets over IPv4, addressed by "ip:port".
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "transport/loop.h"

namespace fawnwheel::transport {

/// Owning file descriptor of a socket; closed on destruction.
class Socket {
  public:
    explicit Socket(int fd = -1) : fd_(fd) {}
    ~Socket() { close(); }
    Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Socket& operator=(Socket&& other) noexcept;
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;

    [[nodiscard]] int fd() const { return fd_; }
    [[nodiscard]] bool open() const { return fd_ >= 0; }
    void close();

  private:
    int fd_;
};

/// Listening socket on the address. Throws std::system_error.
[[nodiscard]] Socket listenOn(const std::string& address);
/// Socket whose connection is in progress; closed on failure.
[[nodiscard]] Socket connectTo(const std::string& address);
/// The next waiting connection; a closed socket if there is none.
[[nodiscard]] Socket acceptFrom(const Socket& listener);

/// A connected stream with an output buffer. Owns its socket; calls back on input and on its end.
class Stream : public std::enable_shared_from_this<Stream> {
  public:
    using OnData = std::function<void(std::string_view)>;
    using OnEnd = std::function<void()>;

    Stream(Loop& loop, Socket socket) : loop_(loop), socket_(std::move(socket)) {}
    ~Stream() { close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void start(OnData onData, OnEnd onEnd);
    void write(std::string_view bytes);
    void pauseReading(bool paused);
    void closeWhenWritten();
    void close();  ///< without calling back
    [[nodiscard]] bool open() const { return socket_.open(); }
    [[nodiscard]] std::size_t unsent() const { return out_.size() - sent_; }

  private:
    void onEvents(std::uint32_t events);
    bool flush();
    void updateInterest();
    void end();

    Loop& loop_;
    Socket socket_;
    OnData onData_;
    OnEnd onEnd_;
    std::string out_;
    std::size_t sent_ = 0;
    bool paused_ = false;
    bool closing_ = false;
};

}  // namespace fawnwheel::transport
