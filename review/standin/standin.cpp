#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

namespace standin {

namespace {

const auto began = std::chrono::steady_clock::now();
std::mutex recordMutex;
std::FILE* recordFile = nullptr;

sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

int portOf(const std::string& address) {
    return std::atoi(address.substr(address.rfind(':') + 1).c_str());
}

bool sendAll(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::string lower(std::string value) {
    std::transform(value.begin(), value.end(), value.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return value;
}

// Reads a message's head and body from the connection; `input` holds what was read beyond it.
bool readMessage(int fd, std::string& input, std::string& startLine, std::string& body,
                 bool& closing, double deadline) {
    std::size_t headEnd = std::string::npos;
    std::size_t length = 0;
    while (true) {
        if (headEnd == std::string::npos) {
            headEnd = input.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                std::istringstream head(input.substr(0, headEnd));
                std::getline(head, startLine);
                if (!startLine.empty() && startLine.back() == '\r') startLine.pop_back();
                for (std::string line; std::getline(head, line);) {
                    line = lower(line);
                    if (line.starts_with("content-length:"))
                        length = std::strtoul(line.c_str() + 15, nullptr, 10);
                    if (line.starts_with("connection:") && line.find("close") != std::string::npos)
                        closing = true;
                }
            }
        }
        if (headEnd != std::string::npos && input.size() >= headEnd + 4 + length) {
            body = input.substr(headEnd + 4, length);
            input.erase(0, headEnd + 4 + length);
            return true;
        }
        pollfd waiting{fd, POLLIN, 0};
        const double left = deadline - now();
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(std::min(left, 3600.0) * 1000) + 1) <= 0)
            return false;
        char buffer[16384];
        const auto n = ::recv(fd, buffer, sizeof buffer, 0);
        if (n <= 0) return false;
        input.append(buffer, static_cast<std::size_t>(n));
    }
}

void waitUntilClosed(int fd) {
    char buffer[4096];
    while (::recv(fd, buffer, sizeof buffer, 0) > 0) {
    }
}

std::map<std::string, std::string> queryOf(const std::string& path) {
    std::map<std::string, std::string> out;
    auto at = path.find('?');
    while (at != std::string::npos) {
        const auto end = path.find('&', at + 1);
        const auto pair = path.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const auto equals = pair.find('=');
        if (equals != std::string::npos) out[pair.substr(0, equals)] = pair.substr(equals + 1);
        at = end;
    }
    return out;
}

double between(double least, double most) {
    static thread_local std::mt19937_64 random(std::random_device{}());
    return std::uniform_real_distribution<>(least, most)(random);
}

std::mutex jobsMutex;
std::map<std::string, Job> jobs;

}  // namespace

double now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
}

