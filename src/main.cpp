/// Entry point of the `larkroad` program. `larkroad serve` runs one controller until the process is
/// terminated.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>

#include "coordination/controller/controller.hpp"
#include "log.hpp"
#include "settings.hpp"
#include "transport/asio_clock.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace {

using namespace larkroad;

// Shares of the socket limit from the settings: connections from users and workers, connections
// from peers, and outgoing connections. The remainder covers listening sockets and connections that
// are being closed.
constexpr double kClientSocketShare = 0.7;
constexpr double kPeerSocketShare = 0.05;
constexpr double kOutgoingSocketShare = 0.2;
constexpr double kMinSockets = 4;

std::size_t socket_limit(const Settings& settings, double share) {
  return static_cast<std::size_t>(std::max(kMinSockets, settings.sockets * share));
}

Settings load_all_settings(const std::string& settings_path, const std::string& operators_path) {
  Settings settings = load_settings(settings_path);
  if (!operators_path.empty()) settings.operators = load_operators(operators_path);
  return settings;
}

std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : "";
}

std::string format_limit(double limit) {
  return limit < kNoLimit ? fmt::format("{}", limit) : "none";
}

void log_settings(const Settings& settings) {
  spdlog::info("controller started: member={} controllers={} zone={}", settings.member,
               settings.controller_count(), settings.zone);
  for (const auto& team : settings.teams) {
    spdlog::info("team configured: team={} cpus={} cpus_max={} gpus={} gpus_max={}", team.name,
                 team.cpus, format_limit(team.cpus_max), team.gpus, format_limit(team.gpus_max));
  }
}

/// Runs the event loop until it is stopped.
void run_event_loop(asio::io_context& io) {
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception& error) {
      // This is a bug, but a single failing handler must not terminate the controller.
      spdlog::error("unhandled exception in event loop: error={}", error.what());
    }
  }
}

void serve(const Settings& settings) {
  asio::io_context io(1);
  transport::AsioClock clock(io);
  transport::HttpClient client(io, clock, socket_limit(settings, kOutgoingSocketShare));
  coordination::Controller controller(clock, client, settings);
  const transport::HttpServer client_server(
      io, clock, settings.client_listen, socket_limit(settings, kClientSocketShare),
      [&controller](transport::Request request, transport::Respond respond) {
        controller.handle_client(std::move(request), std::move(respond));
      });
  const transport::HttpServer peer_server(
      io, clock, settings.peer_bind, socket_limit(settings, kPeerSocketShare),
      [&controller](transport::Request request, transport::Respond respond) {
        controller.handle_peer(std::move(request), std::move(respond));
      });
  controller.start();
  run_event_loop(io);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"larkroad, a cluster scheduler"};
  app.set_version_flag("--version", "larkroad " LARKROAD_VERSION);
  app.require_subcommand(1);
  std::string settings_path;
  std::string operators_path;
  CLI::App* serve_command = app.add_subcommand("serve", "Run a controller");
  serve_command->add_option("--config", settings_path, "Settings file (TOML)")->required();
  serve_command->add_option("--operators", operators_path, "Operator settings file (TOML)");
  CLI11_PARSE(app, argc, argv);

  try {
    const Settings settings = load_all_settings(settings_path, operators_path);
    init_logging(environment_variable("LOG_LEVEL"), settings.member);
    log_settings(settings);
    serve(settings);
    return EXIT_SUCCESS;
  } catch (const std::exception& error) {
    std::cerr << "larkroad: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
