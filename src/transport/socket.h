/// @file
/// Non-blocking TCP sockets over IPv4; addresses have the form "ip:port".
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "transport/loop.h"

namespace fawnwheel::transport {

/// Owns the file descriptor of a socket and closes it on destruction.
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

/// Opens a listening socket on the address. Throws std::system_error.
[[nodiscard]] Socket listenOn(const std::string& address);
/// Starts a connection to the address; returns a closed socket on failure.
[[nodiscard]] Socket connectTo(const std::string& address);
/// Accepts the next pending connection; returns a closed socket if there is none.
[[nodiscard]] Socket acceptFrom(const Socket& listener);

/// A connected stream with an output buffer. Owns its socket, and calls back on input and when the
/// peer closes the connection or an error ends it.
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
    void close();  ///< without a callback
    [[nodiscard]] bool open() const { return socket_.open(); }
    [[nodiscard]] std::size_t unsentBytes() const { return output_.size() - sent_; }

  private:
    void onEvents(std::uint32_t events);
    bool flush();
    void updateInterest();
    void closeAndNotify();

    Loop& loop_;
    Socket socket_;
    OnData onData_;
    OnEnd onEnd_;
    std::string output_;
    std::size_t sent_ = 0;
    bool paused_ = false;
    bool closing_ = false;
};

}  // namespace fawnwheel::transport
