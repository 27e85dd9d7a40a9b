#include "coordination/scheduling/forecast.hpp"

#include <algorithm>
#include <cmath>

namespace larkroad::coordination {
namespace {

// The number that a Poisson-like count with this mean and spread exceeds with chance `miss`.
double quantile(double mean, double variance, double miss) {
  // An upper bound of the normal quantile: generous, and without a table.
  return mean + std::sqrt(2 * std::log(1 / std::max(miss, 1e-3)) * variance);
}

// The largest share that an aim of the class asks for which leaves no time to boot a machine; 0:
// there is none.
double pressing_share(const ClusterState& cluster, const std::string& job_class, Seconds boots) {
  double share = 0;
  for (const auto& aim : cluster.settings().objectives) {
    if (aim.job_class != job_class) continue;
    const bool pressing =
        (aim.kind == "wait" && aim.within_s < boots) || (aim.kind == "up" && aim.after_s < boots);
    if (pressing) share = std::max(share, aim.share);
  }
  return share;
}

// Of a class that ends by itself, what is there on average makes room for what comes. Replicas
// stay, so room is needed for what comes while another machine boots.
Seconds time_in_room(const ClusterState& cluster, const ClassStatistics& statistics,
                     Seconds boots) {
  if (statistics.latest.is_service()) return boots;
  return statistics.mean_run > 0 ? statistics.mean_run : cluster.expected_run(statistics.latest);
}

// The most replicas of the class on one machine: what its loss would ask room for at once.
double most_on_one_machine(const ClusterState& cluster, const std::string& job_class) {
  std::map<std::string, double> by_machine;
  double most = 0;
  for (const auto& [id, job] : cluster.jobs()) {
    if (job->spec.job_class != job_class) continue;
    for (const auto& [task, placement] : job->placements) {
      most = std::max(most, by_machine[placement.machine] += 1);
    }
  }
  return most;
}

void add_present(const ClusterState& cluster, const std::string& job_class, Forecast& out) {
  for (const auto& [id, job] : cluster.jobs()) {
    if (job->spec.job_class != job_class) continue;
    double there = job->waiting();
    if (!job->spec.is_service()) there += static_cast<double>(job->placements.size());
    out.current += there;
    out.current_by_team[job->spec.team] += there;
  }
}

}  // namespace

std::vector<Forecast> forecast(const ClusterState& cluster, Seconds now) {
  std::vector<Forecast> out;
  for (const auto& [name, statistics] : cluster.classes()) {
    const JobSpec& spec = statistics.latest;
    const Seconds boots = soonest_start(cluster, spec, true);
    const double share = pressing_share(cluster, name, boots);
    if (share <= 0 || statistics.tasks <= 0) continue;
    Forecast f;
    f.spec = &spec;
    const double mean =
        cluster.arrival_rate(statistics, now) * time_in_room(cluster, statistics, boots);
    // Jobs of many tasks come in lumps, which spreads the number that is there.
    const double lump = statistics.squares / statistics.tasks;
    f.wanted = quantile(mean, mean * lump, 1 - share);
    for (const auto& [team, tasks] : statistics.by_team) {
      const double part = mean * tasks / statistics.tasks;
      f.wanted_by_team[team] = quantile(part, part * lump, 1 - share);
    }
    if (spec.is_service()) f.wanted += most_on_one_machine(cluster, name);
    add_present(cluster, name, f);
    out.push_back(std::move(f));
  }
  return out;
}

}  // namespace larkroad::coordination
