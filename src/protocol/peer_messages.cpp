#include "protocol/peer_messages.hpp"

#include <utility>

#include "protocol/json.hpp"

namespace larkroad::protocol {
namespace {

Json encode_jobs(const std::vector<JobProgress>& jobs) {
  Json encoded = Json::object();
  for (const auto& progress : jobs) encoded[progress.job] = {progress.done, progress.running};
  return encoded;
}

std::vector<JobProgress> parse_jobs(const Json& encoded) {
  std::vector<JobProgress> jobs;
  for (const auto& [job, counts] : encoded.items()) {
    try {
      jobs.push_back({job, counts.at(0).get<std::uint32_t>(), counts.at(1).get<std::uint32_t>()});
    } catch (const Json::exception& error) {
      throw Malformed(std::string("jobs: ") + error.what());
    }
  }
  return jobs;
}

}  // namespace

std::string encode_peer_status(const PeerStatus& status) {
  Json message{{"member", status.member},
               {"served", status.store_available},
               {"token", status.fencing_token}};
  if (status.version) message["version"] = *status.version;
  if (status.receives_heartbeats) message["workers"] = true;
  if (status.relays_to) message["relays_to"] = *status.relays_to;
  if (status.distributes_workers) message["spread"] = *status.distributes_workers;
  if (status.jobs) message["jobs"] = encode_jobs(*status.jobs);
  return message.dump();
}

PeerStatus parse_peer_status(const std::string& body) {
  const Json message = parse_object(body);
  PeerStatus status;
  status.member = text(message, "member");
  status.store_available = boolean(message, "served");
  status.fencing_token = integer(message, "token");
  if (find(message, "version") != nullptr) status.version = integer(message, "version");
  status.receives_heartbeats = find(message, "workers") != nullptr;
  if (const Json* relays_to = find(message, "relays_to");
      relays_to != nullptr && relays_to->is_string()) {
    status.relays_to = relays_to->get<std::string>();
  }
  if (find(message, "spread") != nullptr) status.distributes_workers = boolean(message, "spread");
  if (const Json* jobs = find(message, "jobs"); jobs != nullptr && jobs->is_object()) {
    status.jobs = parse_jobs(*jobs);
  }
  return status;
}

std::string encode_forwarded_request(const ForwardedRequest& request) {
  return Json{{"method", request.method}, {"target", request.target}, {"body", request.body}}
      .dump();
}

ForwardedRequest parse_forwarded_request(const std::string& body) {
  const Json message = parse_object(body);
  return {text(message, "method"), text(message, "target"), text(message, "body")};
}

std::string encode_forwarded_response(const ForwardedResponse& response) {
  return Json{
      {"status", response.status}, {"body", response.body}, {"retry_after", response.retry_after_s}}
      .dump();
}

ForwardedResponse parse_forwarded_response(const std::string& body) {
  const Json message = parse_object(body);
  return {static_cast<int>(integer(message, "status")), text(message, "body"),
          static_cast<int>(integer(message, "retry_after"))};
}

std::string encode_cancellation_notice(const CancellationNotice& notice) {
  return Json{{"member", notice.member}, {"job", notice.job}}.dump();
}

CancellationNotice parse_cancellation_notice(const std::string& body) {
  const Json message = parse_object(body);
  return {text(message, "member"), text(message, "job")};
}

}  // namespace larkroad::protocol
