#include "loopback/processes.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace fawnwheel::loopback {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr auto advancePeriod = 2ms;
constexpr auto requestTimeout = 6s;
constexpr std::size_t manyConnections = 4000;

// A loopback address with a port that nothing listens on at the moment.
std::string freeAddress() {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    const bool bound = fd >= 0 &&
                       ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
                       ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    if (fd >= 0) ::close(fd);
    if (!bound) throw std::runtime_error("no free port on loopback");
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

}  // namespace

Processes::Processes(ProcessSpec spec)
    : spec_(std::move(spec)), client_(loop_, manyConnections, {}), cloud_(freeAddress()) {
    for (int i = 0; i < spec_.nodes; ++i) {
        Process process;
        process.name = "node-" + std::to_string(i);
        process.front = freeAddress();
        process.internal = freeAddress();
        process.state = freeAddress();
        process.settingsFile = spec_.directory + "/" + process.name + ".json";
        processes_.push_back(std::move(process));
    }
    for (auto& process : processes_) {
        writeSettings(process);
        process.stateServer = serve(process.state, process.name, "state");
    }
    cloudServer_ = serve(cloud_, "cloud-client", "cloud");
}

Processes::~Processes() {
    for (int i = 0; i < spec_.nodes; ++i) kill(i);
}

void Processes::writeSettings(const Process& process) const {
    const auto zoneOf = [this](std::size_t index) {
        return spec_.zones[index % spec_.zones.size()];
    };
    Json others = Json::array();
    std::string zone;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
        if (processes_[i].name == process.name)
            zone = zoneOf(i);
        else
            others.push_back({{"host_name", processes_[i].name},
                              {"area", zoneOf(i)},
                              {"address", processes_[i].internal}});
    }
    Json teams = Json::array();
    for (const auto& team : spec_.teams)
        teams.push_back({{"name", team.name}, {"cpus_max", team.cpusMax}, {"gpus_max", 0}});
    const Json settings{
        {"host_name", process.name},
        {"area", zone},
        {"front", process.front},
        {"internal_addr", process.internal},
        {"others", others},
        {"outside", {{"cloud", cloud_}, {"state", process.state}}},
        {"deployment",
         {{"teams", teams},
          {"workers",
           {{"report_s", 3},
            {"lease_s", spec_.lease.count()},
            {"gang_wait_s", 20},
            {"gang_peer_s", 4},
            {"cancel_s", spec_.cancel.count()}}},
          {"state", {{"rps", 200}, {"write_rps", 80}, {"value_kb", 4}, {"txn_ops", 12}}},
          {"cloud", {{"rps", 6}, {"list_lag_s", 4}}},
          {"machine_limits", {{"sockets", 500}}}}}};
    std::ofstream(process.settingsFile) << settings.dump();
}

std::unique_ptr<transport::HttpServer> Processes::serve(const std::string& address,
                                                        const std::string& from,
                                                        const std::string& host) {
    return std::make_unique<transport::HttpServer>(
        loop_, address, manyConnections,
        [this, from, host](const transport::HttpRequest& request, transport::HttpReply reply) {
            if (simulation_ == nullptr) return reply({503, {}, 0});
            advance();
            simulation_->serveExternal(from, host, request, std::move(reply));
        });
}

std::string Processes::addressOf(const std::string& machine) {
    auto& entry = machines_[machine];
    if (!entry.server) {
        entry.address = freeAddress();
        entry.server = serve(entry.address, "node", machine);
    }
    return entry.address;
}

void Processes::start(int node) {
    auto& process = processes_[static_cast<std::size_t>(node)];
    const auto log = spec_.directory + "/" + process.name + ".log";
    const pid_t pid = ::fork();
    if (pid < 0) throw std::runtime_error("can't start a process");
    if (pid == 0) {
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDERR_FILENO);
        ::execl(spec_.daemon.c_str(), spec_.daemon.c_str(), "--operator",
                spec_.operatorFile.c_str(), "--config", process.settingsFile.c_str(), nullptr);
        ::_exit(127);
    }
    process.pid = pid;
}

void Processes::kill(int node) {
    auto& process = processes_[static_cast<std::size_t>(node)];
    if (process.pid < 0) return;
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
    process.pid = -1;
}

bool Processes::up(int node) const {
    return processes_[static_cast<std::size_t>(node)].pid >= 0;
}

void Processes::request(int node, const transport::HttpRequest& request,
                        transport::HttpReply reply) {
    client_.call(processes_[static_cast<std::size_t>(node)].front, request, requestTimeout,
                 [this, reply = std::move(reply)](std::optional<transport::HttpResponse> response) {
                     if (!response) return;  // the simulation's own timeout reports it
                     advance();
                     reply(std::move(*response));
                 });
}

void Processes::recordUnexpectedExits() {
    for (auto& process : processes_) {
        if (process.pid < 0 || ::waitpid(process.pid, nullptr, WNOHANG) != process.pid) continue;
        process.pid = -1;
        ++unexpectedExits_;
    }
}

void Processes::advance() {
    simulation_->advance(sim::Time(loop_.now() - began_));
}

void Processes::runFor(sim::Simulation& simulation, sim::Time length) {
    simulation_ = &simulation;
    began_ = loop_.now();
    std::function<void()> step = [&] {
        recordUnexpectedExits();
        if (sim::Time(loop_.now() - began_) >= length) return loop_.stop();
        advance();
        loop_.after(advancePeriod, step);
    };
    step();
    loop_.run();
    for (int i = 0; i < spec_.nodes; ++i) kill(i);
    simulation_ = nullptr;
}

}  // namespace fawnwheel::loopback
