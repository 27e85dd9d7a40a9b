#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>
#include <cstdlib>
#include <iostream>

#include "coordination/controller/controller.hpp"
#include "log.hpp"
#include "settings.hpp"
#include "transport/asio_clock.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace {

using namespace larkroad;

// Sockets, as parts of the limit in the settings: users and workers, peers, outgoing calls. The
// rest is kept for listening sockets and for those that are on their way out.
constexpr double kClientSockets = 0.7;
constexpr double kPeerSockets = 0.05;
constexpr double kOutgoingSockets = 0.2;

int serve(const std::string& config, const std::string& operators) {
  Settings settings = load_settings(config);
  if (!operators.empty()) settings.operators = load_operators(operators);
  init_logging(std::getenv("LOG_LEVEL"), settings.member);
  spdlog::info("larkroad {} of {} controllers, zone {}", settings.member,
               settings.controller_count(), settings.zone);
  const auto limit = [](double most) {
    return most < kNoLimit ? fmt::format("{}", most) : "any number";
  };
  for (const auto& team : settings.teams) {
    spdlog::info("team {}: guaranteed {} CPUs and {} GPUs, at most {} and {}", team.name, team.cpus,
                 team.gpus, limit(team.cpus_max), limit(team.gpus_max));
  }

  asio::io_context io(1);
  transport::AsioClock clock(io);
  const auto sockets = [&](double part) {
    return static_cast<size_t>(std::max(4.0, settings.sockets * part));
  };
  transport::HttpClient client(io, clock, sockets(kOutgoingSockets));
  coordination::Controller node(clock, client, settings);
  transport::HttpServer users(io, clock, settings.client_listen, sockets(kClientSockets),
                              [&node](transport::Request request, transport::Respond respond) {
                                node.handle_client(std::move(request), std::move(respond));
                              });
  transport::HttpServer peers(io, clock, settings.peer_bind, sockets(kPeerSockets),
                              [&node](transport::Request request, transport::Respond respond) {
                                node.handle_peer(std::move(request), std::move(respond));
                              });
  node.start();
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception& error) {
      // One event that goes wrong must not take the controller down; it is a defect all the same.
      spdlog::error("unexpected: {}", error.what());
    }
  }
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"larkroad, a cluster scheduler"};
  app.set_version_flag("--version", "larkroad " LARKROAD_VERSION);
  app.require_subcommand(1);
  std::string config;
  CLI::App* serve_command = app.add_subcommand("serve", "Run as one of the controllers");
  serve_command->add_option("--config", config, "Settings file (TOML)")->required();
  std::string operators;
  serve_command->add_option("--operators", operators, "The operators' own settings (TOML)");
  CLI11_PARSE(app, argc, argv);

  try {
    return serve(config, operators);
  } catch (const std::exception& error) {
    std::cerr << "larkroad: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
