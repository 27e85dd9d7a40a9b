/// Routing of user requests by method and path.
#pragma once

#include <string>

namespace larkroad::protocol {

/// Health check path, polled by the load balancer.
inline constexpr const char* kHealthPath = "/healthz";

enum class UserCall {
  submit,  // POST /v2/runs
  query,   // GET /v2/runs/{id}
  cancel,  // POST /v2/runs/{id}/cancel
  health,  // GET /healthz
  none,    // unknown path
};

struct UserTarget {
  UserCall call = UserCall::none;
  std::string id;             // set for query and cancel; not validated as a job id
  bool wrong_method = false;  // the path exists, but does not support this method
};

/// `target` is the path with an optional query string, which is ignored.
UserTarget route_user_call(const std::string& method, const std::string& target);

}  // namespace larkroad::protocol
