// Users' side of the protocol: submissions, states, answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace larkroad::protocol {

enum class Priority { production, high, normal, low };  // in order of importance

enum class JobState { queued, running, done, cancelled };

// How a job's tasks belong together.
enum class Shape {
  array,    // independent tasks, each runs to completion
  gang,     // all tasks run at the same time or none does
  service,  // independent replicas, each runs until the job is cancelled
};

// For logs.
const char* shape_name(Shape shape);

struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  Shape shape = Shape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 1;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::optional<std::vector<std::string>> types;  // none: any
  std::optional<std::string> zone;
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  std::string image;
  double image_gb = 0;
  double estimate_s = 0;
  double checkpoint_s = 0;
  double save_s = 0;
  std::optional<double> deadline_s;

  bool is_gang() const { return shape == Shape::gang; }
  bool is_service() const { return shape == Shape::service; }
};

inline constexpr std::uint32_t kMaxTasksPerJob = 100'000;

bool valid_job_id(const std::string& id);

// Throws Malformed.
JobSpec parse_submission(const Json& body);

// As kept in the state service. The reader trusts what this program wrote.
Json encode_spec(const JobSpec& spec);
JobSpec decode_spec(const std::string& id, const Json& record);

std::string encode_job_state(const std::string& id, JobState state);
std::string encode_job_status(const std::string& id, JobState state, std::uint32_t done,
                              std::uint32_t running);
std::string encode_error(const std::string& what);

inline constexpr const char* kHealthPath = "/healthz";

enum class UserCall { submit, query, cancel, health, none };
struct UserTarget {
  UserCall call = UserCall::none;
  std::string id;
  bool wrong_method = false;
};
// What a user's request asks for, by its method and path.
UserTarget route_user_call(const std::string& method, const std::string& target);

}  // namespace larkroad::protocol
