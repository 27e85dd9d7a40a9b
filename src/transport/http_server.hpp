// HTTP/1.1 server: one handler for all requests, with limits on time, size and connections.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "settings.hpp"
#include "transport/http.hpp"

namespace larkroad::transport {

class HttpServer {
 public:
  // Throws std::system_error when it cannot listen.
  HttpServer(asio::io_context& io, Clock& clock, const Address& listen, size_t max_connections,
             Handler handler);

 private:
  class Session;
  void accept();

  asio::io_context& io_;
  Clock& clock_;
  asio::ip::tcp::acceptor acceptor_;
  size_t max_connections_;
  size_t open_ = 0;
  bool waiting_ = false;
  Handler handler_;
};

}  // namespace larkroad::transport
