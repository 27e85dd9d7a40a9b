/// HTTP/1.1 server with one handler for all requests and limits on time, size and connections.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>

#include "settings.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::transport {

/// Each connection processes one request at a time; pipelined requests wait for the previous
/// response. Not thread-safe: must be used on the event loop thread, where the handler runs.
class HttpServer {
 public:
  /// Starts listening immediately. Connections beyond `max_connections` wait to be accepted. Throws
  /// std::system_error if it cannot listen.
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
  void handle_session_closed();
  bool near_connection_limit() const;

  Clock& clock_;
  asio::ip::tcp::acceptor acceptor_;
  size_t max_connections_;
  size_t open_connections_ = 0;
  bool accept_suspended_ = false;  // until a session closes
  Handler handler_;
  // Gives sessions access to the server. Set to nullptr when the server is destroyed, as a session
  // with handlers pending in the event loop may outlive it.
  std::shared_ptr<HttpServer*> self_;
  CallbackScope scope_;
};

}  // namespace larkroad::transport
