#include "transport/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <optional>
#include <system_error>

namespace fawnwheel::transport {

namespace {

// All workers may connect to one node at the same time. The kernel applies its own limit as well.
constexpr int backlog = 4096;

std::optional<sockaddr_in> parse(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    sockaddr_in result{};
    result.sin_family = AF_INET;
    std::uint16_t port = 0;
    const char* last = address.data() + address.size();
    const auto [end, error] = std::from_chars(address.data() + colon + 1, last, port);
    if (error != std::errc{} || end != last) return std::nullopt;
    result.sin_port = htons(port);
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1)
        return std::nullopt;
    return result;
}

void disableNagle(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
    if (this != &other) {
        close();
        fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
}

void Socket::close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

Socket listenOn(const std::string& address) {
    const auto where = parse(address);
    if (!where) throw std::system_error(EINVAL, std::generic_category(), "address " + address);
    Socket result(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(result.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!result.open() ||
        bind(result.fd(), reinterpret_cast<const sockaddr*>(&*where), sizeof *where) != 0 ||
        listen(result.fd(), backlog) != 0)
        throw std::system_error(errno, std::generic_category(), "listen on " + address);
    return result;
}

Socket connectTo(const std::string& address) {
    const auto where = parse(address);
    if (!where) return Socket();
    Socket result(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!result.open()) return result;
    disableNagle(result.fd());
    if (connect(result.fd(), reinterpret_cast<const sockaddr*>(&*where), sizeof *where) != 0 &&
        errno != EINPROGRESS)
        result.close();
    return result;
}

Socket acceptFrom(const Socket& listener) {
    Socket result(accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (result.open()) disableNagle(result.fd());
    return result;
}

void Stream::start(OnData onData, OnEnd onEnd) {
    onData_ = std::move(onData);
    onEnd_ = std::move(onEnd);
    const std::weak_ptr<Stream> weak = weak_from_this();
    loop_.watch(socket_.fd(), EPOLLIN | EPOLLOUT, [weak](std::uint32_t events) {
        if (const auto self = weak.lock()) self->onEvents(events);
    });
}

void Stream::write(std::string_view bytes) {
    if (!open()) return;
    output_.append(bytes);
    updateInterest();
}

void Stream::pauseReading(bool paused) {
    paused_ = paused;
    if (open()) updateInterest();
}

void Stream::closeWhenWritten() {
    closing_ = true;
    if (open()) updateInterest();
}

void Stream::close() {
    if (!open()) return;
    loop_.unwatch(socket_.fd());
    socket_.close();
}

void Stream::closeAndNotify() {
    close();
    if (const auto onEnd = std::exchange(onEnd_, nullptr)) onEnd();
}

void Stream::updateInterest() {
    std::uint32_t events = paused_ ? 0U : static_cast<std::uint32_t>(EPOLLIN);
    if (unsentBytes() > 0 || closing_) events |= EPOLLOUT;
    loop_.change(socket_.fd(), events);
}

bool Stream::flush() {
    while (unsentBytes() > 0) {
        const auto count = send(socket_.fd(), output_.data() + sent_, unsentBytes(), MSG_NOSIGNAL);
        if (count < 0) return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
        sent_ += static_cast<std::size_t>(count);
    }
    output_.clear();
    sent_ = 0;
    return !closing_;
}

void Stream::onEvents(std::uint32_t events) {
    const auto keep = shared_from_this();
    if ((events & EPOLLERR) != 0) return closeAndNotify();
    if ((events & EPOLLOUT) != 0) {
        if (!flush()) return closeAndNotify();
        updateInterest();
    }
    if ((events & (EPOLLIN | EPOLLHUP)) == 0) return;
    std::array<char, 16384> buffer;
    while (open() && !paused_) {
        const auto count = recv(socket_.fd(), buffer.data(), buffer.size(), 0);
        if (count == 0) return closeAndNotify();
        if (count < 0) {
            if (errno != EAGAIN && errno != EINTR) closeAndNotify();
            return;
        }
        onData_({buffer.data(), static_cast<std::size_t>(count)});
        if (static_cast<std::size_t>(count) < buffer.size()) return;
    }
    if (open() && paused_ && (events & EPOLLHUP) != 0) closeAndNotify();
}

}  // namespace fawnwheel::transport
