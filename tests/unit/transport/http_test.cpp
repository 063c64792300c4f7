#include <gtest/gtest.h>

#include <deque>

#include "transport/http_client.h"
#include "transport/http_server.h"

namespace fawnwheel::transport {
namespace {

using namespace std::chrono_literals;

const std::string crowdAddress = "127.0.0.1:38217";
const std::string stateAddress = "127.0.0.1:38218";  // tests may run side by side
constexpr auto retryPause = 20ms;
constexpr int callsEach = 3;

// Workers that keep their connections as long as they are let, more of them than the server has.
class Crowd {
  public:
    Crowd(Loop& loop, std::size_t size) : loop_(loop), served_(size, 0) {
        for (std::size_t i = 0; i < size; ++i)
            clients_.emplace_back(loop, 1, std::set<std::string>{});
        for (std::size_t i = 0; i < size; ++i) call(i);
    }
    [[nodiscard]] int leastServed() const {
        return *std::min_element(served_.begin(), served_.end());
    }

  private:
    void call(std::size_t who) {
        clients_[who].call(crowdAddress, {"GET", "/" + std::to_string(who), {}}, 1s,
                           [this, who](const std::optional<HttpResponse>& response) {
                               if (response && response->status == 200) ++served_[who];
                               if (leastServed() >= callsEach) return loop_.stop();
                               loop_.after(retryPause, [this, who] { call(who); });
                           });
    }

    Loop& loop_;
    std::deque<HttpClient> clients_;
    std::vector<int> served_;
};

TEST(Http, NoClientOfACrowdIsAlwaysShutOut) {
    Loop loop;
    const HttpServer server(loop, crowdAddress, 8, [](const HttpRequest&, const HttpReply& reply) {
        reply({200, {}, 0});
    });
    const Crowd crowd(loop, 40);
    loop.after(10s, [&loop] { loop.stop(); });
    loop.run();
    EXPECT_GE(crowd.leastServed(), callsEach);
}

TEST(Http, OrdersLeaveTheStateServiceItsConnection) {
    Loop loop;
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