void sleepFor(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

bool waitFor(double seconds, const std::function<bool()>& condition) {
    for (const double until = now() + seconds; now() < until; sleepFor(0.005))
        if (condition()) return true;
    return condition();
}

void openRecord(const std::string& path) {
    recordFile = std::fopen(path.c_str(), "w");
}

void record(const std::string& line) {
    const std::lock_guard lock(recordMutex);
    if (recordFile == nullptr) return;
    std::fprintf(recordFile, "%8.3f %s\n", now(), line.c_str());
    std::fflush(recordFile);
}

std::string encode(const Json& value) {
    std::string out;
    Json::to_cbor(value, out);
    return out;
}

Json decode(const std::string& body) {
    Json value = Json::from_cbor(body, true, false);
    return value.is_object() ? value : Json::object();
}

std::string text(const Json& map, const char* field) {
    const auto found = map.find(field);
    return found != map.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t count(const Json& map, const char* field) {
    const auto found = map.find(field);
    return found != map.end() && found->is_number() ? found->get<std::uint64_t>() : 0;
}

double number(const Json& map, const char* field, double fallback) {
    const auto found = map.find(field);
    return found != map.end() && found->is_number() ? found->get<double>() : fallback;
}

int freePort() {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = loopback(0);
    socklen_t length = sizeof address;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
        std::fprintf(stderr, "no free port\n");
        std::exit(2);
    }
    ::close(fd);
    return ntohs(address.sin_port);
}

Server::Server(Handler handler) {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t length = sizeof address;
    if (listener < 0 ||
        ::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listener, 128) != 0 ||
        ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
        std::fprintf(stderr, "can't listen\n");
        std::exit(2);
    }
    port_ = ntohs(address.sin_port);
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                sleepFor(0.01);
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([fd, handler] {
                std::string input;
                std::string startLine;
                Request request;
                bool closing = false;
                while (!closing && readMessage(fd, input, startLine, request.body, closing, 1e9)) {
                    std::istringstream words(startLine);
                    words >> request.method >> request.path;
                    const auto response = handler(request);
                    if (!response) {
                        waitUntilClosed(fd);
                        break;
                    }
                    if (!sendAll(fd, "HTTP/1.1 " + std::to_string(response->status) +
                                         " X\r\nContent-Type: application/cbor\r\nContent-Length: " +
                                         std::to_string(response->body.size()) +
                                         (closing ? "\r\nConnection: close" : "") + "\r\n\r\n" +
                                         response->body))
                        break;
                }
                ::close(fd);
            }).detach();
        }
    }).detach();
}

std::optional<Response> call(const std::string& address, const std::string& method,
                             const std::string& path, const std::string& body, double timeout) {
    const double deadline = now() + timeout;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) return std::nullopt;
    std::optional<Response> result;
    const auto where = loopback(portOf(address));
    std::string input;
    std::string startLine;
    Response response;
    bool closing = false;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0 &&
        sendAll(fd, method + " " + path + " HTTP/1.1\r\nHost: " + address +
                        "\r\nConnection: close\r\nContent-Type: application/cbor\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body) &&
        readMessage(fd, input, startLine, response.body, closing, deadline)) {
        std::istringstream words(startLine);
        std::string version;
        words >> version >> response.status;
        result = std::move(response);
    }
    ::close(fd);
    return result;
}

// ---- State service

State::State(int nodes, std::size_t operations, double valueKb)
    : operations_(operations), valueKb_(valueKb) {
    for (int node = 0; node < nodes; ++node)
        servers_.push_back(std::make_unique<Server>(
            [this, node](const Request& request) { return serve(node, request); }));
    std::thread([this] {
        while (true) {
            sleepFor(0.02);
            const std::lock_guard lock(mutex_);
            expireHolds();
        }
    }).detach();
}

void State::outage(double seconds) {
    const std::lock_guard lock(mutex_);
    outageUntil_ = now() + seconds;
    for (auto& [id, hold] : holds_) hold.until = outageUntil_ + hold.ttl;
}

bool State::out() const {
    const std::lock_guard lock(mutex_);
    return now() < outageUntil_;
}

void State::refuse(int node, bool refused) {
    const std::lock_guard lock(mutex_);
    if (refused)
        refused_.insert(node);
    else
        refused_.erase(node);
    changed_.notify_all();
}

bool State::refuses(int node) const {
    return now() < outageUntil_ || refused_.contains(node);
}

std::optional<Json> State::value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    if (found == items_.end()) return std::nullopt;
    return found->second.value;
}

void State::expireHolds() {
    if (now() < outageUntil_) return;
    bool any = false;
    for (auto hold = holds_.begin(); hold != holds_.end();) {
        if (hold->second.until > now()) {
            ++hold;
            continue;
        }
        for (auto item = items_.begin(); item != items_.end();) {
            if (item->second.tether != hold->first) {
                ++item;
                continue;
            }
            log_.push_back({++ring_, item->first, std::nullopt});
            record("state: hold " + std::to_string(hold->first) + " has ended, removes " + item->first);
            item = items_.erase(item);
            any = true;
        }
        hold = holds_.erase(hold);
    }
    if (any) changed_.notify_all();
}

