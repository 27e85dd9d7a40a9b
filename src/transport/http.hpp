// HTTP messages and the interfaces between the transport and everything above it.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "transport/clock.hpp"

namespace larkroad::transport {

// Bodies above this are refused by the server; the protocol's own limit.
inline constexpr size_t kBodyLimit = size_t{64} * 1024;

struct Request {
  std::string method;
  std::string target;  // path and query, as on the wire
  std::string body;
};

struct Response {
  int status = 0;
  std::string body;
  int retry_after_s = 0;  // 0: no Retry-After
  // Whoever asked loses little with its connection: a crowded server closes it after the answer.
  bool brief = false;
};

enum class Outcome {
  answered,
  not_sent,  // no connection: the request cannot take effect, now or later
  unknown,   // sent, but no answer: it may take effect, perhaps minutes later
};

using OnReply = std::function<void(Outcome, Response)>;

class Client {
 public:
  virtual ~Client() = default;
  virtual void call(const std::string& endpoint, Request request, Seconds timeout,
                    OnReply on_reply) = 0;
};

using Respond = std::function<void(Response)>;
using Handler = std::function<void(Request, Respond)>;

}  // namespace larkroad::transport
