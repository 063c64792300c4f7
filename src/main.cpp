/// @file
/// The daemon: reads the settings, connects the layers and runs until the process is stopped.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <random>

#include "config/settings.h"
#include "coordination/controller.h"
#include "transport/http_server.h"
#include "transport/tcp_network.h"

namespace {

using namespace fawnwheel;

constexpr int settingsErrorStatus = 2;
// Fractions of the sockets for connections from users and workers, and for commands to workers. The
// remaining sockets are for peers, the state service and the cloud.
constexpr double frontFractionOfSockets = 0.8;
constexpr double commandFractionOfSockets = 0.1;

std::size_t fractionOf(std::size_t sockets, double fraction) {
    return static_cast<std::size_t>(static_cast<double>(sockets) * fraction);
}

void configureLogging() {
    auto logger = spdlog::stderr_logger_st("fawnwheel");
    spdlog::set_default_logger(logger);
    spdlog::set_pattern("%L %v");
    const char* level = std::getenv("LOG_LEVEL");
    const std::string word = level == nullptr ? "info" : level;
    spdlog::set_level(word == "debug"   ? spdlog::level::debug
                      : word == "error" ? spdlog::level::err
                                        : spdlog::level::info);
    spdlog::flush_on(spdlog::level::info);
}

int serve(const config::Settings& settings, const config::OperatorSettings& operatorSettings) {
    transport::Loop loop;
    std::map<std::string, std::string> peers;
    for (const auto& peer : settings.peers) peers[peer.name] = peer.address;
    coordination::Controller* controller = nullptr;
    transport::HttpClient client(loop, fractionOf(settings.sockets, commandFractionOfSockets),
                                 {settings.stateAddress, settings.cloudAddress});
    transport::TcpNetwork network(loop, std::move(client), settings.internalAddress, peers,
                                  [&controller](const std::string& payload) {
                                      if (controller != nullptr) controller->onFrame(payload);
                                  });
    coordination::Controller service(settings, operatorSettings, loop, network,
                                     std::random_device{}());
    controller = &service;
    const transport::HttpServer front(
        loop, settings.frontAddress, fractionOf(settings.sockets, frontFractionOfSockets),
        [&service](const transport::HttpRequest& request, transport::HttpReply reply) {
            service.onRequest(request, std::move(reply));
        });
    spdlog::info("fawnwheel {} serves on {} as {}", FAWNWHEEL_VERSION, settings.frontAddress,
                 settings.name);
    service.start();
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App options("fawnwheeld: a cluster scheduler's controller");
    std::string configFile;
    std::string operatorFile;
    bool checkOnly = false;
    options.add_option("--config", configFile, "the platform's settings (JSON)")->required();
    options.add_option("--operator", operatorFile, "the operators' settings (INI)");
    options.add_flag("--check", checkOnly, "read the settings and exit");
    options.set_version_flag("--version", std::string("fawnwheeld ") + FAWNWHEEL_VERSION);
    try {
        options.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        const int code = options.exit(error);
        return code == 0 ? 0 : settingsErrorStatus;
    }
    try {
        configureLogging();
        const auto settings = config::loadSettings(configFile);
        const auto operatorSettings = operatorFile.empty()
                                          ? config::OperatorSettings{}
                                          : config::loadOperatorSettings(operatorFile);
        if (checkOnly) return 0;
        return serve(settings, operatorSettings);
    } catch (const config::SettingsError& error) {
        std::cerr << "fawnwheeld: " << error.what() << '\n';
        return settingsErrorStatus;
    } catch (const std::exception& error) {
        std::cerr << "fawnwheeld: " << error.what() << '\n';
        return 1;
    }
}