Response State::follow(int node, const Request& request) {
    auto query = queryOf(request.path);
    const auto prefix = query["starts"];
    const auto since = std::strtoull(query["since"].c_str(), nullptr, 10);
    const double until = now() + std::min(60.0, std::atof(query["wait_ms"].c_str()) / 1000);
    std::unique_lock lock(mutex_);
    if (refuses(node)) return answer(503);
    if (!log_.empty() && since + 1 < log_.front().mark && log_.front().mark > 2) return answer(410);
    while (true) {
        if (!refuses(node)) {
            Json log = Json::array();
            for (const auto& change : log_) {
                if (change.mark <= since || !change.key.starts_with(prefix)) continue;
                if (change.value)
                    log.push_back(
                        {{"write", change.key}, {"value", *change.value}, {"mark", change.mark}});
                else
                    log.push_back({{"drop", change.key}, {"mark", change.mark}});
            }
            if (!log.empty() || now() >= until) return answer(200, {{"ring", ring_}, {"log", log}});
        }
        changed_.wait_for(lock, std::chrono::milliseconds(20));
    }
}

Response State::read(const Request& request) {
    const std::string keys = "/keys";
    if (request.path.starts_with(keys + "?")) {
        auto query = queryOf(request.path);
        const auto prefix = query["starts"];
        const auto most = std::min<std::size_t>(1000, std::strtoul(query["most"].c_str(), nullptr, 10));
        Json items = Json::array();
        bool more = false;
        std::size_t bytes = 0;
        for (auto item = items_.lower_bound(prefix);
             item != items_.end() && item->first.starts_with(prefix); ++item) {
            if (item->first <= query["since"]) continue;
            more = items.size() >= most || bytes > std::size_t{500} * 1024;
            if (more) break;
            items.push_back(
                {{"k", item->first}, {"value", item->second.value}, {"mark", item->second.mark}});
            bytes += item->second.value.dump().size();
        }
        return answer(200, {{"items", items}, {"more", more}, {"ring", ring_}});
    }
    const auto key = request.path.substr(keys.size() + 1);
    const auto found = items_.find(key);
    if (found == items_.end()) return answer(404, {{"ring", ring_}});
    Json body{{"k", key}, {"value", found->second.value}, {"mark", found->second.mark}};
    if (found->second.tether != 0) body["tether"] = found->second.tether;
    return answer(200, body);
}

Response State::transact(const Json& body) {
    const auto list = [&body](const char* field) {
        const auto found = body.find(field);
        return found != body.end() && found->is_array() ? *found : Json::array();
    };
    const auto guards = list("guards");
    const auto writes = list("writes");
    if (writes.size() > operations_ || guards.size() > 4 * operations_) return answer(400);
    for (const auto& write : writes) {
        const auto value = write.find("value");
        if (value != write.end() && static_cast<double>(value->dump().size()) > valueKb_ * 1024)
            return answer(400);
        const auto tether = count(write, "tether");
        if (tether != 0 && !holds_.contains(tether)) return answer(400, {{"error", "no such lease"}});
    }
    Json failed = Json::array();
    for (const auto& guard : guards) {
        const auto found = items_.find(text(guard, "k"));
        if ((found == items_.end() ? 0 : found->second.mark) != count(guard, "mark"))
            failed.push_back(text(guard, "k"));
    }
    if (!failed.empty()) return answer(409, {{"failed", failed}, {"ring", ring_}});
    if (!writes.empty()) ++ring_;
    for (const auto& write : writes) {
        if (const auto key = text(write, "write"); !key.empty()) {
            items_[key] = {write.value("value", Json()), ring_, count(write, "tether")};
            log_.push_back({ring_, key, items_[key].value});
        } else if (const auto dropped = text(write, "drop"); items_.erase(dropped) > 0) {
            log_.push_back({ring_, dropped, std::nullopt});
        }
    }
    while (log_.size() > 10000) log_.pop_front();
    changed_.notify_all();
    return answer(200, {{"ring", ring_}});
}

