/// HTTP/1.1 client with a pool of idle connections to each endpoint.
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

/// Each connection carries one request at a time. Not thread-safe: to be used on the thread of the
/// event loop, where the callbacks run. Requests that are under way when the client is destroyed
/// are not answered.
class HttpClient : public Client {
 public:
  /// `max_sockets`: requests beyond it fail at once as not sent.
  HttpClient(asio::io_context& io, Clock& clock, size_t max_sockets);
  ~HttpClient() override;

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void call(const std::string& endpoint, Request request, Seconds timeout,
            OnReply on_reply) override;

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  /// Returns an idle connection to an endpoint, or nullptr.
  ConnectionPtr take_idle(const std::string& endpoint);
  void add_idle(const ConnectionPtr& connection);
  /// Closes the `count` connections that have been idle for longest.
  void close_longest_idle(size_t count);
  void close_expired();
  void schedule_close_expired();

  asio::io_context& io_;
  Clock& clock_;
  size_t max_sockets_;
  size_t open_connections_ = 0;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> idle_;  // by endpoint
  // What connections reach the client by: holds nullptr once the client is destroyed, which a
  // connection whose handlers still wait in the event loop may outlive.
  std::shared_ptr<HttpClient*> self_;
  CallbackScope scope_;
};

}  // namespace larkroad::transport
