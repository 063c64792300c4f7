#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <deque>

#include "transport/http_client.h"
#include "transport/http_server.h"

namespace fawnwheel::transport {
namespace {

using namespace std::chrono_literals;

// Returns an unused loopback address. With a fixed port, two simultaneous test runs would fail.
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

constexpr auto retryInterval = 20ms;
constexpr int callsPerClient = 3;

// Clients that keep their connections until the server closes them. There are more clients than the
// server allows connections.
class CompetingClients {
  public:
    CompetingClients(Loop& loop, std::string address, std::size_t size)
        : loop_(loop), address_(std::move(address)), responses_(size, 0) {
        for (std::size_t i = 0; i < size; ++i)
            clients_.emplace_back(loop, 1, std::set<std::string>{});
        for (std::size_t i = 0; i < size; ++i) call(i);
    }
    [[nodiscard]] int fewestResponses() const {
        return *std::min_element(responses_.begin(), responses_.end());
    }

  private:
    void call(std::size_t client) {
        clients_[client].call(address_, {"GET", "/" + std::to_string(client), {}}, 1s,
                              [this, client](const std::optional<HttpResponse>& response) {
                                  if (response && response->status == 200) ++responses_[client];
                                  if (fewestResponses() >= callsPerClient) return loop_.stop();
                                  loop_.after(retryInterval, [this, client] { call(client); });
                              });
    }

    Loop& loop_;
    std::string address_;
    std::deque<HttpClient> clients_;
    std::vector<int> responses_;
};

// Clients that keep their connections could occupy all connections of a server, so that the other
// clients are never served. Near its connection limit, the server must close connections.
TEST(Http, EveryClientIsServedNearTheConnectionLimit) {
    Loop loop;
    const auto address = freeAddress();
    const HttpServer server(loop, address, 8, [](const HttpRequest&, const HttpReply& reply) {
        reply({200, {}, 0});
    });
    const CompetingClients clients(loop, address, 40);
    loop.after(10s, [&loop] { loop.stop(); });
    loop.run();
    EXPECT_GE(clients.fewestResponses(), callsPerClient);
}

// Unanswered commands to workers can use up all connections of the client. A call to the state
// service must still get a connection, because that address is exempt from the limit.
TEST(Http, ConnectionLimitDoesNotBlockTheStateService) {
    Loop loop;
    const auto stateAddress = freeAddress();
    const HttpServer server(loop, stateAddress, 8,
                            [](const HttpRequest& request, const HttpReply& reply) {
                                if (request.path == "/state")
                                    reply({200, {}, 0});  // other requests are never answered
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