std::optional<Response> State::serve(int node, const Request& request) {
    auto response = handle(node, request);
    if (response && slow) sleepFor(slow(node, request));
    return response;
}

std::optional<Response> State::handle(int node, const Request& request) {
    if (request.path.starts_with("/follow")) return follow(node, request);
    const bool transaction = request.path == "/txn";
    const auto body = decode(request.body);
    const double lateness = transaction && late ? late(node, body) : 0;
    const bool lost = transaction && lateness <= 0 && lose && lose(node, body);
    std::unique_lock lock(mutex_);
    expireHolds();
    if (refuses(node)) return answer(503, {{"error", "trouble"}});
    if (transaction) {
        if (lateness <= 0) {
            auto done = transact(body);
            if (lost) return std::nullopt;
            return done;
        }
        std::thread([this, body, lateness] {
            sleepFor(lateness);
            waitFor(60, [this] { return !out(); });
            const std::lock_guard later(mutex_);
            expireHolds();
            record("state: a late transaction is carried out, " +
                   std::to_string(transact(body).status));
        }).detach();
        return std::nullopt;
    }
    if (request.path == "/holds") {
        const double ttl = number(body, "ttl_ms", 5000) / 1000;
        holds_[nextHold_] = {now() + ttl, ttl};
        return answer(200, {{"tether", nextHold_++}});
    }
    if (request.path.starts_with("/holds/")) {
        const auto id = std::strtoull(request.path.c_str() + 7, nullptr, 10);
        const auto found = holds_.find(id);
        if (found == holds_.end()) return answer(404);
        if (request.method == "DELETE")
            found->second.until = 0;
        else
            found->second.until = now() + found->second.ttl;
        return answer(200, {{"tether", id}});
    }
    if (request.path.starts_with("/keys")) return read(request);
    return answer(404);
}

// ---- Cloud

Cloud::Cloud(std::vector<Breed> breeds, std::vector<std::string> meadows, double listLag)
    : breeds_(std::move(breeds)),
      meadows_(std::move(meadows)),
      listLag_(listLag),
      server_(std::make_unique<Server>(
          [this](const Request& request) { return std::optional(serve(request)); })) {}

std::vector<Worker*> Cloud::workers() {
    const std::lock_guard lock(mutex_);
    std::vector<Worker*> all;
    for (const auto& [id, machine] : machines_) all.push_back(machine.worker.get());
    return all;
}

Worker* Cloud::add(const std::string& breed, const std::string& meadow, int id) {
    char name[16];
    std::snprintf(name, sizeof name, "m-%06d", id);
    const auto found = std::find_if(breeds_.begin(), breeds_.end(),
                                    [&breed](const Breed& b) { return b.name == breed; });
    auto& machine = machines_[name];
    machine.rentedAt = now();
    machine.worker = makeWorker(name, *found, meadow);
    return machine.worker.get();
}

Response Cloud::rent(const Json& body) {
    const auto hire = text(body, "hire");
    if (const auto known = hires_.find(hire); known != hires_.end()) return answer(200, known->second);
    const auto breed = text(body, "breed");
    const auto meadow = text(body, "meadow");
    auto& left = capacity[breed + "/" + meadow];
    const bool spot = body.value("strays", false);
    const int granted = spot ? 0 : std::min<int>(left, static_cast<int>(count(body, "count")));
    record("cloud: rent " + body.dump() + " -> " + std::to_string(granted));
    if (granted <= 0) return answer(503, {{"error", "no capacity"}});
    left -= granted;
    Json names = Json::array();
    for (int i = 0; i < granted; ++i) {
        Worker* worker = add(breed, meadow, nextId++);
        names.push_back(worker->id());
        // A machine may be up within a second or two.
        std::thread([worker] {
            sleepFor(1.0);
            worker->boot();
        }).detach();
    }
    return answer(200, hires_[hire] = {{"spokes", names}});
}

