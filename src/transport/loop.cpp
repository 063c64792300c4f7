#include "transport/loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace fawnwheel::transport {

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
    if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Loop::~Loop() {
    ::close(epoll_);
}

TimerId Loop::after(Duration delay, std::function<void()> action) {
    const TimerId id = nextTimer_++;
    const SteadyTime at = now() + std::max(delay, Duration::zero());
    timers_.emplace(std::pair{at, id}, std::move(action));
    dueTimes_.emplace(id, at);
    return id;
}

void Loop::cancel(TimerId id) {
    const auto found = dueTimes_.find(id);
    if (found == dueTimes_.end()) return;
    timers_.erase({found->second, id});
    dueTimes_.erase(found);
}

void Loop::watch(int fd, std::uint32_t events, IoAction action) {
    Watch entry{nextGeneration_++, events, std::make_shared<IoAction>(std::move(action))};
    epoll_event event{};
    event.events = events;
    event.data.u64 = (std::uint64_t{entry.generation} << 32) | static_cast<std::uint32_t>(fd);
    if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0)
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
    watches_[fd] = std::move(entry);
}

void Loop::change(int fd, std::uint32_t events) {
    const auto found = watches_.find(fd);
    if (found == watches_.end() || found->second.events == events) return;
    found->second.events = events;
    epoll_event event{};
    event.events = events;
    event.data.u64 =
        (std::uint64_t{found->second.generation} << 32) | static_cast<std::uint32_t>(fd);
    epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
}

void Loop::unwatch(int fd) {
    if (watches_.erase(fd) > 0) epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}

int Loop::waitMillis() const {
    if (timers_.empty()) return 1000;
    const auto left = timers_.begin()->first.first - now();
    if (left <= Duration::zero()) return 0;
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    return static_cast<int>(std::min<std::int64_t>(millis, 1000));
}

void Loop::runTimers() {
    // Runs only the timers due on entry, so that an action that restarts its timer with no delay
    // cannot starve the sockets.
    const SteadyTime limit = now();
    while (!timers_.empty() && timers_.begin()->first.first <= limit && !stopped_) {
        auto node = timers_.extract(timers_.begin());
        dueTimes_.erase(node.key().second);
        node.mapped()();
    }
}

void Loop::run() {
    std::array<epoll_event, 64> events{};
    while (!stopped_) {
        const int count = epoll_wait(epoll_, events.data(), events.size(), waitMillis());
        if (count < 0 && errno != EINTR)
            throw std::system_error(errno, std::generic_category(), "epoll_wait");
        for (int i = 0; i < count && !stopped_; ++i) {
            const auto& event = events[static_cast<std::size_t>(i)];
            const int fd = static_cast<int>(event.data.u64 & 0xffffffffU);
            const auto found = watches_.find(fd);
            // An earlier event of this round may have closed the descriptor and reused its number.
            if (found == watches_.end() || found->second.generation != event.data.u64 >> 32)
                continue;
            const auto action = found->second.action;
            (*action)(event.events);
        }
        runTimers();
    }
}

}  // namespace fawnwheel::transport
