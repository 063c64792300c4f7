#include "transport/http_client.h"

#include <http_parser.h>

#include <cstdlib>

namespace fawnwheel::transport {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxIdlePerAddress = 8;
constexpr auto idleTimeout = 20s;

}  // namespace

struct HttpClient::Connection : std::enable_shared_from_this<Connection> {
    Connection(HttpClient& httpClient, std::string where, Socket socket)
        : client(&httpClient),
          openConnections(httpClient.openConnections_),
          address(std::move(where)),
          stream(std::make_shared<Stream>(httpClient.loop_, std::move(socket))) {
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        ++*openConnections;
    }
    ~Connection() { --*openConnections; }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static Connection& self(http_parser* p) { return *static_cast<Connection*>(p->data); }

    static const http_parser_settings& callbacks() {
        static const http_parser_settings settings = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_header_field = [](http_parser* p, const char* at, std::size_t length) {
                auto& c = self(p);
                if (c.headerValueSeen) c.headerField.clear();
                c.headerValueSeen = false;
                c.headerField.append(at, length);
                return 0;
            };
            s.on_header_value = [](http_parser* p, const char* at, std::size_t length) {
                auto& c = self(p);
                c.headerValueSeen = true;
                if (c.headerField == "Retry-After")
                    c.response.retryAfterSeconds = std::atoi(std::string(at, length).c_str());
                return 0;
            };
            s.on_body = [](http_parser* p, const char* at, std::size_t length) {
                self(p).response.body.append(at, length);
                return 0;
            };
            s.on_message_complete = [](http_parser* p) {
                self(p).complete = true;
                self(p).response.status = static_cast<int>(p->status_code);
                self(p).keepAlive = http_should_keep_alive(p) != 0;
                return 0;
            };
            return s;
        }();
        return settings;
    }

    void send(const HttpRequest& request, Duration timeout, HttpDone whenDone) {
        done = std::move(whenDone);
        response = {};
        complete = false;
        std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + address +
                           "\r\nContent-Type: application/cbor\r\nContent-Length: " +
                           std::to_string(request.body.size()) + "\r\n\r\n";
        stream->write(text + request.body);
        const std::weak_ptr<Connection> weak = weak_from_this();
        timer = client->loop_.after(timeout, [weak] {
            if (const auto c = weak.lock()) c->fail();
        });
    }

    void onData(std::string_view data) {
        http_parser_execute(&parser, &callbacks(), data.data(), data.size());
        if (HTTP_PARSER_ERRNO(&parser) != HPE_OK || !done) return fail();
        if (complete) finish();
    }

    void finish() {
        const auto keep = shared_from_this();
        client->loop_.cancel(timer);
        const auto whenDone = std::exchange(done, nullptr);
        auto& pool = client->idle_[address];
        if (keepAlive && pool.size() < maxIdlePerAddress) {
            pool.push_back(keep);
            const std::weak_ptr<Connection> weak = keep;
            timer = client->loop_.after(idleTimeout, [weak] {
                if (const auto c = weak.lock()) c->fail();
            });
        } else {
            stream->close();
        }
        whenDone(std::move(response));
    }

    void fail() {
        const auto keep = shared_from_this();
        client->loop_.cancel(timer);
        stream->close();
        std::erase(client->idle_[address], keep);
        if (const auto whenDone = std::exchange(done, nullptr)) whenDone(std::nullopt);
    }

    HttpClient* client;
    std::shared_ptr<std::size_t> openConnections;  // shared: a connection may outlive the client
    std::string address;
    std::shared_ptr<Stream> stream;
    http_parser parser{};
    HttpResponse response;
    HttpDone done;
    TimerId timer = 0;
    std::string headerField;
    bool headerValueSeen = false;
    bool complete = false;
    bool keepAlive = true;
};

std::shared_ptr<HttpClient::Connection> HttpClient::acquireConnection(const std::string& address) {
    auto& pool = idle_[address];
    if (!pool.empty()) {
        auto connection = pool.back();
        pool.pop_back();
        loop_.cancel(connection->timer);
        return connection;
    }
    // The bound keeps commands to all workers from using up the sockets that other calls need.
    if (*openConnections_ >= maxConnections_ && !unboundedAddresses_.contains(address) &&
        !evictIdleConnection())
        return nullptr;
    Socket socket = connectTo(address);
    if (!socket.open()) return nullptr;
    auto connection = std::make_shared<Connection>(*this, address, std::move(socket));
    const std::weak_ptr<Connection> weak = connection;
    connection->stream->start(
        [weak](std::string_view data) {
            if (const auto c = weak.lock()) c->onData(data);
        },
        [weak] {
            if (const auto c = weak.lock()) c->fail();
        });
    return connection;
}

bool HttpClient::evictIdleConnection() {
    for (auto& [address, pool] : idle_) {
        if (pool.empty() || unboundedAddresses_.contains(address)) continue;
        pool.back()->fail();
        return true;
    }
    return false;
}

void HttpClient::call(const std::string& address, const HttpRequest& request, Duration timeout,
                      HttpDone done) {
    const auto connection = acquireConnection(address);
    if (!connection) {
        loop_.after(Duration::zero(), [done = std::move(done)] { done(std::nullopt); });
        return;
    }
    // The callback keeps the connection alive until the response or the timeout; the timer itself
    // holds only a weak pointer.
    connection->send(request, timeout,
                     [connection, done = std::move(done)](std::optional<HttpResponse> response) {
                         done(std::move(response));
                     });
}

}  // namespace fawnwheel::transport