Response Cloud::list(const std::string& path) {
    auto query = queryOf(path);
    const auto most = std::min<std::size_t>(500, std::strtoul(query["most"].c_str(), nullptr, 10));
    const double moment = now() - listLag_;
    Json spokes = Json::array();
    bool more = false;
    for (const auto& [id, machine] : machines_) {
        if (id <= query["since"] || machine.rentedAt > moment || machine.goneAt <= moment) continue;
        more = spokes.size() >= most;
        if (more) break;
        const auto& worker = *machine.worker;
        spokes.push_back({{"id", id},
                          {"address", worker.address()},
                          {"breed", worker.breed().name},
                          {"meadow", worker.meadow()},
                          {"strays", false},
                          {"stance", worker.up() ? "running" : "starting"},
                          {"age_s", moment - machine.rentedAt}});
    }
    return answer(200, {{"spokes", spokes}, {"more", more}});
}

Response Cloud::serve(const Request& request) {
    const auto body = decode(request.body);
    const std::lock_guard lock(mutex_);
    if (request.path == "/catalog") {
        Json breeds = Json::array();
        for (const auto& breed : breeds_)
            breeds.push_back({{"name", breed.name},
                              {"cores", breed.cores},
                              {"gpus", 0.0},
                              {"mem_gb", breed.memGb},
                              {"cache_gb", 70.0},
                              {"pull_gb_per_s", 1.0},
                              {"price", breed.price},
                              {"market_price", breed.price / 3},
                              {"ready_s", breed.readyS},
                              {"meadows", meadows_}});
        return answer(200, {{"breeds", breeds}});
    }
    if (request.path == "/rentals/release") {
        record("cloud: release " + body.dump());
        for (const auto& name : body.value("spokes", Json::array())) {
            const auto found = machines_.find(name.get<std::string>());
            if (found == machines_.end() || found->second.worker->gone()) continue;
            found->second.worker->terminate();
            found->second.goneAt = now();
        }
        return answer(200);
    }
    if (request.method == "POST") return rent(body);
    return list(request.path);
}

// ---- Jobs and the checker

void addJob(const Job& job) {
    const std::lock_guard lock(jobsMutex);
    jobs[text(job.spec, "id")] = job;
}

std::optional<Job> findJob(const std::string& id) {
    const std::lock_guard lock(jobsMutex);
    const auto found = jobs.find(id);
    if (found == jobs.end()) return std::nullopt;
    return found->second;
}

Checker& checker() {
    static Checker instance;
    return instance;
}

void Checker::started(const std::string& task, const std::string& machine) {
    std::set<std::string> others;
    {
        const std::lock_guard lock(mutex_);
        others = places_[task];
        places_[task].insert(machine);
        ++starts_[task];
    }
    record("run: " + task + " starts on " + machine);
    for (const auto& other : others)
        if (other != machine) breach("ran_twice", task + " starts on " + machine + " while it is on " + other);
}

void Checker::ended(const std::string& task, const std::string& machine, const std::string& why) {
    {
        const std::lock_guard lock(mutex_);
        places_[task].erase(machine);
    }
    record("run: " + task + " is no longer on " + machine + ", " + why);
}

void Checker::breach(const std::string& rule, const std::string& what) {
    {
        const std::lock_guard lock(mutex_);
        breaches_.push_back(rule + ": " + what);
    }
    record("BREACH " + rule + ": " + what);
}

std::vector<std::string> Checker::breaches() {
    const std::lock_guard lock(mutex_);
    return breaches_;
}

std::set<std::string> Checker::places(const std::string& task) {
    const std::lock_guard lock(mutex_);
    return places_[task];
}

int Checker::starts(const std::string& task) {
    const std::lock_guard lock(mutex_);
    return starts_[task];
}

// ---- Worker

