#include "protocol/job_messages.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "protocol/wire_names.hpp"

namespace larkroad::protocol {
namespace {

constexpr std::array<std::pair<const char*, Priority>, 4> kPriorities{{
    {"prod", Priority::production},
    {"urgent", Priority::high},
    {"normal", Priority::normal},
    {"best_effort", Priority::low},
}};

constexpr std::array<std::pair<const char*, Shape>, 3> kShapes{{
    {"sweep", Shape::array},
    {"gang", Shape::gang},
    {"service", Shape::service},
}};

constexpr std::array<std::pair<const char*, JobState>, 4> kJobStates{{
    {"pending", JobState::queued},
    {"running", JobState::running},
    {"done", JobState::done},
    {"withdrawn", JobState::cancelled},
}};

constexpr std::string_view kJobIdPrefix = "job-";
constexpr size_t kMaxJobIdLength = 64;
// No name in use is longer than this. The limit keeps a record within the smallest value size limit
// that the key-value store may impose.
constexpr size_t kMaxNameLength = 200;

std::string parse_name(const Json& object, const char* key) {
  std::string name = text(object, key);
  if (name.empty() || name.size() > kMaxNameLength) {
    throw Malformed(key, "has an impossible length");
  }
  return name;
}

// Unlike `enum_field`, does not echo the received value, as the error text is returned to users.
template <typename Table>
auto parse_enum(const Table& table, const Json& body, const char* key) {
  const auto value = value_for_name(table, text(body, key));
  if (!value) throw Malformed(key, "is unknown");
  return *value;
}

std::string parse_job_id(const Json& body) {
  std::string id = text(body, wire::kId);
  if (!valid_job_id(id)) throw Malformed(wire::kId, "is not a job id");
  return id;
}

std::uint32_t parse_task_count(const Json& body) {
  const std::uint64_t tasks = integer(body, wire::kTasks);
  if (tasks < 1 || tasks > kMaxTasksPerJob) throw Malformed(wire::kTasks, "is out of range");
  return static_cast<std::uint32_t>(tasks);
}

// Parses the resources that each task requires.
void parse_resources(const Json& body, JobSpec& spec) {
  spec.cpus = amount(body, wire::kCpus);
  if (spec.cpus <= 0) throw Malformed(wire::kCpus, "is out of range");
  spec.gpus = amount(body, wire::kGpus);
  spec.memory_gb = amount(body, wire::kMemoryGb);
}

// Parses the constraints on machine types and zones.
void parse_placement_constraints(const Json& body, JobSpec& spec) {
  if (find(body, wire::kMachineTypes) != nullptr) {
    spec.types = array_of_strings(body, wire::kMachineTypes);
    if (spec.types->empty()) throw Malformed(wire::kMachineTypes, "must not be empty");
  }
  if (find(body, wire::kZone) != nullptr) spec.zone = parse_name(body, wire::kZone);
  spec.one_zone = boolean(body, wire::kOneZone);
  spec.spread = boolean(body, wire::kSpread);
  if (spec.one_zone && spec.spread && spec.tasks > 1) {
    throw Malformed(wire::kOneZone, std::string("and ") + wire::kSpread + " contradict each other");
  }
  spec.spot = boolean(body, wire::kSpot);
}

// Parses the image and the user's values for run time, checkpoints and the deadline.
void parse_image_and_times(const Json& body, JobSpec& spec) {
  spec.image = parse_name(body, wire::kImage);
  spec.image_gb = amount(body, wire::kImageGb);
  spec.estimate_s = amount(body, wire::kEstimate);
  spec.checkpoint_s = amount(body, wire::kCheckpointInterval);
  spec.save_s = amount(body, wire::kSaveTime);
  if (find(body, wire::kDeadline) != nullptr) spec.deadline_s = amount(body, wire::kDeadline);
  // A service runs until it is cancelled, so a deadline has no meaning for it.
  if (spec.is_service()) spec.deadline_s.reset();
}

}  // namespace

const char* shape_name(Shape shape) {
  switch (shape) {
    case Shape::array:
      return "array";
    case Shape::gang:
      return "gang";
    case Shape::service:
      return "service";
  }
  return "array";
}

bool valid_job_id(const std::string& id) {
  if (!id.starts_with(kJobIdPrefix)) return false;
  if (id.size() == kJobIdPrefix.size() || id.size() > kMaxJobIdLength) return false;
  return std::all_of(id.begin() + kJobIdPrefix.size(), id.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

// The order of the checks determines which of several errors is reported to the user.
JobSpec parse_submission(const Json& body) {
  JobSpec spec;
  spec.id = parse_job_id(body);
  spec.job_class = parse_name(body, wire::kJobClass);
  spec.team = parse_name(body, wire::kTeam);
  spec.shape = parse_enum(kShapes, body, wire::kShape);
  spec.priority = parse_enum(kPriorities, body, wire::kPriority);
  spec.tasks = parse_task_count(body);
  parse_resources(body, spec);
  parse_placement_constraints(body, spec);
  parse_image_and_times(body, spec);
  return spec;
}

std::string encode_job_state(const std::string& id, JobState state) {
  return Json{{wire::kId, id}, {wire::kState, name_for_value(kJobStates, state)}}.dump();
}

std::string encode_job_status(const std::string& id, JobState state, std::uint32_t done,
                              std::uint32_t running) {
  return Json{{wire::kId, id},
              {wire::kState, name_for_value(kJobStates, state)},
              {wire::kTasksDone, done},
              {wire::kTasksRunning, running}}
      .dump();
}

std::string encode_error(const std::string& what) { return Json{{wire::kError, what}}.dump(); }

}  // namespace larkroad::protocol
