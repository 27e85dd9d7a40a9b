#include "coordination/cluster_state/class_statistics.hpp"

#include <algorithm>
#include <cmath>

#include "coordination/cluster_state/planning_horizon.hpp"

namespace larkroad::coordination {
namespace {

// The weight of the newest sample in the moving averages of a class.
constexpr double kLearningRate = 0.1;
// Bounds of one sample, so that a task resumed from a checkpoint or a grossly wrong estimate does
// not distort the average of its class.
constexpr double kMinRunTimeRatio = 0.25;
constexpr double kMaxRunTimeRatio = 4.0;
// The time constant of the decay of arrivals, as a multiple of the time limit for cancellations.
// The result is long compared with typical task run times and short compared with a day.
constexpr double kDecayTimeRatio = 4;

}  // namespace

Seconds WorkloadStatistics::expected_run(const JobSpec& spec) const {
  if (spec.is_service()) return kPlanningHorizon;
  const auto it = classes_.find(spec.job_class);
  const double ratio = it == classes_.end() ? 1 : it->second.run_time_ratio;
  return within_planning_horizon(spec.estimate_s * ratio);
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
  const double ratio = std::clamp(run_time / spec.estimate_s, kMinRunTimeRatio, kMaxRunTimeRatio);
  statistics.run_time_ratio += (ratio - statistics.run_time_ratio) * kLearningRate;
}

void WorkloadStatistics::learn_arrival(const Job& job) {
  ClassStatistics& statistics = classes_[job.spec.job_class];
  // Recovery reads jobs in any order; an older job is weighted by its age.
  const Seconds latest = std::max(statistics.weights_as_of, job.submitted);
  const double decay = std::exp(-(latest - statistics.weights_as_of) / decay_time());
  const double weight = std::exp(-(latest - job.submitted) / decay_time());
  const double size = job.spec.tasks;
  statistics.weighted_tasks = statistics.weighted_tasks * decay + size * weight;
  statistics.weighted_squares = statistics.weighted_squares * decay + size * size * weight;
  for (auto& [team, tasks] : statistics.weighted_tasks_by_team) tasks *= decay;
  statistics.weighted_tasks_by_team[job.spec.team] += size * weight;
  if (job.submitted >= statistics.weights_as_of) statistics.latest = job.spec;
  statistics.weights_as_of = latest;
}

double WorkloadStatistics::arrival_rate(const ClassStatistics& statistics, Seconds now) const {
  const Seconds age = std::max(0.0, now - statistics.weights_as_of);
  return statistics.weighted_tasks * std::exp(-age / decay_time()) / decay_time();
}

Seconds WorkloadStatistics::decay_time() const {
  return settings_.cancellation_limit_s * kDecayTimeRatio;
}

}  // namespace larkroad::coordination