Worker::Worker(std::string id, Breed breed, std::string meadow, const WorkerSettings& settings,
               std::vector<int> order)
    : id_(std::move(id)),
      breed_(std::move(breed)),
      meadow_(std::move(meadow)),
      settings_(settings),
      order_(std::move(order)),
      server_(std::make_unique<Server>([this](const Request& request) { return serve(request); })) {}

void Worker::boot() {
    if (gone_ || up_.exchange(true)) return;
    renewedAt_ = now();
    record("worker " + id_ + " is up");
    std::thread([this] {
        while (!gone_) {
            step();
            sleepFor(0.02);
        }
    }).detach();
    std::thread([this] { reportLoop(); }).detach();
}

void Worker::terminate() {
    if (gone_.exchange(true)) return;
    killAll("the machine is gone");
}

double Worker::renewedAt() {
    const std::lock_guard lock(mutex_);
    return renewedAt_;
}

Json Worker::body() {
    Json hooves = Json::array();
    for (const auto& task : tasks_) {
        Json entry{{"hoof", task.name}, {"leap", task.leap}, {"stance", task.stance}};
        if (!task.cause.empty()) entry["cause"] = task.cause;
        hooves.push_back(std::move(entry));
    }
    return {{"spoke", id_},      {"address", address()}, {"breed", breed_.name}, {"meadow", meadow_},
            {"strays", false},   {"run", run_},          {"tick", tick_},        {"crook", crook_},
            {"warning_s", Json()}, {"hooves", hooves}};
}

void Worker::endTask(Task& task, const std::string& cause) {
    if (task.placed) checker().ended(task.name, id_, cause);
    task.placed = false;
    task.stance = "ended";
    task.cause = cause;
    changed_ = true;
}

void Worker::killAll(const std::string& why) {
    const std::lock_guard lock(mutex_);
    for (const auto& task : tasks_)
        if (task.placed) checker().ended(task.name, id_, why);
    tasks_.clear();
}

void Worker::execute(const Json& calls) {
    for (const auto& entry : calls) {
        const auto op = text(entry, "call");
        const auto name = text(entry, "hoof");
        const auto leap = count(entry, "leap");
        const auto found = std::find_if(tasks_.begin(), tasks_.end(), [&](const Task& task) {
            return task.name == name && task.leap == leap;
        });
        record("worker " + id_ + " gets " + op + " " + name + " leap " + std::to_string(leap));
        if (op == "forget") {
            if (found != tasks_.end() && found->stance == "ended") tasks_.erase(found);
        } else if (op == "stop") {
            if (found != tasks_.end() && found->stance != "ended") endTask(*found, "halted");
        } else if (op == "launch" && found == tasks_.end()) {
            Task task;
            task.name = name;
            task.leap = leap;
            const auto job = findJob(name.substr(0, name.rfind('/')));
            double cores = job ? number(job->spec, "cores") : 0;
            double mem = job ? number(job->spec, "mem_gb") : 0;
            bool twice = false;
            for (const auto& other : tasks_) {
                if (other.stance == "ended") continue;
                const auto its = findJob(other.name.substr(0, other.name.rfind('/')));
                cores += number(its->spec, "cores");
                mem += number(its->spec, "mem_gb");
                twice = twice || other.name == name;
            }
            if (!job || twice || cores > breed_.cores + 1e-9 || mem > breed_.memGb + 1e-9) {
                task.stance = "ended";
                task.cause = !job ? "unknown" : twice ? "in_use" : "full";
            } else {
                const auto image = text(job->spec, "coat");
                task.readyAt = now() + (images_.contains(image) ? 0 : number(job->spec, "image_gb"));
            }
            tasks_.push_back(std::move(task));
        }
        changed_ = true;
    }
}

