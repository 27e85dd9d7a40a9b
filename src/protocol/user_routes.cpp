#include "protocol/user_routes.hpp"

#include <string_view>
#include <utility>

namespace larkroad::protocol {
namespace {

constexpr std::string_view kJobsPath = "/v2/runs";
constexpr std::string_view kCancelSuffix = "/cancel";

// Routes a path below `kJobsPath`, which contains a job id.
UserTarget route_job_path(const std::string& path) {
  UserTarget target;
  std::string id = path.substr(kJobsPath.size() + 1);
  target.call = UserCall::query;
  if (id.ends_with(kCancelSuffix)) {
    target.call = UserCall::cancel;
    id.resize(id.size() - kCancelSuffix.size());
  }
  if (id.empty() || id.find('/') != std::string::npos) return {};
  target.id = std::move(id);
  return target;
}

UserTarget route_path(const std::string& path) {
  if (path == kHealthPath) return {UserCall::health, "", false};
  if (path == kJobsPath) return {UserCall::submit, "", false};
  if (path.starts_with(std::string(kJobsPath) + "/")) return route_job_path(path);
  return {};
}

const char* allowed_method(UserCall call) {
  return call == UserCall::submit || call == UserCall::cancel ? "POST" : "GET";
}

}  // namespace

UserTarget route_user_call(const std::string& method, const std::string& target) {
  UserTarget route = route_path(target.substr(0, target.find('?')));
  if (route.call != UserCall::none) route.wrong_method = method != allowed_method(route.call);
  return route;
}

}  // namespace larkroad::protocol
