// Workers' side of the protocol: reports and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace larkroad::protocol {

enum class TaskState { fetching, waiting, running, saving, exited };
enum class ExitCause { none, done, stopped, mates_gone, alone, error, full, busy, unknown };

const char* cause_name(ExitCause cause);

struct TaskId {
  std::string job;
  std::uint32_t task = 0;
  auto operator<=>(const TaskId&) const = default;
  std::string text() const { return job + "/" + std::to_string(task); }
};

struct TaskStatus {
  TaskId id;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;
  bool operator==(const TaskStatus&) const = default;
};

struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t fencing_token = 0;  // the highest the worker has seen
  std::optional<double> reclaim_notice_s;
  std::vector<TaskStatus> tasks;
};

// Whether two reports of one session say the same but for when they were made.
bool unchanged(const Heartbeat& a, const Heartbeat& b);

// Throws Malformed.
Heartbeat parse_heartbeat(const std::string& body);

enum class CommandType { launch, kill, forget };
struct Command {
  CommandType type = CommandType::launch;
  TaskId id;
  std::uint64_t attempt = 0;
  double grace_s = 0;  // kill only
};

std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands);
std::string encode_redirect(const std::string& leader);  // empty: not known
std::string encode_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                            const std::vector<Command>& commands);

inline constexpr const char* kHeartbeatPath = "/checkin";
inline constexpr const char* kCommandsPath = "/do";
inline constexpr const char* kInspectPath = "/inspect";

}  // namespace larkroad::protocol
