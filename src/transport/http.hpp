/// HTTP messages, and the interfaces between the transport and everything above it.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "transport/clock.hpp"

namespace larkroad::transport {

/// The protocol's limit on the body of a request; the server refuses larger ones.
inline constexpr size_t kBodyLimit = size_t{64} * 1024;

struct Request {
  std::string method;
  std::string target;  ///< path and query, as on the wire
  std::string body;
};

struct Response {
  int status = 0;
  std::string body;
  int retry_after_s = 0;  ///< the header Retry-After; 0: without it
  /// The client loses little with its connection. A server that is short of connections closes it
  /// after this response.
  bool brief = false;
};

/// What became of a request.
enum class Outcome {
  answered,
  not_sent,  ///< no connection: the request cannot take effect, now or later
  unknown,   ///< sent, but not answered: it may take effect, perhaps minutes later
};

/// The response is of use only when the outcome is `answered`.
using OnReply = std::function<void(Outcome, Response)>;

/// Sends requests to other hosts.
class Client {
 public:
  virtual ~Client() = default;
  /// Sends a request to an endpoint (HOST:PORT) and calls `on_reply` once, after `timeout` at the
  /// latest.
  virtual void call(const std::string& endpoint, Request request, Seconds timeout,
                    OnReply on_reply) = 0;
};

/// Answers a request. Only the first call counts; it may be made at any later time.
using Respond = std::function<void(Response)>;
using Handler = std::function<void(Request, Respond)>;

}  // namespace larkroad::transport
