#include "protocol/relay_messages.hpp"

#include <utility>

namespace larkroad::protocol {
namespace {

// Field names in messages between controllers, and in the records used to relay through the
// key-value store. Every version in production reads them, so they must not change.
constexpr const char* kMember = "member";
constexpr const char* kFencingToken = "token";
constexpr const char* kHeartbeats = "reports";
constexpr const char* kCompact = "short";
constexpr const char* kPayload = "words";
constexpr const char* kMachine = "machine";
constexpr const char* kIncarnation = "session";
constexpr const char* kSequence = "tick";
constexpr const char* kBaseSequence = "base";
constexpr const char* kAnswers = "answers";
constexpr const char* kStatus = "status";
constexpr const char* kBody = "body";

// Array indices in the compact form of a heartbeat.
enum HeartbeatPosition : size_t {
  machine_position,
  address_position,
  type_position,
  zone_position,
  spot_position,
  incarnation_position,
  sequence_position,
  fencing_token_position,
  reclaim_notice_position,
  tasks_position,
};

// Array indices in the compact form of a task.
enum TaskPosition : size_t {
  job_position,
  task_position,
  attempt_position,
  state_position,
  cause_position,
  saved_position
};

Json encode_compact(const TaskStatus& task) {
  return Json::array({task.id.job, task.id.task, task.attempt, static_cast<int>(task.state),
                      static_cast<int>(task.cause), task.saved ? 1 : 0});
}

Json encode_compact(const Heartbeat& heartbeat) {
  Json tasks = Json::array();
  for (const auto& task : heartbeat.tasks) tasks.push_back(encode_compact(task));
  return Json::array(
      {heartbeat.machine, heartbeat.address, heartbeat.type, heartbeat.zone, heartbeat.spot,
       heartbeat.incarnation, heartbeat.sequence, heartbeat.fencing_token,
       heartbeat.reclaim_notice_s ? Json(*heartbeat.reclaim_notice_s) : Json(nullptr),
       std::move(tasks)});
}

// Both functions throw Json::exception if an element is missing or of the wrong type.
TaskStatus parse_compact_task(const Json& item) {
  const auto state = item.at(state_position).get<unsigned>();
  const auto cause = item.at(cause_position).get<unsigned>();
  if (state > static_cast<unsigned>(TaskState::exited) ||
      cause > static_cast<unsigned>(ExitCause::unknown)) {
    throw Malformed(kCompact, "has a task of an unknown state or cause");
  }
  return {{item.at(job_position).get<std::string>(), item.at(task_position).get<std::uint32_t>()},
          item.at(attempt_position).get<std::uint64_t>(),
          static_cast<TaskState>(state),
          static_cast<ExitCause>(cause),
          item.at(saved_position).get<int>() != 0};
}

Heartbeat parse_compact_heartbeat(const Json& item) {
  Heartbeat heartbeat;
  heartbeat.machine = item.at(machine_position).get<std::string>();
  heartbeat.address = item.at(address_position).get<std::string>();
  heartbeat.type = item.at(type_position).get<std::string>();
  heartbeat.zone = item.at(zone_position).get<std::string>();
  heartbeat.spot = item.at(spot_position).get<bool>();
  heartbeat.incarnation = item.at(incarnation_position).get<std::uint64_t>();
  heartbeat.sequence = item.at(sequence_position).get<std::uint64_t>();
  heartbeat.fencing_token = item.at(fencing_token_position).get<std::uint64_t>();
  const Json& reclaim_notice = item.at(reclaim_notice_position);
  if (!reclaim_notice.is_null()) heartbeat.reclaim_notice_s = reclaim_notice.get<double>();
  for (const Json& task : item.at(tasks_position))
    heartbeat.tasks.push_back(parse_compact_task(task));
  return heartbeat;
}

Json encode(const RelayedHeartbeat& relayed) {
  if (relayed.heartbeat) return Json::object({{kCompact, encode_compact(*relayed.heartbeat)}});
  if (!relayed.payload.empty()) return Json::object({{kPayload, relayed.payload}});
  return Json::object({{kMachine, relayed.machine},
                       {kIncarnation, relayed.incarnation},
                       {kSequence, relayed.sequence},
                       {kBaseSequence, relayed.base_sequence}});
}

RelayedHeartbeat parse_relayed_heartbeat(const Json& item) {
  RelayedHeartbeat relayed;
  if (find(item, kCompact) != nullptr) {
    try {
      relayed.heartbeat = parse_compact_heartbeat(array(item, kCompact));
    } catch (const Json::exception& error) {
      throw Malformed(kCompact, std::string("is no compact heartbeat: ") + error.what());
    }
  } else if (find(item, kPayload) != nullptr) {
    relayed.payload = text(item, kPayload);
  } else {
    relayed.machine = text(item, kMachine);
    relayed.incarnation = integer(item, kIncarnation);
    relayed.sequence = integer(item, kSequence);
    relayed.base_sequence = integer(item, kBaseSequence);
  }
  return relayed;
}

}  // namespace

Json batch_to_json(const RelayBatch& batch) {
  Json heartbeats = Json::array();
  for (const auto& heartbeat : batch.heartbeats) heartbeats.push_back(encode(heartbeat));
  return Json{{kMember, batch.member},
              {kFencingToken, batch.fencing_token},
              {kHeartbeats, std::move(heartbeats)}};
}

RelayBatch batch_from_json(const Json& json) {
  RelayBatch batch{text(json, kMember), integer(json, kFencingToken), {}};
  for (const Json& item : array(json, kHeartbeats)) {
    require_object(item, kHeartbeats);
    batch.heartbeats.push_back(parse_relayed_heartbeat(item));
  }
  return batch;
}

std::string encode_batch(const RelayBatch& batch) { return batch_to_json(batch).dump(); }

RelayBatch parse_batch(const std::string& body) { return batch_from_json(parse_object(body)); }

std::string encode_batch_answers(const std::vector<RelayedAnswer>& answers) {
  Json list = Json::array();
  for (const auto& answer : answers) {
    list.push_back({{kStatus, answer.status}, {kBody, answer.body}});
  }
  return Json{{kAnswers, std::move(list)}}.dump();
}

std::vector<RelayedAnswer> parse_batch_answers(const std::string& body) {
  const Json json = parse_object(body);
  std::vector<RelayedAnswer> answers;
  for (const Json& item : array(json, kAnswers)) {
    require_object(item, kAnswers);
    answers.push_back({static_cast<int>(integer(item, kStatus)), text(item, kBody)});
  }
  return answers;
}

std::string encode_fencing_token(std::uint64_t fencing_token) {
  return Json{{kFencingToken, fencing_token}}.dump();
}

std::uint64_t parse_fencing_token(const std::string& body) {
  return integer(parse_object(body), kFencingToken);
}

}  // namespace larkroad::protocol
