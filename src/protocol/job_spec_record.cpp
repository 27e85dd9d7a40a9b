#include "protocol/job_spec_record.hpp"

#include <algorithm>
#include <cstdint>

namespace larkroad::protocol {
namespace {

// Field names in stored records. Every version in production reads them, so they must not change.
constexpr const char* kJobClass = "class";
constexpr const char* kTeam = "team";
constexpr const char* kGang = "gang";
constexpr const char* kService = "service";
constexpr const char* kPriority = "priority";
constexpr const char* kTasks = "tasks";
constexpr const char* kCpus = "cpus";
constexpr const char* kGpus = "gpus";
constexpr const char* kMemoryGb = "memory_gb";
constexpr const char* kOneZone = "one_zone";
constexpr const char* kSpread = "spread";
constexpr const char* kSpot = "spot";
constexpr const char* kImage = "image";
constexpr const char* kImageGb = "image_gb";
constexpr const char* kEstimate = "estimate_s";
constexpr const char* kSaveTime = "save_s";
constexpr const char* kCheckpointInterval = "checkpoint_s";
constexpr const char* kMachineTypes = "types";
constexpr const char* kZone = "zone";
constexpr const char* kDeadline = "deadline_s";

constexpr auto kLastPriority = static_cast<std::uint64_t>(Priority::low);

}  // namespace

Json encode_spec(const JobSpec& spec) {
  Json out{{kJobClass, spec.job_class}, {kTeam, spec.team},
           {kGang, spec.is_gang()},     {kPriority, static_cast<unsigned>(spec.priority)},
           {kTasks, spec.tasks},        {kCpus, spec.cpus},
           {kGpus, spec.gpus},          {kMemoryGb, spec.memory_gb},
           {kOneZone, spec.one_zone},   {kSpread, spec.spread},
           {kSpot, spec.spot},          {kImage, spec.image},
           {kImageGb, spec.image_gb},   {kEstimate, spec.estimate_s},
           {kSaveTime, spec.save_s},    {kCheckpointInterval, spec.checkpoint_s}};
  // Version 1 ignores this field and treats the job as an array; see "Upgrades" in docs/DESIGN.md.
  if (spec.is_service()) out[kService] = true;
  if (spec.types) out[kMachineTypes] = *spec.types;
  if (spec.zone) out[kZone] = *spec.zone;
  if (spec.deadline_s) out[kDeadline] = *spec.deadline_s;
  return out;
}

JobSpec decode_spec(const std::string& id, const Json& record) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = text(record, kJobClass);
  spec.team = text(record, kTeam);
  if (boolean(record, kGang)) {
    spec.shape = Shape::gang;
  } else if (find(record, kService) != nullptr && boolean(record, kService)) {
    spec.shape = Shape::service;
  }
  spec.priority = static_cast<Priority>(std::min(integer(record, kPriority), kLastPriority));
  spec.tasks = static_cast<std::uint32_t>(integer(record, kTasks));
  spec.cpus = amount(record, kCpus);
  spec.gpus = amount(record, kGpus);
  spec.memory_gb = amount(record, kMemoryGb);
  spec.one_zone = boolean(record, kOneZone);
  spec.spread = boolean(record, kSpread);
  spec.spot = boolean(record, kSpot);
  spec.image = text(record, kImage);
  spec.image_gb = amount(record, kImageGb);
  spec.estimate_s = amount(record, kEstimate);
  spec.save_s = amount(record, kSaveTime);
  spec.checkpoint_s = amount(record, kCheckpointInterval);
  if (find(record, kMachineTypes) != nullptr) {
    spec.types = array_of_strings(record, kMachineTypes);
  }
  if (find(record, kZone) != nullptr) spec.zone = text(record, kZone);
  if (find(record, kDeadline) != nullptr) spec.deadline_s = amount(record, kDeadline);
  return spec;
}

}  // namespace larkroad::protocol
