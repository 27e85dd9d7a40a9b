/// HTTP messages, and the interfaces between the transport and the layers above it.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "transport/clock.hpp"

namespace larkroad::transport {

/// The protocol's limit on the size of a request body in bytes; the server rejects larger ones.
inline constexpr size_t kBodyLimit = size_t{64} * 1024;

struct Request {
  std::string method;
  std::string target;  ///< path and query, as sent on the wire
  std::string body;
};

struct Response {
  int status = 0;
  std::string body;
  int retry_after_s = 0;  ///< value of the Retry-After header; 0 means that it is not sent
  /// Closing the connection costs this client little. A server close to its connection limit closes
  /// it after this response.
  bool close_near_limit = false;
};

/// Outcome of a request.
enum class Outcome {
  answered,
  not_sent,  ///< no connection: the request can never take effect
  unknown,   ///< sent, but not answered: it may still take effect, even minutes later
};

/// The response is valid only if the outcome is `answered`.
using OnReply = std::function<void(Outcome, Response)>;

/// Sends requests to other hosts.
class Client {
 public:
  virtual ~Client() = default;
  /// Sends a request to an endpoint (HOST:PORT) and calls `on_reply` exactly once, at the latest
  /// after `timeout`.
  virtual void call(const std::string& endpoint, Request request, Seconds timeout,
                    OnReply on_reply) = 0;
};

/// Sends the response to a request. May be called at any later time; only the first call has an
/// effect.
using Respond = std::function<void(Response)>;
using Handler = std::function<void(Request, Respond)>;

}  // namespace larkroad::transport
