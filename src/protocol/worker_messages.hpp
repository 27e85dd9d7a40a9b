/// Messages between workers and controllers: heartbeats, responses to them, and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace larkroad::protocol {

/// The numeric values are used in the compact form of relayed heartbeats; append new ones at the
/// end.
enum class TaskState {
  fetching,  // the machine is fetching the image
  waiting,   // for the other tasks of its gang; `gathering` on the wire
  running,
  saving,  // writing a checkpoint before exiting
  exited,
};

/// Why a task exited. The numeric values are used in the compact form of relayed heartbeats; append
/// new ones at the end.
enum class ExitCause {
  none,  // has not exited
  done,
  stopped,          // by a command
  gang_task_lost,   // another task of its gang disappeared
  gang_incomplete,  // its gang did not assemble within the time limit
  error,
  insufficient_resources,  // start rejected: the machine lacks the resources
  other_attempt_present,   // start rejected: the machine has another attempt of this task
  unknown,                 // start rejected: no such job or task
};

/// Returns the wire name, for log lines; "none" for ExitCause::none.
const char* cause_name(ExitCause cause);

/// Identifies a task by its job and its zero-based index: `job-000412/3`.
struct TaskId {
  std::string job;
  std::uint32_t task = 0;
  // clang-tidy 14 mistakes the zero in the generated comparison for a null pointer or a boolean.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion)
  auto operator<=>(const TaskId&) const = default;
  std::string text() const { return job + "/" + std::to_string(task); }
};

/// Status of a task on a worker.
///
///     {"leg":"job-000398/0","try":1,"stage":"exited","cause":"stopped","saved":true}
struct TaskStatus {
  TaskId id;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;  // set once the task has exited
  bool saved = false;                 // a checkpoint was saved; false if omitted
  bool operator==(const TaskStatus&) const = default;
};

/// A worker's heartbeat, which reports the status of its machine and tasks.
///
///     {"perch":"i-000231","address":"10.1.0.232:9000","breed":"g8","yard":"a","loaners":true,
///      "flight":1,"tick":88,"baton":41,"recallS":null,"legs":[...]}
struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;           // of the worker; increases when its lease expires
  std::uint64_t sequence = 0;              // increases with each heartbeat
  std::uint64_t fencing_token = 0;         // the highest one that the worker has seen
  std::optional<double> reclaim_notice_s;  // until the cloud reclaims it; may be negative
  std::vector<TaskStatus> tasks;
};

/// Path to which workers send heartbeats.
inline constexpr const char* kHeartbeatPath = "/checkin";

/// Whether two heartbeats are equal apart from their sequence numbers.
bool equal_except_sequence(const Heartbeat& a, const Heartbeat& b);

/// Throws Malformed.
Heartbeat parse_heartbeat(const std::string& body);

enum class CommandType { launch, kill, forget };

/// A command to a worker.
///
///     {"call":"launch","leg":"job-000412/4","try":2}
///     {"call":"kill","leg":"job-000377/1","try":1,"slackS":10}
///     {"call":"forget","leg":"job-000398/0","try":1}
struct Command {
  CommandType type = CommandType::launch;
  TaskId id;
  std::uint64_t attempt = 0;
  double grace_s = 0;  // kill only: time allowed for saving a checkpoint
};

/// Encodes the response to a heartbeat, which renews the worker's lease:
/// `{"baton":41,"calls":[...]}`
std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands);
/// Encodes a redirect of a worker to another controller: `{"home":"perch-2"}`, or `{}` if `leader`
/// is empty because none is known.
std::string encode_redirect(const std::string& leader);

/// Path at which a worker accepts direct commands.
inline constexpr const char* kCommandsPath = "/do";
/// Path at which a worker responds with its current heartbeat.
inline constexpr const char* kInspectPath = "/inspect";
/// Encodes direct commands: `{"baton":41,"flight":1,"calls":[...]}`
std::string encode_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                            const std::vector<Command>& commands);

}  // namespace larkroad::protocol
