#include "coordination/scheduling/priority_aging.hpp"

#include <algorithm>

namespace larkroad::coordination {
namespace {

// A job that has not begun ages after these parts of its time to start: the bound less what its
// image takes to arrive, though no less than this part of the bound. Aging early costs others: in a
// burst that lasts, all capacity would go to the jobs that have waited longest.
constexpr double kLeastTimeToStart = 1.0 / 2;
constexpr double kFirstAfter = 3.0 / 4;
constexpr double kUrgentAfter = 5.0 / 6;

// The longest that any machine which may run the job takes to fetch its image.
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
      std::max(start_bound - longest_fetch(cluster, job.spec), start_bound * kLeastTimeToStart);
  const Seconds waited = now - job.submitted;
  if (waited > time_to_start * kUrgentAfter) return Aging::urgent;
  if (waited > time_to_start * kFirstAfter) return Aging::first_of_its_priority;
  return Aging::none;
}

protocol::Priority aged_priority(const Job& job, Aging aging) {
  const protocol::Priority own = job.spec.priority;
  return aging == Aging::urgent ? std::min(own, protocol::Priority::high) : own;
}

}  // namespace larkroad::coordination
