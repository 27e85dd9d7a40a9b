#include "coordination/scheduling/priority_aging.hpp"

#include <algorithm>

namespace larkroad::coordination {
namespace {

// The time to start is the bound less the fetch time of the job's image, but at least this fraction
// of the bound.
constexpr double kMinTimeToStartRatio = 1.0 / 2;
// A job that has not started ages after these fractions of its time to start. Earlier aging would
// harm other jobs: in a long burst, all capacity would go to the jobs that have waited longest.
constexpr double kFirstOfPriorityRatio = 3.0 / 4;
constexpr double kUrgentRatio = 5.0 / 6;

// The longest fetch time of the job's image on any machine type that may run the job.
Seconds longest_fetch(const ClusterState& cluster, const JobSpec& spec) {
  Seconds longest = 0;
  for (const MachineType& type : cluster.types()) {
    const bool allowed =
        std::any_of(type.zones.begin(), type.zones.end(),
                    [&](const std::string& zone) { return allows(spec, type, zone, spec.spot); });
    if (allowed) longest = std::max(longest, fetch_time(spec, type));
  }
  return longest;
}

}  // namespace

Aging aging_of(const ClusterState& cluster, const Job& job, Seconds now, Seconds start_bound) {
  if (start_bound <= 0 || job.seen_running) return Aging::none;
  const Seconds time_to_start =
      std::max(start_bound - longest_fetch(cluster, job.spec), start_bound * kMinTimeToStartRatio);
  const Seconds waited = now - job.submitted;
  if (waited > time_to_start * kUrgentRatio) return Aging::urgent;
  if (waited > time_to_start * kFirstOfPriorityRatio) return Aging::first_of_its_priority;
  return Aging::none;
}

protocol::Priority aged_priority(const Job& job, Aging aging) {
  const protocol::Priority own = job.spec.priority;
  return aging == Aging::urgent ? std::min(own, protocol::Priority::high) : own;
}

}  // namespace larkroad::coordination
