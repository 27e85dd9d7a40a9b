#include "coordination/scheduling/forecast.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace larkroad::coordination {
namespace {

// Lower limit of the miss probability used in forecasts.
constexpr double kMinMissProbability = 1e-3;

// The number that a Poisson-like count with this mean and variance exceeds with probability
// `miss_probability`.
double quantile(double mean, double variance, double miss_probability) {
  // An upper bound of the normal quantile, which needs no table.
  return mean +
         std::sqrt(2 * std::log(1 / std::max(miss_probability, kMinMissProbability)) * variance);
}

// The largest share of tasks that some objective of the class requires to start faster than a new
// machine can; 0: no objective does.
double share_without_boot_time(const ClusterState& cluster, const std::string& job_class,
                               Seconds new_machine_start) {
  double share = 0;
  for (const auto& objective : cluster.settings().objectives) {
    if (objective.job_class != job_class) continue;
    const bool urgent = (objective.kind == "wait" && objective.within_s < new_machine_start) ||
                        (objective.kind == "up" && objective.after_s < new_machine_start);
    if (urgent) share = std::max(share, objective.share);
  }
  return share;
}

// The time over which arrivals accumulate into the demand of the class. Tasks that end by
// themselves free on average the capacity that later ones need. Replicas stay, so capacity is
// needed for those that arrive while another machine boots.
Seconds occupancy_time(const ClusterState& cluster, const ClassStatistics& statistics,
                       Seconds new_machine_start) {
  if (statistics.latest.is_service()) return new_machine_start;
  return statistics.mean_run_time.value_or(cluster.expected_run(statistics.latest));
}

// The largest number of replicas of the class on one machine, which would have to be restarted
// together if that machine were lost.
double max_replicas_on_one_machine(const ClusterState& cluster, const std::string& job_class) {
  std::map<std::string, double> by_machine;
  double most = 0;
  for (const auto& [id, job] : cluster.jobs()) {
    if (job->spec.job_class != job_class) continue;
    for (const auto& [task, placement] : job->placements) {
      double& replicas = by_machine[placement.machine];
      replicas += 1;
      most = std::max(most, replicas);
    }
  }
  return most;
}

void add_current(const ClusterState& cluster, const std::string& job_class, Forecast& out) {
  for (const auto& [id, job] : cluster.jobs()) {
    if (job->spec.job_class != job_class) continue;
    double tasks = job->waiting();
    if (!job->spec.is_service()) tasks += static_cast<double>(job->placements.size());
    out.current += tasks;
    out.current_by_team[job->spec.team] += tasks;
  }
}

// The forecast for one class; none when no objective of it needs one.
std::optional<Forecast> forecast_class(const ClusterState& cluster, const std::string& name,
                                       const ClassStatistics& statistics, Seconds now) {
  const JobSpec& spec = statistics.latest;
  const auto new_machine_start = shortest_start_time(cluster.types(), spec, StartsOn::new_machine);
  if (!new_machine_start) return std::nullopt;
  const double share = share_without_boot_time(cluster, name, *new_machine_start);
  if (share <= 0 || statistics.weighted_tasks <= 0) return std::nullopt;

  Forecast out;
  out.spec = &spec;
  const double mean = cluster.arrival_rate(statistics, now) *
                      occupancy_time(cluster, statistics, *new_machine_start);
  // Tasks of one job arrive together, which raises the variance of the count.
  const double mean_batch = statistics.weighted_squares / statistics.weighted_tasks;
  out.wanted = quantile(mean, mean * mean_batch, 1 - share);
  for (const auto& [team, tasks] : statistics.weighted_tasks_by_team) {
    const double team_mean = mean * tasks / statistics.weighted_tasks;
    out.wanted_by_team[team] = quantile(team_mean, team_mean * mean_batch, 1 - share);
  }
  if (spec.is_service()) out.wanted += max_replicas_on_one_machine(cluster, name);
  add_current(cluster, name, out);
  return out;
}

}  // namespace

std::vector<Forecast> forecast(const ClusterState& cluster, Seconds now) {
  std::vector<Forecast> out;
  for (const auto& [name, statistics] : cluster.classes()) {
    if (auto expected = forecast_class(cluster, name, statistics, now)) {
      out.push_back(std::move(*expected));
    }
  }
  return out;
}

}  // namespace larkroad::coordination
