#include "sim/first_version.hpp"

#include "protocol/json.hpp"

namespace larkroad::sim {
namespace {

using protocol::Json;
using transport::Request;

std::optional<Request> convert_transaction(const Request& request) {
  Json transaction = Json::parse(request.body);
  for (Json& item : transaction.at("apply")) {
    const std::string key = item.contains("write") ? item.at("write") : item.at("drop");
    if (key.starts_with("v/")) return std::nullopt;
    if (key.starts_with("j/") && item.contains("write")) item.at("data").erase("service");
  }
  return Request{request.method, request.target, transaction.dump()};
}

}  // namespace

std::optional<Request> convert_to_first_version(const Request& request) {
  if (request.target == "/commit") return convert_transaction(request);
  if (request.target != "/peer") return request;
  Json message = Json::parse(request.body);
  message.erase("version");
  return Request{request.method, request.target, message.dump()};
}

}  // namespace larkroad::sim
