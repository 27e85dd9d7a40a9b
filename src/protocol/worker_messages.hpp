/// Messages between workers and controllers: heartbeats, the answers to them, and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace larkroad::protocol {

/// The numbers go into the compact form of relayed heartbeats: add new ones at the end.
enum class TaskState {
  fetching,  // its machine fetches the image
  waiting,   // for the other tasks of its gang; `gathering` on the wire
  running,
  saving,  // a checkpoint, before it exits
  exited,
};

/// Why a task exited. The numbers go into the compact form of relayed heartbeats.
enum class ExitCause {
  none,  // it has not exited
  done,
  stopped,     // by a command
  mates_gone,  // a task of its gang disappeared
  alone,       // its gang did not become complete in time
  error,
  full,     // start refused: the machine lacks the resources
  busy,     // start refused: the machine has the task with another attempt
  unknown,  // start refused: no such job or task
};

/// The name on the wire, for log lines; "none" for ExitCause::none.
const char* cause_name(ExitCause cause);

/// A task of a job, by its number from 0: `job-000412/3`.
struct TaskId {
  std::string job;
  std::uint32_t task = 0;
  // clang-tidy 14 takes the compared zero for a null pointer and for a boolean.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion)
  auto operator<=>(const TaskId&) const = default;
  std::string text() const { return job + "/" + std::to_string(task); }
};

/// A task that a worker has.
///
///     {"leg":"job-000398/0","try":1,"stage":"exited","cause":"stopped","saved":true}
struct TaskStatus {
  TaskId id;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;  // other than none once it has exited
  bool saved = false;                 // false where omitted
  bool operator==(const TaskStatus&) const = default;
};

/// A worker's heartbeat, with the status of its machine and tasks.
///
///     {"perch":"i-000231","address":"10.1.0.232:9000","breed":"g8","yard":"a","loaners":true,
///      "flight":1,"tick":88,"baton":41,"recallS":null,"legs":[...]}
struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;           // of the worker: raised when its lease expires
  std::uint64_t sequence = 0;              // raised with each heartbeat
  std::uint64_t fencing_token = 0;         // the highest the worker has seen
  std::optional<double> reclaim_notice_s;  // until the cloud takes the machine; may be negative
  std::vector<TaskStatus> tasks;
};

/// Where workers send heartbeats.
inline constexpr const char* kHeartbeatPath = "/checkin";

/// Whether two heartbeats say the same but for their sequence number.
bool unchanged(const Heartbeat& a, const Heartbeat& b);

/// Throws Malformed.
Heartbeat parse_heartbeat(const std::string& body);

enum class CommandType { launch, kill, forget };

/// What a worker is to do.
///
///     {"call":"launch","leg":"job-000412/4","try":2}
///     {"call":"kill","leg":"job-000377/1","try":1,"slackS":10}
///     {"call":"forget","leg":"job-000398/0","try":1}
struct Command {
  CommandType type = CommandType::launch;
  TaskId id;
  std::uint64_t attempt = 0;
  double grace_s = 0;  // kill only: for saving a checkpoint
};

/// The answer to a heartbeat, which renews the worker's lease: `{"baton":41,"calls":[...]}`
std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands);
/// Sends a worker to another controller: `{"home":"perch-2"}`. Empty: none is known, `{}`.
std::string encode_redirect(const std::string& leader);

/// Where a worker takes commands directly.
inline constexpr const char* kCommandsPath = "/do";
/// Where a worker answers with its present heartbeat.
inline constexpr const char* kInspectPath = "/inspect";
/// Direct commands: `{"baton":41,"flight":1,"calls":[...]}`
std::string encode_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                            const std::vector<Command>& commands);

}  // namespace larkroad::protocol
