#include "protocol/worker_messages.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "protocol/wire_names.hpp"

namespace larkroad::protocol {
namespace {

constexpr std::array<std::pair<const char*, TaskState>, 5> kTaskStates{{
    {"fetching", TaskState::fetching},
    {"gathering", TaskState::waiting},
    {"running", TaskState::running},
    {"saving", TaskState::saving},
    {"exited", TaskState::exited},
}};

constexpr std::array<std::pair<const char*, ExitCause>, 8> kExitCauses{{
    {"done", ExitCause::done},
    {"stopped", ExitCause::stopped},
    {"mates_gone", ExitCause::gang_task_lost},
    {"alone", ExitCause::gang_incomplete},
    {"error", ExitCause::error},
    {"full", ExitCause::insufficient_resources},
    {"busy", ExitCause::other_attempt_present},
    {"unknown", ExitCause::unknown},
}};

constexpr std::array<std::pair<const char*, CommandType>, 3> kCommandTypes{{
    {"launch", CommandType::launch},
    {"kill", CommandType::kill},
    {"forget", CommandType::forget},
}};

// Ensures that the index fits 32 bits; actual task indices have far fewer digits.
constexpr size_t kMaxTaskIndexDigits = 9;

// The notice is negative once its time has passed.
constexpr double kMinReclaimNoticeS = -1e9;

bool is_task_index(const std::string& digits) {
  return !digits.empty() && digits.size() <= kMaxTaskIndexDigits &&
         std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
}

TaskId parse_task_id(const std::string& text) {
  const auto slash = text.rfind('/');
  const bool has_job = slash != std::string::npos && slash > 0;
  const std::string index = has_job ? text.substr(slash + 1) : "";
  if (!is_task_index(index)) throw Malformed(wire::kTaskId, "is not a task id");
  return {text.substr(0, slash), static_cast<std::uint32_t>(std::stoul(index))};
}

TaskStatus parse_task_status(const Json& item) {
  TaskStatus task;
  task.id = parse_task_id(text(item, wire::kTaskId));
  task.attempt = integer(item, wire::kAttempt);
  task.state = enum_field(kTaskStates, item, wire::kState);
  if (task.state == TaskState::exited) {
    task.cause = enum_field(kExitCauses, item, wire::kExitCause);
  }
  if (find(item, wire::kSaved) != nullptr) task.saved = boolean(item, wire::kSaved);
  return task;
}

Json encode_command_list(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const auto& command : commands) {
    Json item{{wire::kTaskId, command.id.text()},
              {wire::kAttempt, command.attempt},
              {wire::kCommandType, name_for_value(kCommandTypes, command.type)}};
    if (command.type == CommandType::kill) item[wire::kGrace] = command.grace_s;
    list.push_back(std::move(item));
  }
  return list;
}

}  // namespace

const char* cause_name(ExitCause cause) {
  const char* name = name_for_value(kExitCauses, cause);
  return name == nullptr ? "none" : name;
}

bool equal_except_sequence(const Heartbeat& a, const Heartbeat& b) {
  const auto all_except_sequence = [](const Heartbeat& heartbeat) {
    return std::tie(heartbeat.machine, heartbeat.incarnation, heartbeat.fencing_token,
                    heartbeat.tasks, heartbeat.reclaim_notice_s, heartbeat.address, heartbeat.type,
                    heartbeat.zone, heartbeat.spot);
  };
  return all_except_sequence(a) == all_except_sequence(b);
}

Heartbeat parse_heartbeat(const std::string& body) {
  const Json json = parse_object(body);
  Heartbeat heartbeat;
  heartbeat.machine = text(json, wire::kMachine);
  heartbeat.address = text(json, wire::kAddress);
  heartbeat.type = text(json, wire::kMachineType);
  heartbeat.zone = text(json, wire::kZone);
  heartbeat.spot = boolean(json, wire::kSpot);
  heartbeat.incarnation = integer(json, wire::kIncarnation);
  heartbeat.sequence = integer(json, wire::kSequence);
  heartbeat.fencing_token = integer(json, wire::kFencingToken);
  if (find(json, wire::kReclaimNotice) != nullptr) {
    heartbeat.reclaim_notice_s = amount(json, wire::kReclaimNotice, kMinReclaimNoticeS);
  }
  for (const Json& item : array(json, wire::kTasks)) {
    require_object(item, wire::kTasks);
    heartbeat.tasks.push_back(parse_task_status(item));
  }
  return heartbeat;
}

std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands) {
  return Json{{wire::kFencingToken, fencing_token},
              {wire::kCommands, encode_command_list(commands)}}
      .dump();
}

std::string encode_redirect(const std::string& leader) {
  return leader.empty() ? "{}" : Json{{wire::kRedirectTo, leader}}.dump();
}

std::string encode_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                            const std::vector<Command>& commands) {
  return Json{{wire::kFencingToken, fencing_token},
              {wire::kIncarnation, incarnation},
              {wire::kCommands, encode_command_list(commands)}}
      .dump();
}

}  // namespace larkroad::protocol
