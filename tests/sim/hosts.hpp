/// Names and addresses of the hosts of a simulated deployment.
#pragma once

#include <string>

#include "protocol/json.hpp"
#include "transport/http.hpp"

namespace larkroad::sim {

using protocol::Json;
using transport::OnReply;
using transport::Outcome;
using transport::Request;
using transport::Respond;
using transport::Response;

inline constexpr size_t kControllers = 3;

inline constexpr const char* kStoreHost = "store";
inline constexpr const char* kCloudHost = "cloud";
inline constexpr const char* kUsersHost = "users";
/// All machines together, for use in partitions. A single machine is identified by its own name.
inline constexpr const char* kWorkersHost = "workers";

inline constexpr const char* kStoreAddress = "10.2.0.1";
inline constexpr const char* kCloudAddress = "10.2.0.2";
inline constexpr const char* kClientPort = ":8080";
inline constexpr const char* kPeerPort = ":8081";

inline std::string controller_name(size_t controller) {
  return "node-" + std::to_string(controller);
}
inline bool is_controller(const std::string& host) { return host.starts_with("node-"); }
inline size_t controller_index(const std::string& host) {
  return static_cast<size_t>(host.back() - '0');
}
inline std::string controller_address(size_t controller) {
  return "10.0.0." + std::to_string(controller + 1);
}
inline bool is_machine(const std::string& host) { return host.starts_with("i-"); }

}  // namespace larkroad::sim