void Worker::step() {
    const std::lock_guard lock(mutex_);
    if (gone_) return;
    const double at = now();
    if (at - renewedAt_ > settings_.leaseS) {
        record("worker " + id_ + ": its lease has ended");
        killAll("the lease has ended");
        ++run_;
        renewedAt_ = at;
        changed_ = true;
        return;
    }
    for (auto& task : tasks_) {
        const auto job = findJob(task.name.substr(0, task.name.rfind('/')));
        if (!job) continue;
        if (task.stance == "pulling" && at >= task.readyAt) {
            images_.insert(text(job->spec, "coat"));
            task.placed = true;
            task.stance = "running";
            task.ranSince = at;
            changed_ = true;
            checker().started(task.name, id_);
        } else if (task.stance == "running" &&
                   (*job->finish || (job->runs > 0 && at - task.ranSince >= job->runs))) {
            endTask(task, "done");
        }
    }
}

void Worker::reportLoop() {
    while (!gone_) {
        bool due = false;
        {
            const std::lock_guard lock(mutex_);
            due = now() >= lastSent_ + 0.5 && (changed_ || now() >= nextReport_);
        }
        if (due)
            reportOnce();
        else
            sleepFor(0.01);
    }
}

void Worker::reportOnce() {
    const int node = order_[at_];
    std::string sending;
    std::uint64_t session = 0;
    double sent = 0;
    std::string tasks;
    {
        const std::lock_guard lock(mutex_);
        changed_ = false;
        ++tick_;
        lastSent_ = sent = now();
        session = run_;
        const auto report = body();
        sending = encode(report);
        for (const auto& task : tasks_)
            tasks += " " + task.name + "=" + task.stance + (task.cause.empty() ? "" : ":" + task.cause);
    }
    std::optional<Response> response;
    if (linked(node)) response = call(settings_.fronts[node], "POST", "/v1/report", sending, 4);
    if (!linked(node)) response.reset();
    if (gone_) return;
    const auto answered = response ? decode(response->body) : Json::object();
    const int status = response ? response->status : 0;
    const auto token = count(answered, "crook");
    record("worker " + id_ + " reports to " + settings_.names[node] + " [" + tasks + " ] -> " +
           (status == 0 ? "no answer" : std::to_string(status)) +
           (status == 200 ? " crook " + std::to_string(token) : "") +
           (status == 421 ? " herder " + text(answered, "herder") : ""));
    if (status == 200) {
        const std::lock_guard lock(mutex_);
        if (now() - sent <= 4 && session == run_ && token >= crook_ && answered.contains("crook")) {
            if (token > crook_ && now() - crookReportedAt_ > settings_.leaseS / 2) {
                crookReportedAt_ = now();
                changed_ = true;
            }
            crook_ = token;
            renewedAt_ = std::max(renewedAt_, sent);
            execute(answered.value("calls", Json::array()));
        }
        nextReport_ = now() + settings_.reportS * between(0.75, 1.0);
    }
    if (reported) reported(node, status, token);
    if (status == 200) return;
    if (status == 421) {
        const auto herder = text(answered, "herder");
        for (std::size_t i = 0; i < order_.size(); ++i)
            if (settings_.names[order_[i]] == herder && order_[i] != node) {
                at_ = i;
                const std::lock_guard lock(mutex_);
                nextReport_ = now();
                return;
            }
    }
    at_ = (at_ + 1) % order_.size();
    sleepFor(1.0);
    const std::lock_guard lock(mutex_);
    nextReport_ = now();
}

std::optional<Response> Worker::serve(const Request& request) {
    bool reachable = false;
    for (const int node : order_) reachable = reachable || linked(node);
    if (gone_ || !up_ || !reachable) return std::nullopt;
    const std::lock_guard lock(mutex_);
    if (request.path == "/inspect") {
        ++tick_;
        return answer(200, body());
    }
    const auto sent = decode(request.body);
    if (!sent.contains("crook") || !sent.contains("run")) return answer(400);
    ++tick_;
    if (count(sent, "crook") < crook_ || count(sent, "run") != run_) return answer(409, body());
    if (count(sent, "crook") > crook_ && now() - crookReportedAt_ > settings_.leaseS / 2) {
        crookReportedAt_ = now();
        changed_ = true;
    }
    crook_ = count(sent, "crook");
    record("worker " + id_ + " gets orders, crook " + std::to_string(crook_));
    execute(sent.value("calls", Json::array()));
    return answer(200, body());
}

