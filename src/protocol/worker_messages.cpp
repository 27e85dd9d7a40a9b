#include "protocol/worker_messages.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace larkroad::protocol {
namespace {

constexpr std::array<std::pair<const char*, TaskState>, 5> kStates{{
    {"fetching", TaskState::fetching},
    {"gathering", TaskState::waiting},
    {"running", TaskState::running},
    {"saving", TaskState::saving},
    {"exited", TaskState::exited},
}};

constexpr std::array<std::pair<const char*, ExitCause>, 8> kCauses{{
    {"done", ExitCause::done},
    {"stopped", ExitCause::stopped},
    {"mates_gone", ExitCause::mates_gone},
    {"alone", ExitCause::alone},
    {"error", ExitCause::error},
    {"full", ExitCause::full},
    {"busy", ExitCause::busy},
    {"unknown", ExitCause::unknown},
}};

template <typename Table>
auto lookup(const Table& table, const std::string& name, const char* key) {
  const auto value = find_named(table, name);
  if (!value) throw Malformed(std::string(key) + " is unknown: " + name);
  return *value;
}

TaskId parse_task_id(const std::string& text) {
  const auto slash = text.rfind('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == text.size() ||
      text.size() - slash > 10 ||
      !std::all_of(text.begin() + static_cast<std::ptrdiff_t>(slash) + 1, text.end(),
                   [](char c) { return c >= '0' && c <= '9'; })) {
    throw Malformed("leg is not a task id");
  }
  return {text.substr(0, slash), static_cast<std::uint32_t>(std::stoul(text.substr(slash + 1)))};
}

Json encode_calls(const std::vector<Command>& commands) {
  Json calls = Json::array();
  for (const auto& command : commands) {
    Json call{{"leg", command.id.text()}, {"try", command.attempt}};
    switch (command.type) {
      case CommandType::launch:
        call["call"] = "launch";
        break;
      case CommandType::kill:
        call["call"] = "kill";
        call["slackS"] = command.grace_s;
        break;
      case CommandType::forget:
        call["call"] = "forget";
        break;
    }
    calls.push_back(std::move(call));
  }
  return calls;
}

}  // namespace

const char* cause_name(ExitCause cause) {
  for (const auto& [name, value] : kCauses) {
    if (value == cause) return name;
  }
  return "none";
}

bool unchanged(const Heartbeat& a, const Heartbeat& b) {
  const auto said = [](const Heartbeat& r) {
    return std::tie(r.machine, r.incarnation, r.fencing_token, r.tasks, r.reclaim_notice_s,
                    r.address, r.type, r.zone, r.spot);
  };
  return said(a) == said(b);
}

Heartbeat parse_heartbeat(const std::string& body) {
  const Json json = parse_object(body);
  Heartbeat heartbeat;
  heartbeat.machine = text(json, "perch");
  heartbeat.address = text(json, "address");
  heartbeat.type = text(json, "breed");
  heartbeat.zone = text(json, "yard");
  heartbeat.spot = boolean(json, "loaners");
  heartbeat.incarnation = integer(json, "flight");
  heartbeat.sequence = integer(json, "tick");
  heartbeat.fencing_token = integer(json, "baton");
  if (find(json, "recallS") != nullptr) heartbeat.reclaim_notice_s = amount(json, "recallS", -1e9);
  for (const Json& leg : array(json, "legs")) {
    if (!leg.is_object()) throw Malformed("legs must be a list of objects");
    TaskStatus task;
    task.id = parse_task_id(text(leg, "leg"));
    task.attempt = integer(leg, "try");
    task.state = lookup(kStates, text(leg, "stage"), "stage");
    if (task.state == TaskState::exited) task.cause = lookup(kCauses, text(leg, "cause"), "cause");
    if (find(leg, "saved") != nullptr) task.saved = boolean(leg, "saved");
    heartbeat.tasks.push_back(std::move(task));
  }
  return heartbeat;
}

std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands) {
  return Json{{"baton", fencing_token}, {"calls", encode_calls(commands)}}.dump();
}

std::string encode_redirect(const std::string& leader) {
  return leader.empty() ? "{}" : Json{{"home", leader}}.dump();
}

std::string encode_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                            const std::vector<Command>& commands) {
  return Json{{"baton", fencing_token}, {"flight", incarnation}, {"calls", encode_calls(commands)}}
      .dump();
}

}  // namespace larkroad::protocol
