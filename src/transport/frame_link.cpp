#include "transport/frame_link.h"

#include <sys/epoll.h>

namespace fawnwheel::transport {

namespace {

using namespace std::chrono_literals;

constexpr auto reconnectInterval = 500ms;
// A silently cut connection reports no error, so a connection that has had unsent data for this
// long is replaced.
constexpr auto stalledConnectionTimeout = 10s;
constexpr std::size_t maxIncomingConnections = 32;
constexpr std::size_t lengthPrefixBytes = 4;

std::string encodeFrame(const std::string& payload) {
    std::string out;
    const auto length = static_cast<std::uint32_t>(payload.size());
    for (std::size_t i = 0; i < lengthPrefixBytes; ++i)
        out.push_back(static_cast<char>((length >> (8 * i)) & 0xff));
    return out + payload;
}

}  // namespace

struct FrameLink::Incoming {
    std::shared_ptr<Stream> stream;
    std::string input;

    // False if the peer sends a frame that exceeds `maxFrameBytes`.
    bool consume(std::string_view data, const OnFrame& onFrame) {
        input.append(data);
        std::size_t at = 0;
        while (input.size() - at >= lengthPrefixBytes) {
            std::size_t length = 0;
            for (std::size_t i = 0; i < lengthPrefixBytes; ++i)
                length |= std::size_t{static_cast<unsigned char>(input[at + i])} << (8 * i);
            if (length > maxFrameBytes) return false;
            if (input.size() - at - lengthPrefixBytes < length) break;
            onFrame(input.substr(at + lengthPrefixBytes, length));
            at += lengthPrefixBytes + length;
        }
        input.erase(0, at);
        return true;
    }
};

FrameLink::FrameLink(Loop& loop, const std::string& address,
                     const std::map<std::string, std::string>& peers, OnFrame onFrame)
    : loop_(loop), listener_(listenOn(address)), onFrame_(std::move(onFrame)) {
    for (const auto& [name, where] : peers) peers_[name].address = where;
    loop_.watch(listener_.fd(), EPOLLIN, [this](std::uint32_t) { acceptAll(); });
}

FrameLink::~FrameLink() {
    loop_.unwatch(listener_.fd());
}

void FrameLink::acceptAll() {
    while (true) {
        Socket socket = acceptFrom(listener_);
        if (!socket.open()) return;
        if (incoming_.size() >= maxIncomingConnections) incoming_.erase(incoming_.begin());
        auto connection = std::make_shared<Incoming>();
        connection->stream = std::make_shared<Stream>(loop_, std::move(socket));
        incoming_.insert(connection);
        const std::weak_ptr<Incoming> weak = connection;
        connection->stream->start(
            [this, weak](std::string_view data) {
                const auto c = weak.lock();
                if (c && !c->consume(data, onFrame_)) incoming_.erase(c);
            },
            [this, weak] {
                if (const auto c = weak.lock()) incoming_.erase(c);
            });
    }
}

void FrameLink::send(const std::string& peer, const std::string& payload) {
    const auto found = peers_.find(peer);
    if (found == peers_.end() || payload.size() > maxFrameBytes) return;
    Outgoing& out = found->second;
    const auto now = loop_.now();
    if (out.stream && out.stream->open()) {
        if (out.stream->unsentBytes() == 0) out.lastProgress = now;
        if (now - out.lastProgress > stalledConnectionTimeout ||
            out.stream->unsentBytes() > 4 * maxFrameBytes)
            out.stream->close();
    }
    if (!out.stream || !out.stream->open()) {
        if (now - out.lastOpened < reconnectInterval) return;
        out.lastOpened = out.lastProgress = now;
        Socket socket = connectTo(out.address);
        if (!socket.open()) return;
        out.stream = std::make_shared<Stream>(loop_, std::move(socket));
        out.stream->start([](std::string_view) {}, [] {});
    }
    out.stream->write(encodeFrame(payload));
}

}  // namespace fawnwheel::transport
