/// Which call a user's request makes, by its method and path.
#pragma once

#include <string>

namespace larkroad::protocol {

/// Probed by the load balancer.
inline constexpr const char* kHealthPath = "/healthz";

enum class UserCall {
  submit,  // POST /v2/runs
  query,   // GET /v2/runs/{id}
  cancel,  // POST /v2/runs/{id}/cancel
  health,  // GET /healthz
  none,    // no such path
};

struct UserTarget {
  UserCall call = UserCall::none;
  std::string id;             // of query and cancel: any text, not only a valid job id
  bool wrong_method = false;  // the path is known, but not with this method
};

/// `target` is the path, with or without a query, which is ignored.
UserTarget route_user_call(const std::string& method, const std::string& target);

}  // namespace larkroad::protocol
