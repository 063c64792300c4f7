#include "transport/http_server.h"

#include <http_parser.h>
#include <sys/epoll.h>

#include <vector>

namespace fawnwheel::transport {

namespace {

using namespace std::chrono_literals;

constexpr auto idleTimeout = 90s;  // for a connection without a request
constexpr auto readTimeout = 10s;  // for the next data of an incomplete request
constexpr auto idleCheckPeriod = 2s;
constexpr std::size_t maxUrlLength = 2048;
constexpr double nearLimitFraction = 0.8;  // of the maximum number of connections

const char* reasonPhrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 201:
            return "Created";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 413:
            return "Content Too Large";
        case 421:
            return "Misdirected Request";
        case 422:
            return "Unprocessable Content";
        case 429:
            return "Too Many Requests";
        default:
            return "Service Unavailable";
    }
}

}  // namespace

struct HttpServer::Connection : std::enable_shared_from_this<Connection> {
    Connection(HttpServer& httpServer, Socket socket)
        : server(&httpServer),
          stream(std::make_shared<Stream>(httpServer.loop_, std::move(socket))),
          lastActive(httpServer.loop_.now()) {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
    }

    static const http_parser_settings& callbacks() {
        static const http_parser_settings settings = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_message_begin = [](http_parser* p) {
                self(p).request = {};
                self(p).reading = true;
                return 0;
            };
            s.on_url = [](http_parser* p, const char* at, std::size_t length) {
                self(p).request.path.append(at, length);
                return self(p).request.path.size() > maxUrlLength ? 1 : 0;
            };
            s.on_body = [](http_parser* p, const char* at, std::size_t length) {
                self(p).request.body.append(at, length);
                self(p).tooLarge = self(p).request.body.size() > maxBodyBytes;
                return self(p).tooLarge ? 1 : 0;
            };
            s.on_message_complete = [](http_parser* p) {
                self(p).complete = true;
                self(p).reading = false;
                self(p).keepAlive = http_should_keep_alive(p) != 0;
                self(p).request.method = http_method_str(static_cast<http_method>(p->method));
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        return settings;
    }

    static Connection& self(http_parser* p) { return *static_cast<Connection*>(p->data); }

    void onData(std::string_view data) {
        lastActive = server->loop_.now();
        input.append(data);
        if (!busy) parse();
    }

    void parse() {
        const auto used = http_parser_execute(&parser, &callbacks(), input.data(), input.size());
        const auto error = HTTP_PARSER_ERRNO(&parser);
        input.erase(0, used);
        if (error == HPE_PAUSED && complete) {
            http_parser_pause(&parser, 0);
            complete = false;
            return dispatch();
        }
        if (error != HPE_OK || parser.upgrade != 0) {
            keepAlive = false;
            respond({tooLarge ? 413 : 400, {}, 0});
        }
    }

    void dispatch() {
        busy = true;
        stream->pauseReading(true);
        const std::weak_ptr<Connection> weak = weak_from_this();
        server->handler_(std::move(request), [weak](const HttpResponse& response) {
            const auto connection = weak.lock();
            if (connection && connection->busy) connection->respond(response);
        });
    }

    void respond(const HttpResponse& response) {
        keepAlive = keepAlive && !server->isNearConnectionLimit();
        std::string head = "HTTP/1.1 " + std::to_string(response.status) + " " +
                           reasonPhrase(response.status) +
                           "\r\nContent-Type: application/cbor\r\n" +
                           "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
        if (response.retryAfterSeconds > 0)
            head += "Retry-After: " + std::to_string(response.retryAfterSeconds) + "\r\n";
        if (!keepAlive) head += "Connection: close\r\n";
        head += "\r\n";
        stream->write(head + response.body);
        busy = false;
        lastActive = server->loop_.now();
        if (!keepAlive) return stream->closeWhenWritten();
        stream->pauseReading(false);
        if (!input.empty()) {
            // Deferred, because this call may come from within the handler of the answered request.
            const std::weak_ptr<Connection> weak = weak_from_this();
            server->loop_.after(Duration::zero(), [weak] {
                const auto connection = weak.lock();
                if (connection && !connection->busy && !connection->input.empty())
                    connection->parse();
            });
        }
    }

    HttpServer* server;
    std::shared_ptr<Stream> stream;
    http_parser parser{};
    HttpRequest request;
    std::string input;
    SteadyTime lastActive;
    bool reading = false;
    bool complete = false;
    bool busy = false;
    bool keepAlive = true;
    bool tooLarge = false;
};

HttpServer::HttpServer(Loop& loop, const std::string& address, std::size_t maxConnections,
                       HttpHandler handler)
    : loop_(loop),
      listener_(listenOn(address)),
      maxConnections_(maxConnections),
      handler_(std::move(handler)) {
    loop_.watch(listener_.fd(), EPOLLIN, [this](std::uint32_t) { acceptAll(); });
    idleTimer_ = loop_.after(idleCheckPeriod, [this] { closeIdleConnections(); });
}

HttpServer::~HttpServer() {
    loop_.cancel(idleTimer_);
    loop_.unwatch(listener_.fd());
}

bool HttpServer::isNearConnectionLimit() const {
    return static_cast<double>(connections_.size()) >
           static_cast<double>(maxConnections_) * nearLimitFraction;
}

void HttpServer::acceptAll() {
    while (true) {
        Socket socket = acceptFrom(listener_);
        if (!socket.open()) return;
        // At the limit, a new connection is closed at once, so that the load balancer tries another
        // node.
        if (connections_.size() >= maxConnections_) continue;
        auto connection = std::make_shared<Connection>(*this, std::move(socket));
        connections_.insert(connection);
        const std::weak_ptr<Connection> weak = connection;
        connection->stream->start(
            [weak](std::string_view data) {
                if (const auto c = weak.lock()) c->onData(data);
            },
            [this, weak] {
                if (const auto c = weak.lock()) connections_.erase(c);
            });
    }
}

void HttpServer::closeIdleConnections() {
    const auto now = loop_.now();
    std::erase_if(connections_, [now](const auto& c) {
        if (!c->stream->open()) return true;
        if (c->busy) return false;
        return now - c->lastActive > (c->reading ? Duration(readTimeout) : Duration(idleTimeout));
    });
    idleTimer_ = loop_.after(idleCheckPeriod, [this] { closeIdleConnections(); });
}

}  // namespace fawnwheel::transport
