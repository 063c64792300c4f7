/// @file
/// One-way messages between the nodes, in frames with a length prefix. Each node keeps one outgoing
/// connection to every peer, and only reads from incoming connections.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_set>

#include "transport/socket.h"

namespace fawnwheel::transport {

/// Sends frames to the peers and receives theirs. Runs on the loop's thread; the loop must outlive
/// it.
class FrameLink {
  public:
    using OnFrame = std::function<void(const std::string& payload)>;

    static constexpr std::size_t maxFrameBytes = std::size_t{64} * 1024;

    FrameLink(Loop& loop, const std::string& address,
              const std::map<std::string, std::string>& peers, OnFrame onFrame);
    ~FrameLink();
    FrameLink(const FrameLink&) = delete;
    FrameLink& operator=(const FrameLink&) = delete;

    /// Sends a frame without a delivery guarantee; frames stay in order while the connection lasts.
    void send(const std::string& peer, const std::string& payload);

  private:
    struct Incoming;
    struct Outgoing {
        std::string address;
        std::shared_ptr<Stream> stream;
        SteadyTime lastOpened{};
        std::size_t lastUnsent = 0;
        SteadyTime lastProgress{};
    };

    void acceptAll();

    Loop& loop_;
    Socket listener_;
    std::map<std::string, Outgoing> peers_;
    OnFrame onFrame_;
    std::unordered_set<std::shared_ptr<Incoming>> incoming_;
};

}  // namespace fawnwheel::transport
