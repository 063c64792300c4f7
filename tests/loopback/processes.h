// Controllers as real processes on loopback. The simulated state service, cloud and workers serve
// them over real sockets.
#pragma once

#include <sys/types.h>

#include "sim/simulation.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/loop.h"

namespace fawnwheel::loopback {

struct ProcessSpec {
    std::string daemon;        // path of the fawnwheeld program
    std::string operatorFile;  // path of the operators' settings
    std::string directory;     // for settings and logs
    int nodes = 3;
    std::vector<std::string> zones;
    std::vector<config::Team> teams;
    sim::Time lease{30};
    sim::Time cancel{60};
};

class Processes final : public sim::ExternalNodes {
  public:
    explicit Processes(ProcessSpec spec);
    ~Processes() override;
    Processes(const Processes&) = delete;
    Processes& operator=(const Processes&) = delete;

    void start(int node) override;
    void kill(int node) override;  // SIGKILL
    [[nodiscard]] bool up(int node) const override;
    void request(int node, const transport::HttpRequest& request,
                 transport::HttpReply reply) override;
    std::string addressOf(const std::string& machine) override;

    // Runs the simulation in real time for so long, then kills the processes.
    void runFor(sim::Simulation& simulation, sim::Time length);
    // Number of processes that exited without being killed.
    [[nodiscard]] int unexpectedExits() const { return unexpectedExits_; }

  private:
    struct Process {
        std::string name;
        std::string front;
        std::string internal;
        // Address of the state service: one per node, so that the service knows which node calls.
        std::string state;
        std::string settingsFile;
        pid_t pid = -1;
        std::unique_ptr<transport::HttpServer> stateServer;
    };

    void writeSettings(const Process& process) const;
    [[nodiscard]] std::unique_ptr<transport::HttpServer> serve(const std::string& address,
                                                               const std::string& from,
                                                               const std::string& host);
    void advance();
    void recordUnexpectedExits();

    ProcessSpec spec_;
    transport::Loop loop_;
    transport::HttpClient client_;
    sim::Simulation* simulation_ = nullptr;
    transport::SteadyTime began_{};
    std::string cloud_;
    std::unique_ptr<transport::HttpServer> cloudServer_;
    std::vector<Process> processes_;
    struct Machine {
        std::string address;
        std::unique_ptr<transport::HttpServer> server;
    };
    std::map<std::string, Machine> machines_;
    int unexpectedExits_ = 0;
};

}  // namespace fawnwheel::loopback
