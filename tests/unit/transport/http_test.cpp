#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <deque>

#include "transport/http_client.h"
#include "transport/http_server.h"

namespace fawnwheel::transport {
namespace {

using namespace std::chrono_literals;

// An address on loopback that nobody listens on: with a fixed port, two runs side by side failed.
std::string freeAddress() {
    const Socket probe(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof where;
    auto* const address = reinterpret_cast<sockaddr*>(&where);
    if (::bind(probe.fd(), address, size) != 0 || ::getsockname(probe.fd(), address, &size) != 0)
        throw std::system_error(errno, std::generic_category(), "free address");
    return "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
}

constexpr auto retryPause = 20ms;
constexpr int callsEach = 3;

// Workers that keep their connections as long as they are let, more of them than the server has.
class Crowd {
  public:
    Crowd(Loop& loop, std::string address, std::size_t size)
        : loop_(loop), address_(std::move(address)), served_(size, 0) {
        for (std::size_t i = 0; i < size; ++i)
            clients_.emplace_back(loop, 1, std::set<std::string>{});
        for (std::size_t i = 0; i < size; ++i) call(i);
    }
    [[nodiscard]] int leastServed() const {
        return *std::min_element(served_.begin(), served_.end());
    }

  private:
    void call(std::size_t who) {
        clients_[who].call(address_, {"GET", "/" + std::to_string(who), {}}, 1s,
                           [this, who](const std::optional<HttpResponse>& response) {
                               if (response && response->status == 200) ++served_[who];
                               if (leastServed() >= callsEach) return loop_.stop();
                               loop_.after(retryPause, [this, who] { call(who); });
                           });
    }

    Loop& loop_;
    std::string address_;
    std::deque<HttpClient> clients_;
    std::vector<int> served_;
};

TEST(Http, NoClientOfACrowdIsAlwaysShutOut) {
    Loop loop;
    const auto address = freeAddress();
    const HttpServer server(loop, address, 8, [](const HttpRequest&, const HttpReply& reply) {
        reply({200, {}, 0});
    });
    const Crowd crowd(loop, address, 40);
    loop.after(10s, [&loop] { loop.stop(); });
    loop.run();
    EXPECT_GE(crowd.leastServed(), callsEach);
}

TEST(Http, CommandsLeaveTheStateServiceItsConnection) {
    Loop loop;
    const auto stateAddress = freeAddress();
    const HttpServer server(loop, stateAddress, 8,
                            [](const HttpRequest& request, const HttpReply& reply) {
                                if (request.path == "/state")
                                    reply({200, {}, 0});  // others are never answered
                            });
    HttpClient client(loop, 2, {stateAddress});
    HttpClient bounded(loop, 2, {});
    int refused = 0;
    for (int i = 0; i < 3; ++i)
        bounded.call(stateAddress, {"GET", "/order", {}}, 5s,
                     [&refused](const std::optional<HttpResponse>& r) { refused += r ? 0 : 1; });
    int status = 0;
    for (int i = 0; i < 3; ++i)
        client.call(stateAddress, {"GET", i < 2 ? "/order" : "/state", {}}, 5s,
                    [&](const std::optional<HttpResponse>& r) {
                        if (r) status = r->status;
                        if (status != 0) loop.stop();
                    });
    loop.after(10s, [&loop] { loop.stop(); });
    loop.run();
    EXPECT_EQ(status, 200);
    EXPECT_EQ(refused, 1);
}

}  // namespace
}  // namespace fawnwheel::transport
