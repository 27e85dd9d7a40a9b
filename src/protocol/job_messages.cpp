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
// Longer names are nobody's; the limit keeps a record within the smallest value that the key-value
// store may allow.
constexpr size_t kMaxNameLength = 200;

std::string parse_name(const Json& object, const char* key) {
  std::string name = text(object, key);
  if (name.empty() || name.size() > kMaxNameLength) {
    throw Malformed(key, "has an impossible length");
  }
  return name;
}

// Unlike `named_value` this does not repeat to users what they have sent.
template <typename Table>
auto parse_named(const Table& table, const Json& body, const char* key) {
  const auto value = find_named(table, text(body, key));
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

// What each task takes of its machine.
void parse_resources(const Json& body, JobSpec& spec) {
  spec.cpus = amount(body, wire::kCpus);
  if (spec.cpus <= 0) throw Malformed(wire::kCpus, "is out of range");
  spec.gpus = amount(body, wire::kGpus);
  spec.memory_gb = amount(body, wire::kMemoryGb);
}

// On which machines and in which zones the tasks may run.
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

// The image, and the owner's figures for run time, checkpoints and the deadline.
void parse_image_and_times(const Json& body, JobSpec& spec) {
  spec.image = parse_name(body, wire::kImage);
  spec.image_gb = amount(body, wire::kImageGb);
  spec.estimate_s = amount(body, wire::kEstimate);
  spec.checkpoint_s = amount(body, wire::kCheckpointInterval);
  spec.save_s = amount(body, wire::kSaveTime);
  if (find(body, wire::kDeadline) != nullptr) spec.deadline_s = amount(body, wire::kDeadline);
  // A service never ends by itself, so there is nothing that could be late.
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

// The order of the checks decides which of several faults the user is told.
JobSpec parse_submission(const Json& body) {
  JobSpec spec;
  spec.id = parse_job_id(body);
  spec.job_class = parse_name(body, wire::kJobClass);
  spec.team = parse_name(body, wire::kTeam);
  spec.shape = parse_named(kShapes, body, wire::kShape);
  spec.priority = parse_named(kPriorities, body, wire::kPriority);
  spec.tasks = parse_task_count(body);
  parse_resources(body, spec);
  parse_placement_constraints(body, spec);
  parse_image_and_times(body, spec);
  return spec;
}

std::string encode_job_state(const std::string& id, JobState state) {
  return Json{{wire::kId, id}, {wire::kState, find_name(kJobStates, state)}}.dump();
}

std::string encode_job_status(const std::string& id, JobState state, std::uint32_t done,
                              std::uint32_t running) {
  return Json{{wire::kId, id},
              {wire::kState, find_name(kJobStates, state)},
              {wire::kTasksDone, done},
              {wire::kTasksRunning, running}}
      .dump();
}

std::string encode_error(const std::string& what) { return Json{{wire::kError, what}}.dump(); }

}  // namespace larkroad::protocol
