#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <random>
#include <stdexcept>
#include <utility>

namespace net {

namespace {

const auto began = std::chrono::steady_clock::now();

sockaddr_in parse(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    if (colon == std::string::npos) return result;
    result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

int newSocket() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) throw std::runtime_error("no socket");
    return fd;
}

int boundSocket(std::string& address) {
    const int fd = newSocket();
    sockaddr_in where = parse("127.0.0.1:0");
    socklen_t length = sizeof where;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof where) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&where), &length) != 0)
        throw std::runtime_error("no free port");
    address = "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
    return fd;
}

// The value of a header in `head`, in lower case; empty if there is none.
std::string header(std::string head, const std::string& name) {
    std::transform(head.begin(), head.end(), head.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const auto at = head.find("\r\n" + name + ":");
    if (at == std::string::npos) return {};
    const auto begin = head.find_first_not_of(' ', at + name.size() + 3);
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

double now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
}

// Below the range from which the kernel takes the ports of outgoing connections, so that none of
// them has the port when the caller's program listens there.
std::string freeAddress() {
    static std::mt19937 random{std::random_device{}()};
    for (int tries = 0; tries < 1000; ++tries) {
        const auto port = std::uniform_int_distribution<>(15'000, 31'999)(random);
        const std::string address = "127.0.0.1:" + std::to_string(port);
        const sockaddr_in where = parse(address);
        const int fd = newSocket();
        const bool bound = ::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0;
        ::close(fd);
        if (bound) return address;
    }
    throw std::runtime_error("no free port");
}

struct Net::Connection {
    int fd = -1;
    bool open = true;
    bool connecting = false;
    std::string input;
    std::string output;
    // As a server.
    const Handler* handler = nullptr;
    bool busy = false;
    bool closing = false;
    // As a client.
    Done done;
};

Net::~Net() {
    for (const auto& [fd, handler] : listeners_) ::close(fd);
    for (const auto& [fd, connection] : connections_) ::close(fd);
}

std::string Net::listen(Handler handler) {
    std::string address;
    const int fd = boundSocket(address);
    if (::listen(fd, 1024) != 0) throw std::runtime_error("can't listen");
    listeners_[fd] = std::move(handler);
    return address;
}

void Net::after(double seconds, std::function<void()> action) {
    timers_.emplace(now() + seconds, std::move(action));
}

void Net::call(const std::string& address, const Request& request, double timeout, Done done) {
    auto connection = std::make_shared<Connection>();
    connection->fd = newSocket();
    const int on = 1;
    ::setsockopt(connection->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in where = parse(address);
    connection->connecting = true;
    connection->done = std::move(done);
    connection->output = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + address +
                         "\r\nContent-Type: application/cbor\r\nConnection: close\r\n" +
                         "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" +
                         request.body;
    connections_[connection->fd] = connection;
    if (::connect(connection->fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 &&
        errno != EINPROGRESS) {
        after(0, [this, connection] { end(connection); });
        return;
    }
    after(timeout, [this, connection] { end(connection); });
}

void Net::end(const ConnectionPtr& connection) {
    if (!connection->open) return;
    connection->open = false;
    connections_.erase(connection->fd);
    ::close(connection->fd);
    if (const auto done = std::exchange(connection->done, nullptr)) done(0, {});
}

void Net::serve(const ConnectionPtr& connection) {
    if (connection->busy || !connection->open) return;
    const auto headEnd = connection->input.find("\r\n\r\n");
    if (headEnd == std::string::npos) return;
    const std::string head = connection->input.substr(0, headEnd + 2);
    const auto length =
        static_cast<std::size_t>(std::atoll(header(head, "content-length").c_str()));
    if (connection->input.size() < headEnd + 4 + length) return;
    Request request;
    const auto space = head.find(' ');
    request.method = head.substr(0, space);
    request.path = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
    request.body = connection->input.substr(headEnd + 4, length);
    connection->input.erase(0, headEnd + 4 + length);
    connection->busy = true;
    connection->closing = header(head, "connection") == "close";
    const std::weak_ptr<Connection> weak = connection;
    (*connection->handler)(request, [this, weak](int status, const std::string& body) {
        const auto c = weak.lock();
        if (!c || !c->open || !c->busy) return;
        c->busy = false;
        c->output += "HTTP/1.1 " + std::to_string(status) +
                     " -\r\nContent-Type: application/cbor\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n" +
                     (c->closing ? "Connection: close\r\n" : "") + "\r\n" + body;
        writeTo(c);
        if (c->open) after(0, [this, c] { serve(c); });
    });
}

void Net::receive(const ConnectionPtr& connection) {
    const auto headEnd = connection->input.find("\r\n\r\n");
    if (headEnd == std::string::npos) return;
    const std::string head = connection->input.substr(0, headEnd + 2);
    const auto length =
        static_cast<std::size_t>(std::atoll(header(head, "content-length").c_str()));
    if (connection->input.size() < headEnd + 4 + length) return;
    const int status = std::atoi(head.c_str() + head.find(' ') + 1);
    const std::string body = connection->input.substr(headEnd + 4, length);
    const auto done = std::exchange(connection->done, nullptr);
    end(connection);
    if (done) done(status, body);
}

void Net::readFrom(const ConnectionPtr& connection) {
    std::array<char, 65536> buffer;
    while (connection->open) {
        const auto count = ::recv(connection->fd, buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) break;
        if (count <= 0) return end(connection);
        connection->input.append(buffer.data(), static_cast<std::size_t>(count));
        if (connection->handler != nullptr)
            serve(connection);
        else
            receive(connection);
    }
}

void Net::writeTo(const ConnectionPtr& connection) {
    while (connection->open && !connection->output.empty()) {
        const auto count = ::send(connection->fd, connection->output.data(),
                                  connection->output.size(), MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
        if (count < 0) return end(connection);
        connection->output.erase(0, static_cast<std::size_t>(count));
    }
    if (connection->open && connection->handler != nullptr && connection->closing &&
        !connection->busy && connection->input.empty())
        end(connection);
}

void Net::step() {
    std::vector<pollfd> fds;
    for (const auto& [fd, handler] : listeners_) fds.push_back({fd, POLLIN, 0});
    for (const auto& [fd, c] : connections_) {
        const bool writes = c->connecting || !c->output.empty();
        fds.push_back({fd, static_cast<short>(POLLIN | (writes ? POLLOUT : 0)), 0});
    }
    const double wait = timers_.empty() ? 0.1 : timers_.begin()->first - now();
    ::poll(fds.data(), fds.size(), std::clamp(static_cast<int>(wait * 1000) + 1, 0, 100));
    for (const auto& entry : fds) {
        if (entry.revents == 0) continue;
        if (const auto listener = listeners_.find(entry.fd); listener != listeners_.end()) {
            const int fd = ::accept4(entry.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            auto connection = std::make_shared<Connection>();
            connection->fd = fd;
            connection->handler = &listener->second;
            connections_[fd] = std::move(connection);
            continue;
        }
        const auto found = connections_.find(entry.fd);
        if (found == connections_.end()) continue;
        const auto connection = found->second;
        if ((entry.revents & POLLOUT) != 0) {
            connection->connecting = false;
            writeTo(connection);
        }
        if ((entry.revents & (POLLIN | POLLHUP | POLLERR)) != 0) readFrom(connection);
    }
    const double due = now();
    while (!timers_.empty() && timers_.begin()->first <= due && !stopped_) {
        auto timer = timers_.extract(timers_.begin());
        timer.mapped()();
    }
}

void Net::run() {
    while (!stopped_) step();
}

}  // namespace net
