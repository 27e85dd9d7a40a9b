#include "storage/store_messages.hpp"

#include <utility>

#include "transport/http_status.hpp"

namespace larkroad::storage {
namespace {

using transport::Outcome;
using transport::Request;
namespace http_status = transport::http_status;

constexpr const char* kPageSize = "1000";
// The store's bounds on the time to live of a lease.
constexpr double kMinLeaseTtlMs = 100;
constexpr double kMaxLeaseTtlMs = 600'000;

Entry decode_entry_json(const Json& json) {
  return {protocol::text(json, "k"), protocol::required_field(json, "data"),
          protocol::integer(json, "mark")};
}

Event decode_event(const Json& json) {
  Event event;
  event.revision = protocol::integer(json, "mark");
  event.deleted = protocol::find(json, "drop") != nullptr;
  if (event.deleted) {
    event.key = protocol::text(json, "drop");
  } else {
    event.key = protocol::text(json, "write");
    event.data = protocol::required_field(json, "data");
  }
  return event;
}

Json encode_preconditions(const std::vector<Precondition>& preconditions) {
  Json out = Json::array();
  for (const Precondition& condition : preconditions) {
    out.push_back({{"k", condition.key}, {"mark", condition.revision}});
  }
  return out;
}

Json encode_changes(const Transaction& transaction) {
  Json out = Json::array();
  for (const Write& write : transaction.writes) {
    Json item{{"write", write.key}, {"data", write.data}};
    if (write.lease) item["hold"] = *write.lease;
    out.push_back(std::move(item));
  }
  for (const std::string& key : transaction.deletes) out.push_back({{"drop", key}});
  return out;
}

}  // namespace

Status status_of(Outcome outcome, int http_status) {
  if (outcome == Outcome::not_sent) return Status::unavailable;
  if (outcome == Outcome::unknown) return Status::unknown;
  switch (http_status) {
    case http_status::kOk:
      return Status::ok;
    case http_status::kBadRequest:
      return Status::invalid;
    case http_status::kNotFound:
      return Status::missing;
    case http_status::kConflict:
      return Status::conflict;
    case http_status::kGone:
      return Status::too_old;
    case http_status::kTooManyRequests:
    case http_status::kServiceUnavailable:
      return Status::unavailable;
    default:
      return Status::unknown;
  }
}

Request encode_get(const std::string& key) { return {"GET", "/store/" + key, ""}; }

Request encode_list(const std::string& prefix, const std::string& after) {
  std::string target = "/store?starts=" + prefix + "&limit=" + kPageSize;
  if (!after.empty()) target += "&since=" + after;
  return {"GET", std::move(target), ""};
}

Request encode_commit(const Transaction& transaction) {
  const Json body{{"guards", encode_preconditions(transaction.preconditions)},
                  {"apply", encode_changes(transaction)}};
  return {"POST", "/commit", body.dump()};
}

Request encode_grant(Seconds ttl) {
  const double ttl_ms = std::clamp(ttl * 1000, kMinLeaseTtlMs, kMaxLeaseTtlMs);
  return {"POST", "/grants", Json{{"lifeMs", static_cast<std::uint64_t>(ttl_ms)}}.dump()};
}

Request encode_extend(std::uint64_t lease) {
  return {"POST", "/grants/" + std::to_string(lease) + "/extend", ""};
}

Request encode_release(std::uint64_t lease) {
  return {"DELETE", "/grants/" + std::to_string(lease), ""};
}

Request encode_watch(const std::string& prefix, std::uint64_t since, Seconds block) {
  const auto block_ms = static_cast<long>(block * 1000);
  return {"GET",
          "/watch?starts=" + prefix + "&since=" + std::to_string(since) +
              "&blockMs=" + std::to_string(block_ms),
          ""};
}

Entry decode_entry(const std::string& body) {
  return decode_entry_json(protocol::parse_object(body));
}

ListReply decode_list(const std::string& body) {
  const Json json = protocol::parse_object(body);
  ListReply reply;
  reply.status = Status::ok;
  for (const Json& item : protocol::array(json, "pairs")) {
    reply.entries.push_back(decode_entry_json(item));
  }
  reply.more = protocol::find(json, "more") != nullptr && protocol::boolean(json, "more");
  reply.revision = protocol::integer(json, "ledger");
  return reply;
}

WatchReply decode_watch(const std::string& body) {
  const Json json = protocol::parse_object(body);
  WatchReply reply;
  reply.status = Status::ok;
  reply.revision = protocol::integer(json, "ledger");
  for (const Json& item : protocol::array(json, "events")) {
    reply.events.push_back(decode_event(item));
  }
  return reply;
}

std::uint64_t decode_grant(const std::string& body) {
  return protocol::integer(protocol::parse_object(body), "hold");
}

CommitReply decode_commit(Status status, const std::string& body) {
  CommitReply reply;
  reply.status = status;
  if (status == Status::ok) {
    reply.revision = protocol::integer(protocol::parse_object(body), "ledger");
  } else if (status == Status::conflict) {
    const Json json = protocol::parse_object(body);
    reply.failed = protocol::array(json, "failed").get<std::vector<std::string>>();
  } else if (status == Status::invalid && body.find("no such lease") != std::string::npos) {
    reply.status = Status::no_lease;
  }
  return reply;
}

}  // namespace larkroad::storage
