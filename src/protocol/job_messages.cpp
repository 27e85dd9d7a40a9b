#include "protocol/job_messages.hpp"

#include <algorithm>
#include <array>
#include <utility>

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

// Longer names are nobody's; the limit keeps a record within the smallest value of the state
// service.
constexpr size_t kLongestName = 200;

std::string name(const Json& object, const char* key) {
  std::string out = text(object, key);
  if (out.empty() || out.size() > kLongestName) {
    throw Malformed(std::string(key) + " has an impossible length");
  }
  return out;
}

const char* state_name(JobState state) {
  switch (state) {
    case JobState::queued:
      return "pending";
    case JobState::running:
      return "running";
    case JobState::done:
      return "done";
    case JobState::cancelled:
      return "withdrawn";
  }
  return "pending";
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
  constexpr std::string_view kPrefix = "job-";
  if (!id.starts_with(kPrefix) || id.size() == kPrefix.size() || id.size() > 64) return false;
  return std::all_of(id.begin() + kPrefix.size(), id.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

JobSpec parse_submission(const Json& body) {
  JobSpec spec;
  spec.id = text(body, "ref");
  if (!valid_job_id(spec.id)) throw Malformed("ref is not a job id");
  spec.job_class = name(body, "lane");
  spec.team = name(body, "crew");
  const auto shape = find_named(kShapes, text(body, "shape"));
  if (!shape) throw Malformed("shape is unknown");
  spec.shape = *shape;
  const auto priority = find_named(kPriorities, text(body, "rank"));
  if (!priority) throw Malformed("rank is unknown");
  spec.priority = *priority;
  const std::uint64_t tasks = integer(body, "legs");
  if (tasks < 1 || tasks > kMaxTasksPerJob) throw Malformed("legs is out of range");
  spec.tasks = static_cast<std::uint32_t>(tasks);
  spec.cpus = amount(body, "cores");
  if (spec.cpus <= 0) throw Malformed("cores is out of range");
  spec.gpus = amount(body, "accelerators");
  spec.memory_gb = amount(body, "memGb");
  if (find(body, "breeds") != nullptr) {
    std::vector<std::string> types;
    for (const Json& type : array(body, "breeds")) {
      if (!type.is_string()) throw Malformed("breeds must be a list of strings");
      types.push_back(type.get<std::string>());
    }
    if (types.empty()) throw Malformed("breeds must not be empty");
    spec.types = std::move(types);
  }
  if (find(body, "yard") != nullptr) spec.zone = name(body, "yard");
  spec.one_zone = boolean(body, "samePlace");
  spec.spread = boolean(body, "apart");
  if (spec.one_zone && spec.spread && spec.tasks > 1) {
    throw Malformed("samePlace and apart contradict each other");
  }
  spec.spot = boolean(body, "loaners");
  spec.image = name(body, "cargo");
  spec.image_gb = amount(body, "pullGb");
  spec.estimate_s = amount(body, "expectS");
  spec.checkpoint_s = amount(body, "waypointS");
  spec.save_s = amount(body, "stowS");
  if (find(body, "dueS") != nullptr) spec.deadline_s = amount(body, "dueS");
  // A service never ends by itself, so there is nothing that could be late.
  if (spec.is_service()) spec.deadline_s.reset();
  return spec;
}

Json encode_spec(const JobSpec& spec) {
  Json out{{"class", spec.job_class},   {"team", spec.team},
           {"gang", spec.is_gang()},    {"priority", static_cast<unsigned>(spec.priority)},
           {"tasks", spec.tasks},       {"cpus", spec.cpus},
           {"gpus", spec.gpus},         {"memory_gb", spec.memory_gb},
           {"one_zone", spec.one_zone}, {"spread", spec.spread},
           {"spot", spec.spot},         {"image", spec.image},
           {"image_gb", spec.image_gb}, {"estimate_s", spec.estimate_s},
           {"save_s", spec.save_s},     {"checkpoint_s", spec.checkpoint_s}};
  // Version 1 does not know this field and takes the job for an array; see docs/DESIGN.md,
  // Upgrades.
  if (spec.is_service()) out["service"] = true;
  if (spec.types) out["types"] = *spec.types;
  if (spec.zone) out["zone"] = *spec.zone;
  if (spec.deadline_s) out["deadline_s"] = *spec.deadline_s;
  return out;
}

JobSpec decode_spec(const std::string& id, const Json& record) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = text(record, "class");
  spec.team = text(record, "team");
  if (boolean(record, "gang")) {
    spec.shape = Shape::gang;
  } else if (find(record, "service") != nullptr && boolean(record, "service")) {
    spec.shape = Shape::service;
  }
  spec.priority = static_cast<Priority>(std::min<std::uint64_t>(integer(record, "priority"), 3));
  spec.tasks = static_cast<std::uint32_t>(integer(record, "tasks"));
  spec.cpus = amount(record, "cpus");
  spec.gpus = amount(record, "gpus");
  spec.memory_gb = amount(record, "memory_gb");
  spec.one_zone = boolean(record, "one_zone");
  spec.spread = boolean(record, "spread");
  spec.spot = boolean(record, "spot");
  spec.image = text(record, "image");
  spec.image_gb = amount(record, "image_gb");
  spec.estimate_s = amount(record, "estimate_s");
  spec.save_s = amount(record, "save_s");
  spec.checkpoint_s = amount(record, "checkpoint_s");
  if (find(record, "types") != nullptr) {
    spec.types = array(record, "types").get<std::vector<std::string>>();
  }
  if (find(record, "zone") != nullptr) spec.zone = text(record, "zone");
  if (find(record, "deadline_s") != nullptr) spec.deadline_s = amount(record, "deadline_s");
  return spec;
}

std::string encode_job_state(const std::string& id, JobState state) {
  return Json{{"ref", id}, {"stage", state_name(state)}}.dump();
}

std::string encode_job_status(const std::string& id, JobState state, std::uint32_t done,
                              std::uint32_t running) {
  return Json{{"ref", id}, {"stage", state_name(state)}, {"done", done}, {"running", running}}
      .dump();
}

std::string encode_error(const std::string& what) { return Json{{"error", what}}.dump(); }

UserTarget route_user_call(const std::string& method, const std::string& target) {
  const std::string path = target.substr(0, target.find('?'));
  constexpr std::string_view kJobs = "/v2/runs";
  UserTarget out;
  std::string wanted;
  if (path == kHealthPath) {
    out.call = UserCall::health;
    wanted = "GET";
  } else if (path == kJobs) {
    out.call = UserCall::submit;
    wanted = "POST";
  } else if (path.starts_with(kJobs) && path[kJobs.size()] == '/') {
    std::string rest = path.substr(kJobs.size() + 1);
    constexpr std::string_view kCancel = "/cancel";
    if (rest.ends_with(kCancel)) {
      out.call = UserCall::cancel;
      wanted = "POST";
      rest.resize(rest.size() - kCancel.size());
    } else {
      out.call = UserCall::query;
      wanted = "GET";
    }
    if (rest.empty() || rest.find('/') != std::string::npos) return {};
    out.id = std::move(rest);
  } else {
    return out;
  }
  out.wrong_method = method != wanted;
  return out;
}

}  // namespace larkroad::protocol
