#include "storage/records.hpp"

#include <algorithm>

#include "protocol/job_spec_record.hpp"

namespace larkroad::storage {
namespace {

// A placed task in the worst case: [99999,18446744073709551615,"i-0000000000000",1844674407],
constexpr double kBytesPerTask = 64;

}  // namespace

std::string job_key(const std::string& id) { return kJobPrefix + id; }
std::string finished_key(const std::string& id) { return "d/" + id; }
std::string relay_request_key(const std::string& member, const std::string& slot) {
  return kRelayRequestPrefix + member + "/" + slot;
}
std::string relay_answer_key(const std::string& member, const std::string& slot) {
  return "a/" + member + "/" + slot;
}
std::string version_key(const std::string& member) { return kVersionPrefix + member; }
std::string placement_key(const std::string& id, std::uint32_t shard) {
  return kPlacementPrefix + id + "/" + std::to_string(shard);
}

bool parse_placement_key(const std::string& key, std::string& id, std::uint32_t& shard) {
  const std::string prefix = kPlacementPrefix;
  const auto slash = key.rfind('/');
  if (!key.starts_with(prefix) || slash < prefix.size() || slash + 1 == key.size() ||
      key.size() - slash > 8) {
    return false;
  }
  id = key.substr(prefix.size(), slash - prefix.size());
  shard = 0;
  for (size_t i = slash + 1; i < key.size(); ++i) {
    if (key[i] < '0' || key[i] > '9') return false;
    shard = shard * 10 + static_cast<std::uint32_t>(key[i] - '0');
  }
  return true;
}

Json encode(const JobRecord& record) {
  Json out = protocol::encode_spec(record.spec);
  out["at"] = record.submitted_at;
  out["chunk"] = record.tasks_per_shard;
  if (record.cancelled) out["cancelled"] = true;
  return out;
}

JobRecord decode_job(const std::string& id, const Json& data) {
  JobRecord record;
  record.spec = protocol::decode_spec(id, data);
  record.submitted_at = protocol::amount(data, "at");
  record.tasks_per_shard =
      static_cast<std::uint32_t>(std::max<std::uint64_t>(1, protocol::integer(data, "chunk")));
  record.cancelled =
      protocol::find(data, "cancelled") != nullptr && protocol::boolean(data, "cancelled");
  return record;
}

Json encode(const PlacementRecord& record) {
  Json out{{"attempt", record.attempt}};
  Json done = Json::array();
  for (const auto& [first, last] : record.done) done.push_back({first, last});
  if (!done.empty()) out["done"] = std::move(done);
  Json placed = Json::array();
  for (const auto& p : record.placed) {
    placed.push_back(Json::array({p.task, p.attempt, p.machine, p.incarnation}));
  }
  if (!placed.empty()) out["placed"] = std::move(placed);
  return out;
}

PlacementRecord decode_placement_record(const Json& data) {
  PlacementRecord record;
  record.attempt = protocol::integer(data, "attempt");
  if (const Json* done = protocol::find(data, "done")) {
    for (const Json& range : *done) {
      record.done.emplace_back(range.at(0).get<std::uint32_t>(), range.at(1).get<std::uint32_t>());
    }
  }
  if (const Json* placed = protocol::find(data, "placed")) {
    for (const Json& p : *placed) {
      record.placed.push_back({p.at(0).get<std::uint32_t>(), p.at(1).get<std::uint64_t>(),
                               p.at(2).get<std::string>(), p.at(3).get<std::uint64_t>()});
    }
  }
  return record;
}

Json encode(const FinishedRecord& record) {
  return Json{{"cancelled", record.cancelled}, {"tasks", record.tasks}};
}

FinishedRecord decode_finished(const Json& data) {
  return {protocol::boolean(data, "cancelled"),
          static_cast<std::uint32_t>(protocol::integer(data, "tasks"))};
}

Json encode(const Images& images) {
  Json out = Json::array();
  for (const auto& [name, gb] : images) out.push_back(Json::array({name, gb}));
  return Json{{"images", std::move(out)}};
}

Images decode_images(const Json& data) {
  Images out;
  for (const Json& image : protocol::array(data, "images")) {
    out.emplace_back(image.at(0).get<std::string>(), image.at(1).get<double>());
  }
  return out;
}

Json encode(const RelayRequestRecord& record) {
  return Json{{"number", record.number}, {"batch", protocol::batch_to_json(record.batch)}};
}

RelayRequestRecord decode_relay_request(const Json& data) {
  return {protocol::integer(data, "number"),
          protocol::batch_from_json(protocol::need(data, "batch"))};
}

Json encode(const RelayAnswerRecord& record) {
  return Json{
      {"number", record.number}, {"status", record.status}, {"body", Json::parse(record.body)}};
}

RelayAnswerRecord decode_relay_answer(const Json& data) {
  return {protocol::integer(data, "number"), static_cast<int>(protocol::integer(data, "status")),
          protocol::need(data, "body").dump()};
}

Json encode_version(std::uint64_t version) { return Json{{"version", version}}; }

std::uint64_t decode_version(const Json& data) { return protocol::integer(data, "version"); }

std::uint32_t max_tasks_per_shard(double value_kb) {
  return static_cast<std::uint32_t>(std::clamp(value_kb * 1024 / kBytesPerTask, 1.0, 1024.0));
}

size_t encoded_size(const Json& record) { return record.dump().size(); }

bool fits_value(const Json& record, double value_bytes) {
  return static_cast<double>(encoded_size(record)) <= value_bytes;
}

Json encode_within(JobRecord record, double value_bytes) {
  Json out = encode(record);
  if (!record.cancelled || fits_value(out, value_bytes)) return out;
  record.spec.types.reset();
  record.spec.zone.reset();
  record.spec.image.clear();
  record.spec.job_class.clear();
  return encode(record);
}

bool can_be_cancelled_within(JobRecord record, double value_bytes) {
  record.cancelled = true;
  return fits_value(encode(record), value_bytes);
}

}  // namespace larkroad::storage