// ---- Controllers

std::string deployCommand() {
    std::ifstream file("deploy/service.toml");
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with("run")) continue;
        const auto first = line.find('"');
        const auto last = line.rfind('"');
        if (first != std::string::npos && last > first) return line.substr(first + 1, last - first - 1);
    }
    return {};
}

Controllers::Controllers(std::string command, std::string folder, double restartDelay)
    : command_(std::move(command)), folder_(std::move(folder)), restartDelay_(restartDelay) {}

Controllers::~Controllers() {
    killAll();
}

void Controllers::lay(int nodes, const std::string& area) {
    std::vector<std::string> internal;
    for (int i = 0; i < nodes; ++i) {
        names.push_back("spoke-" + std::to_string(i));
        fronts.push_back("127.0.0.1:" + std::to_string(freePort()));
        internal.push_back("127.0.0.1:" + std::to_string(freePort()));
        pids_.push_back(-1);
    }
    for (int i = 0; i < nodes; ++i) {
        Json others = Json::array();
        for (int j = 0; j < nodes; ++j)
            if (j != i)
                others.push_back({{"host_name", names[j]}, {"area", area}, {"address", internal[j]}});
        settings.push_back({{"host_name", names[i]},
                            {"area", area},
                            {"front", fronts[i]},
                            {"internal_addr", internal[i]},
                            {"others", others}});
    }
}

void Controllers::start(int node) {
    const auto file = folder_ + "/" + names[node] + ".json";
    std::ofstream(file) << settings[node].dump(1);
    const auto log = folder_ + "/" + names[node] + ".log";
    std::vector<std::string> words;
    std::istringstream in(command_);
    for (std::string word; in >> word;) words.push_back(word);
    words.push_back(file);
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::lock_guard lock(mutex_);
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) ::_exit(127);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDERR_FILENO);
        ::dup2(out, STDOUT_FILENO);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    pids_[node] = pid;
    record("controller " + names[node] + " started");
}

void Controllers::kill(int node) {
    const std::lock_guard lock(mutex_);
    if (pids_[node] <= 0) return;
    ::kill(pids_[node], SIGKILL);
    ::waitpid(pids_[node], nullptr, 0);
    pids_[node] = -1;
    record("controller " + names[node] + " killed");
}

bool Controllers::up(int node) {
    const std::lock_guard lock(mutex_);
    return pids_[node] > 0;
}

bool Controllers::healthy(int node) {
    const auto response = call(fronts[node], "GET", "/healthz", {}, 1);
    return response && response->status == 200;
}

std::vector<std::string> Controllers::exits() {
    const std::lock_guard lock(mutex_);
    return exits_;
}

void Controllers::watchAndRestart() {
    std::thread([this] {
        std::map<int, double> restartAt;
        while (!stopping_) {
            for (int node = 0; node < static_cast<int>(names.size()); ++node) {
                {
                    const std::lock_guard lock(mutex_);
                    int status = 0;
                    if (pids_[node] > 0 && ::waitpid(pids_[node], &status, WNOHANG) == pids_[node]) {
                        pids_[node] = -1;
                        exits_.push_back(names[node]);
                        restartAt[node] = now() + restartDelay_;
                        record("controller " + names[node] + " has ended by itself, " +
                               (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                    : "status " + std::to_string(WEXITSTATUS(status))));
                    }
                }
                if (restartAt.contains(node) && now() >= restartAt[node]) {
                    restartAt.erase(node);
                    if (!stopping_) start(node);
                }
            }
            sleepFor(0.02);
        }
    }).detach();
}

void Controllers::killAll() {
    stopping_ = true;
    for (int node = 0; node < static_cast<int>(names.size()); ++node) kill(node);
}

}  // namespace standin
