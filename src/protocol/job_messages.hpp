/// Messages between users and controllers: submissions, and answers with the state of a job.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace larkroad::protocol {

/// In order of importance. The numbers are stored in records.
enum class Priority {
  production,  // "prod"
  high,        // "urgent"
  normal,      // "normal"
  low,         // "best_effort"
};

/// As users are told: "pending", "running", "done" or "withdrawn".
enum class JobState { queued, running, done, cancelled };

/// How a job's tasks belong together.
enum class Shape {
  array,    // "sweep": independent tasks, each runs to completion
  gang,     // "gang": all tasks run at the same time or none does
  service,  // "service": independent replicas, each runs until the job is cancelled
};

/// For log lines; not the name on the wire.
const char* shape_name(Shape shape);

/// What a user has submitted.
///
///     {"ref":"job-000412","lane":"train","crew":"vision","shape":"gang","rank":"urgent","legs":16,
///      "cores":8.0,"accelerators":1.0,"memGb":64.0,"cargo":"img-07","pullGb":6.2,
///      "breeds":["g8"],"yard":null,"samePlace":true,"apart":false,"loaners":true,
///      "expectS":240.0,"waypointS":30.0,"stowS":4.0,"dueS":900.0}
struct JobSpec {
  std::string id;
  std::string job_class;  // service-level objectives are set by class
  std::string team;
  Shape shape = Shape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 1;  // 1 to kMaxTasksPerJob
  // What each task takes of its machine.
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::optional<std::vector<std::string>> types;  // allowed machine types; none: any
  std::optional<std::string> zone;                // the only allowed one; none: any
  bool one_zone = false;                          // all tasks in the same zone
  bool spread = false;                            // at most half of the tasks in one zone
  bool spot = false;                              // spot machines are allowed
  std::string image;
  double image_gb = 0;
  double estimate_s = 0;             // the owner's estimate of a task's run time
  double checkpoint_s = 0;           // interval of progress; 0: never saves
  double save_s = 0;                 // for saving a checkpoint when it is stopped
  std::optional<double> deadline_s;  // from the submission

  bool is_gang() const { return shape == Shape::gang; }
  bool is_service() const { return shape == Shape::service; }
};

inline constexpr std::uint32_t kMaxTasksPerJob = 100'000;

/// `job-` and digits.
bool valid_job_id(const std::string& id);

/// Throws Malformed, whose text goes to the user.
JobSpec parse_submission(const Json& body);

/// `{"ref":"job-000412","stage":"pending"}`
std::string encode_job_state(const std::string& id, JobState state);
/// `{"ref":"job-000412","stage":"running","done":3,"running":13}`, with numbers of tasks.
std::string encode_job_status(const std::string& id, JobState state, std::uint32_t done,
                              std::uint32_t running);
/// The body of every answer that is an error: `{"error":"no such job"}`
std::string encode_error(const std::string& what);

}  // namespace larkroad::protocol
