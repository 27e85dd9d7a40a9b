/// HTTP/1.1 client with a pool of idle connections per endpoint.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::transport {

/// Each connection carries one request at a time. Not thread-safe: must be used on the event loop
/// thread, where the callbacks run. Callbacks of requests still in progress when the client is
/// destroyed are never called.
class HttpClient : public Client {
 public:
  /// Requests that would need more than `max_sockets` connections fail immediately as `not_sent`.
  HttpClient(asio::io_context& io, Clock& clock, size_t max_sockets);
  ~HttpClient() override;

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void call(const std::string& endpoint, Request request, Seconds timeout,
            OnReply on_reply) override;

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  /// Returns an idle connection to an endpoint, or nullptr if there is none.
  ConnectionPtr take_idle(const std::string& endpoint);
  void add_idle(const ConnectionPtr& connection);
  /// Closes the `count` connections that have been idle the longest.
  void close_longest_idle(size_t count);
  void close_expired();
  void schedule_close_expired();

  asio::io_context& io_;
  Clock& clock_;
  size_t max_sockets_;
  size_t open_connections_ = 0;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> idle_;  // by endpoint
  // Gives connections access to the client. Set to nullptr when the client is destroyed, as a
  // connection with handlers pending in the event loop may outlive it.
  std::shared_ptr<HttpClient*> self_;
  CallbackScope scope_;
};

}  // namespace larkroad::transport
