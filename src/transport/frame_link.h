/// @file
/// Length-framed one-way messages between our own processes. Each process keeps one outgoing
/// connection to every peer and only reads from incoming ones.
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

    static constexpr std::size_t maxFrame = std::size_t{64} * 1024;

    FrameLink(Loop& loop, const std::string& address,
              const std::map<std::string, std::string>& peers, OnFrame onFrame);
    ~FrameLink();
    FrameLink(const FrameLink&) = delete;
    FrameLink& operator=(const FrameLink&) = delete;

    /// Best effort, in order while the connection lasts.
    void send(const std::string& peer, const std::string& payload);

  private:
    struct Incoming;
    struct Outgoing {
        std::string address;
        std::shared_ptr<Stream> stream;
        SteadyTime opened{};
        std::size_t lastUnsent = 0;
        SteadyTime progressed{};
    };

    void acceptAll();

    Loop& loop_;
    Socket listener_;
    std::map<std::string, Outgoing> peers_;
    OnFrame onFrame_;
    std::unordered_set<std::shared_ptr<Incoming>> incoming_;
};

}  // namespace fawnwheel::transport
