/// Messages between users and controllers: job submissions and responses with the state of a job.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace larkroad::protocol {

/// Job priority, highest first. Records store the numeric values.
enum class Priority {
  production,  // "prod"
  high,        // "urgent"
  normal,      // "normal"
  low,         // "best_effort"
};

/// Job state as reported to users: "pending", "running", "done" or "withdrawn".
enum class JobState { queued, running, done, cancelled };

/// How a job's tasks are scheduled relative to each other.
enum class Shape {
  array,    // "sweep": independent tasks, each run to completion
  gang,     // "gang": either all tasks run at the same time or none does
  service,  // "service": independent replicas, run until the job is cancelled
};

/// Returns the name used in log lines, which may differ from the wire name.
const char* shape_name(Shape shape);

/// A job as submitted by a user.
///
///     {"ref":"job-000412","lane":"train","crew":"vision","shape":"gang","rank":"urgent","legs":16,
///      "cores":8.0,"accelerators":1.0,"memGb":64.0,"cargo":"img-07","pullGb":6.2,
///      "breeds":["g8"],"yard":null,"samePlace":true,"apart":false,"loaners":true,
///      "expectS":240.0,"waypointS":30.0,"stowS":4.0,"dueS":900.0}
struct JobSpec {
  std::string id;
  std::string job_class;  // service-level objectives are defined per class
  std::string team;
  Shape shape = Shape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 1;  // 1 to kMaxTasksPerJob
  // Resources that each task requires.
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::optional<std::vector<std::string>> types;  // allowed machine types; any if not set
  std::optional<std::string> zone;                // required zone; any if not set
  bool one_zone = false;                          // all tasks must run in the same zone
  bool spread = false;  // at most half of the tasks may run in any one zone
  bool spot = false;    // spot machines may be used
  std::string image;
  double image_gb = 0;
  double estimate_s = 0;             // the user's estimate of a task's run time
  double checkpoint_s = 0;           // checkpoint interval; 0: the task takes no checkpoints
  double save_s = 0;                 // time to save a checkpoint when a task is stopped
  std::optional<double> deadline_s;  // counted from submission

  bool is_gang() const { return shape == Shape::gang; }
  bool is_service() const { return shape == Shape::service; }
};

inline constexpr std::uint32_t kMaxTasksPerJob = 100'000;

/// Whether `id` consists of `job-` and digits.
bool valid_job_id(const std::string& id);

/// Throws Malformed, whose text is returned to the user.
JobSpec parse_submission(const Json& body);

/// `{"ref":"job-000412","stage":"pending"}`
std::string encode_job_state(const std::string& id, JobState state);
/// `{"ref":"job-000412","stage":"running","done":3,"running":13}`; `done` and `running` are numbers
/// of tasks.
std::string encode_job_status(const std::string& id, JobState state, std::uint32_t done,
                              std::uint32_t running);
/// Encodes the body of every error response: `{"error":"no such job"}`
std::string encode_error(const std::string& what);

}  // namespace larkroad::protocol
