#include "coordination/cluster_state/class_statistics.hpp"

#include <algorithm>
#include <cmath>

namespace larkroad::coordination {
namespace {

// A replica of a service runs until its user cancels the job: for longer than anything is planned.
constexpr Seconds kServiceRunTime = 1e7;
// The weight of the latest task in the averages of its class.
constexpr double kLearningRate = 0.1;
// A task that went on from a checkpoint, or a wild estimate, must not turn the class.
constexpr double kLeastRunRatio = 0.25;
constexpr double kMostRunRatio = 4.0;
// Arrivals are averaged over this many times what a cancellation may take: long against the tasks
// of today's deployments, short against the day.
constexpr double kDecayRatio = 4;

}  // namespace

Seconds WorkloadStatistics::expected_run(const JobSpec& spec) const {
  if (spec.is_service()) return kServiceRunTime;
  const auto it = classes_.find(spec.job_class);
  return spec.estimate_s * (it == classes_.end() ? 1 : it->second.run_ratio);
}

void WorkloadStatistics::learn_run(const JobSpec& spec, Seconds run_time) {
  ClassStatistics& statistics = classes_[spec.job_class];
  std::optional<Seconds>& mean = statistics.mean_run_time;
  if (mean) {
    *mean += (run_time - *mean) * kLearningRate;
  } else if (run_time > 0) {
    mean = run_time;
  }
  if (spec.estimate_s <= 0) return;
  const double ratio = std::clamp(run_time / spec.estimate_s, kLeastRunRatio, kMostRunRatio);
  statistics.run_ratio += (ratio - statistics.run_ratio) * kLearningRate;
}

void WorkloadStatistics::learn_arrival(const Job& job) {
  ClassStatistics& statistics = classes_[job.spec.job_class];
  // Jobs come in any order when they are read back; an older one counts by its age.
  const Seconds latest = std::max(statistics.weighted_to, job.submitted);
  const double decay = std::exp(-(latest - statistics.weighted_to) / decay_time());
  const double weight = std::exp(-(latest - job.submitted) / decay_time());
  const double size = job.spec.tasks;
  statistics.weighted_tasks = statistics.weighted_tasks * decay + size * weight;
  statistics.weighted_squares = statistics.weighted_squares * decay + size * size * weight;
  for (auto& [team, tasks] : statistics.weighted_tasks_by_team) tasks *= decay;
  statistics.weighted_tasks_by_team[job.spec.team] += size * weight;
  if (job.submitted >= statistics.weighted_to) statistics.latest = job.spec;
  statistics.weighted_to = latest;
}

double WorkloadStatistics::arrival_rate(const ClassStatistics& statistics, Seconds now) const {
  const Seconds age = std::max(0.0, now - statistics.weighted_to);
  return statistics.weighted_tasks * std::exp(-age / decay_time()) / decay_time();
}

Seconds WorkloadStatistics::decay_time() const {
  return settings_.cancellation_limit_s * kDecayRatio;
}

}  // namespace larkroad::coordination
