#include "protocol/relay_messages.hpp"

namespace larkroad::protocol {

namespace {

Json encode_short(const Heartbeat& heartbeat) {
  Json tasks = Json::array();
  for (const auto& task : heartbeat.tasks) {
    tasks.push_back(
        Json::array({task.id.job, task.id.task, task.attempt, static_cast<int>(task.state),
                     static_cast<int>(task.cause), task.saved ? 1 : 0}));
  }
  return Json::array(
      {heartbeat.machine, heartbeat.address, heartbeat.type, heartbeat.zone, heartbeat.spot,
       heartbeat.incarnation, heartbeat.sequence, heartbeat.fencing_token,
       heartbeat.reclaim_notice_s ? Json(*heartbeat.reclaim_notice_s) : Json(nullptr),
       std::move(tasks)});
}

Heartbeat parse_short(const Json& data) {
  Heartbeat heartbeat;
  heartbeat.machine = data.at(0).get<std::string>();
  heartbeat.address = data.at(1).get<std::string>();
  heartbeat.type = data.at(2).get<std::string>();
  heartbeat.zone = data.at(3).get<std::string>();
  heartbeat.spot = data.at(4).get<bool>();
  heartbeat.incarnation = data.at(5).get<std::uint64_t>();
  heartbeat.sequence = data.at(6).get<std::uint64_t>();
  heartbeat.fencing_token = data.at(7).get<std::uint64_t>();
  if (!data.at(8).is_null()) heartbeat.reclaim_notice_s = data.at(8).get<double>();
  for (const Json& task : data.at(9)) {
    const auto state = task.at(3).get<unsigned>();
    const auto cause = task.at(4).get<unsigned>();
    if (state > static_cast<unsigned>(TaskState::exited) ||
        cause > static_cast<unsigned>(ExitCause::unknown)) {
      throw Malformed("a task in a short report has an unknown state or cause");
    }
    heartbeat.tasks.push_back({{task.at(0).get<std::string>(), task.at(1).get<std::uint32_t>()},
                               task.at(2).get<std::uint64_t>(),
                               static_cast<TaskState>(state),
                               static_cast<ExitCause>(cause),
                               task.at(5).get<int>() != 0});
  }
  return heartbeat;
}

}  // namespace

Json batch_to_json(const RelayBatch& batch) {
  Json heartbeats = Json::array();
  for (const auto& heartbeat : batch.heartbeats) {
    if (heartbeat.heartbeat) {
      heartbeats.push_back({{"short", encode_short(*heartbeat.heartbeat)}});
    } else if (!heartbeat.payload.empty()) {
      heartbeats.push_back({{"words", heartbeat.payload}});
    } else {
      heartbeats.push_back({{"machine", heartbeat.machine},
                            {"session", heartbeat.incarnation},
                            {"tick", heartbeat.sequence},
                            {"base", heartbeat.base_sequence}});
    }
  }
  return Json{
      {"member", batch.member}, {"token", batch.fencing_token}, {"reports", std::move(heartbeats)}};
}

std::string encode_batch(const RelayBatch& batch) { return batch_to_json(batch).dump(); }

RelayBatch parse_batch(const std::string& body) { return batch_from_json(parse_object(body)); }

RelayBatch batch_from_json(const Json& json) {
  RelayBatch batch{text(json, "member"), integer(json, "token"), {}};
  for (const Json& item : array(json, "reports")) {
    if (!item.is_object()) throw Malformed("reports must be a list of objects");
    RelayedHeartbeat heartbeat;
    if (find(item, "short") != nullptr) {
      try {
        heartbeat.heartbeat = parse_short(array(item, "short"));
      } catch (const Json::exception& error) {
        throw Malformed(std::string("a short report: ") + error.what());
      }
    } else if (find(item, "words") != nullptr) {
      heartbeat.payload = text(item, "words");
    } else {
      heartbeat.machine = text(item, "machine");
      heartbeat.incarnation = integer(item, "session");
      heartbeat.sequence = integer(item, "tick");
      heartbeat.base_sequence = integer(item, "base");
    }
    batch.heartbeats.push_back(std::move(heartbeat));
  }
  return batch;
}

std::string encode_batch_answers(const std::vector<RelayedAnswer>& answers) {
  Json list = Json::array();
  for (const auto& answer : answers) {
    list.push_back({{"status", answer.status}, {"body", answer.body}});
  }
  return Json{{"answers", std::move(list)}}.dump();
}

std::vector<RelayedAnswer> parse_batch_answers(const std::string& body) {
  const Json json = parse_object(body);
  std::vector<RelayedAnswer> out;
  for (const Json& item : array(json, "answers")) {
    if (!item.is_object()) throw Malformed("answers must be a list of objects");
    out.push_back({static_cast<int>(integer(item, "status")), text(item, "body")});
  }
  return out;
}

std::string encode_fencing_token(std::uint64_t fencing_token) {
  return Json{{"token", fencing_token}}.dump();
}

std::uint64_t parse_fencing_token(const std::string& body) {
  return integer(parse_object(body), "token");
}

}  // namespace larkroad::protocol
