/// What all stand-ins share: the event loop, the real clock, the record and free loopback ports.
#pragma once

#include <asio/io_context.hpp>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "settings.hpp"
#include "transport/asio_clock.hpp"
#include "transport/http.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace standin {

using Json = nlohmann::json;
using larkroad::transport::Outcome;
using larkroad::transport::Request;
using larkroad::transport::Respond;
using larkroad::transport::Response;
using larkroad::transport::Seconds;

class Bench {
 public:
  explicit Bench(const std::string& record_path);

  /// Seconds since the start of the test.
  Seconds now() const { return clock.now() - started_at_; }
  void after(Seconds delay, std::function<void()> action);
  void every(Seconds period, std::function<void()> action);
  /// Writes one line with the time to the record.
  void record(const std::string& line);
  double random() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  std::unique_ptr<larkroad::transport::HttpServer> serve(
      unsigned short port, std::function<void(Request, Respond)> handler);

  asio::io_context io{1};
  larkroad::transport::AsioClock clock{io};
  larkroad::transport::HttpClient client{io, clock, 2000};

 private:
  Seconds started_at_;
  std::ofstream record_;
  std::mt19937 random_{std::random_device{}()};
};

/// A port of 127.0.0.1 that nobody listens on at present.
unsigned short free_port();
std::string loopback(unsigned short port);
/// The value of a parameter in a query; empty if it is not there.
std::string parameter(const std::string& target, const std::string& name);

}  // namespace standin
