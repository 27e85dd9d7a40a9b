#include "coordination/scheduling/due_times.hpp"

#include <algorithm>

#include "coordination/cluster_state/planning_horizon.hpp"

namespace larkroad::coordination {
namespace {

// The time by which the objective requires the job to be done; none when it does not apply.
std::optional<Seconds> due_time(const ClusterState& cluster, const Job& job,
                                const Objective& objective) {
  if (!objective.job_class.empty() && objective.job_class != job.spec.job_class) {
    return std::nullopt;
  }
  if (objective.kind == "deadline" && job.spec.deadline_s) {
    return job.submitted + within_planning_horizon(*job.spec.deadline_s * objective.times);
  }
  if (objective.kind == "finished" && !job.spec.is_service()) {
    return job.submitted + objective.within_s;
  }
  if (objective.kind == "wait" && !job.seen_running) {
    return job.submitted + objective.within_s + cluster.expected_run(job.spec);
  }
  if (objective.kind == "up") {
    const Seconds wanted_since = std::max(job.submitted, job.replica_lost_at);
    return wanted_since + objective.after_s + cluster.expected_run(job.spec);
  }
  return std::nullopt;
}

}  // namespace

std::vector<Seconds> due_times(const ClusterState& cluster, const Job& job) {
  std::vector<Seconds> out;
  for (const Objective& objective : cluster.settings().objectives) {
    if (const auto due = due_time(cluster, job, objective)) out.push_back(*due);
  }
  if (out.empty() && job.spec.deadline_s) {
    out.push_back(job.submitted + within_planning_horizon(*job.spec.deadline_s));
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::optional<Seconds> next_start_by(const ClusterState& cluster, const Job& job, Seconds now) {
  const Seconds run_time = cluster.expected_run(job.spec);
  for (const Seconds due : due_times(cluster, job)) {
    if (due - run_time > now) return due - run_time;
  }
  return std::nullopt;
}

}  // namespace larkroad::coordination
