#include "coordination/api/job_admission.hpp"

#include <algorithm>
#include <set>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {
namespace {

std::set<std::string> allowed_zones(const protocol::JobSpec& spec,
                                    const std::vector<protocol::MachineType>& types) {
  std::set<std::string> zones;
  for (const auto& type : types) {
    for (const auto& zone : type.zones) {
      if (allows(spec, type, zone, false)) zones.insert(zone);
    }
  }
  return zones;
}

}  // namespace

std::optional<std::string> unschedulable_reason(const protocol::JobSpec& spec,
                                                const Settings& settings,
                                                const std::vector<protocol::MachineType>& types) {
  const TeamSettings* team = settings.team(spec.team);
  if (team == nullptr) return "unknown team";
  const std::set<std::string> zones = allowed_zones(spec, types);
  if (zones.empty()) return "a task fits no allowed machine type";
  const bool all_at_once = spec.is_gang() || spec.is_service();
  const std::uint32_t concurrent_tasks = all_at_once ? spec.tasks : 1;
  const Resources limit{team->cpus_max, team->gpus_max, kNoLimit};
  if (limit.max_fitting({spec.cpus, spec.gpus, 0}) < concurrent_tasks) {
    return "the job needs more than its team's limit";
  }
  if (all_at_once && spec.spread && spec.tasks > 1 && zones.size() < 2) {
    return "the tasks cannot be spread over zones";
  }
  return std::nullopt;
}

void remove_unknown_types(protocol::JobSpec& spec,
                          const std::vector<protocol::MachineType>& types) {
  if (!spec.types) return;
  std::erase_if(*spec.types, [&](const std::string& name) {
    return std::none_of(types.begin(), types.end(),
                        [&](const auto& type) { return type.name == name; });
  });
}

}  // namespace larkroad::coordination
