#include "coordination/cluster_state/machine_eligibility.hpp"

#include <algorithm>

#include "coordination/cluster_state/planning_horizon.hpp"
#include "coordination/cluster_state/resources.hpp"

namespace larkroad::coordination {

using transport::Seconds;

bool allows(const JobSpec& spec, const MachineType& type, const std::string& zone, bool spot) {
  if (spot && !spec.spot) return false;
  if (spec.zone && *spec.zone != zone) return false;
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) {
    return false;
  }
  return capacity_of(type).fits(needs_of(spec));
}

Seconds fetch_time(const JobSpec& spec, const MachineType& type) {
  if (type.fetch_gb_per_s <= 0) return 0;
  return within_planning_horizon(spec.image_gb / type.fetch_gb_per_s);
}

std::optional<Seconds> shortest_start_time(const std::vector<MachineType>& types,
                                           const JobSpec& spec, StartsOn starts_on) {
  std::optional<Seconds> shortest;
  for (const MachineType& type : types) {
    if (type.zones.empty()) continue;
    if (!allows(spec, type, spec.zone.value_or(type.zones.front()), false)) continue;
    const Seconds boot = starts_on == StartsOn::new_machine ? type.boot_s : 0;
    const Seconds start = boot + fetch_time(spec, type);
    if (!shortest || start < *shortest) shortest = start;
  }
  return shortest;
}

}  // namespace larkroad::coordination
