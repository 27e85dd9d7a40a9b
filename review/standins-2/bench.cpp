#include "bench.hpp"

#include <asio/ip/tcp.hpp>
#include <cstdio>
#include <set>

namespace standin {

Bench::Bench(const std::string& record_path)
    : started_at_(clock.now()), record_(record_path, std::ios::trunc) {}

void Bench::after(Seconds delay, std::function<void()> action) {
  clock.after(delay, std::move(action));
}

void Bench::every(Seconds period, std::function<void()> action) {
  clock.after(period, [this, period, action = std::move(action)] {
    action();
    every(period, action);
  });
}

void Bench::record(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", now());
  record_ << time << line << '\n' << std::flush;
}

std::unique_ptr<larkroad::transport::HttpServer> Bench::serve(
    unsigned short port, std::function<void(Request, Respond)> handler) {
  return std::make_unique<larkroad::transport::HttpServer>(
      io, clock, larkroad::Address{"127.0.0.1", port}, 2000, std::move(handler));
}

// Ports below those that the system gives to outgoing connections.
unsigned short free_port() {
  static std::set<unsigned short> given;
  static std::mt19937 random{std::random_device{}()};
  asio::io_context io;
  for (;;) {
    const auto port = std::uniform_int_distribution<unsigned short>(12'000, 32'000)(random);
    if (!given.insert(port).second) continue;
    asio::ip::tcp::acceptor acceptor(io);
    asio::error_code error;
    acceptor.open(asio::ip::tcp::v4());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind({asio::ip::address_v4::loopback(), port}, error);
    if (!error) return port;
  }
}

std::string loopback(unsigned short port) { return "127.0.0.1:" + std::to_string(port); }

std::string parameter(const std::string& target, const std::string& name) {
  const auto question_mark = target.find('?');
  if (question_mark == std::string::npos) return "";
  std::string query = "&" + target.substr(question_mark + 1);
  const std::string wanted = "&" + name + "=";
  const auto at = query.find(wanted);
  if (at == std::string::npos) return "";
  const auto begin = at + wanted.size();
  const auto end = query.find('&', begin);
  return query.substr(begin, end == std::string::npos ? end : end - begin);
}

}  // namespace standin
