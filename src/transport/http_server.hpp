/// HTTP/1.1 server: one handler for all requests, with limits on time, size and connections.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>

#include "settings.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::transport {

/// Each connection carries one request at a time: what follows waits for the answer. Not
/// thread-safe: to be used on the thread of the event loop, where the handler runs.
class HttpServer {
 public:
  /// Listens at once. Connections beyond `max_connections` wait to be accepted. Throws
  /// std::system_error when it cannot listen.
  HttpServer(asio::io_context& io, Clock& clock, const Address& listen_address,
             size_t max_connections, Handler handler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  class Session;

  void listen(const Address& address);
  void accept();
  void handle_accepted(const asio::error_code& error, asio::ip::tcp::socket socket);
  void session_ended();
  bool short_of_connections() const;

  Clock& clock_;
  asio::ip::tcp::acceptor acceptor_;
  size_t max_connections_;
  size_t open_connections_ = 0;
  bool accept_suspended_ = false;  // until a session ends
  Handler handler_;
  // What sessions reach their server by: holds nullptr once the server is destroyed, which a
  // session whose handlers still wait in the event loop may outlive.
  std::shared_ptr<HttpServer*> self_;
  CallbackScope scope_;
};

}  // namespace larkroad::transport
