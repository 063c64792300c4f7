/// @file
/// The event loop: epoll for sockets, an ordered map for timers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "transport/interfaces.h"

namespace fawnwheel::transport {

/// Single-threaded event loop: all methods and callbacks run on the thread that calls `run`.
class Loop final : public Timers {
  public:
    using IoAction = std::function<void(std::uint32_t events)>;

    Loop();
    ~Loop() override;
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    [[nodiscard]] SteadyTime now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] WallTime wallNow() const override { return std::chrono::system_clock::now(); }
    TimerId after(Duration delay, std::function<void()> action) override;
    void cancel(TimerId id) override;

    /// Calls `action` on the epoll `events` of the descriptor until `unwatch`. The loop does not
    /// own the descriptor.
    void watch(int fd, std::uint32_t events, IoAction action);
    /// Replaces the watched events of the descriptor.
    void change(int fd, std::uint32_t events);
    void unwatch(int fd);

    void run();  ///< returns after `stop`
    void stop() { stopped_ = true; }

  private:
    struct Watch {
        std::uint32_t generation = 0;
        std::uint32_t events = 0;
        std::shared_ptr<IoAction> action;
    };

    void runTimers();
    [[nodiscard]] int waitMillis() const;

    int epoll_ = -1;
    bool stopped_ = false;
    TimerId nextTimer_ = 1;
    std::uint32_t nextGeneration_ = 1;
    std::map<std::pair<SteadyTime, TimerId>, std::function<void()>> timers_;
    std::unordered_map<TimerId, SteadyTime> dueTimes_;
    std::unordered_map<int, Watch> watches_;
};

}  // namespace fawnwheel::transport
