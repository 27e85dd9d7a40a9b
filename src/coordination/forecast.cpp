#include "coordination/forecast.hpp"

#include <algorithm>
#include <cmath>

namespace larkroad::coordination {
namespace {

// The number that a Poisson-like count with this mean and spread exceeds with chance `miss`.
double quantile(double mean, double variance, double miss) {
  // An upper bound of the normal quantile: generous, and without a table.
  return mean + std::sqrt(2 * std::log(1 / std::max(miss, 1e-3)) * variance);
}

}  // namespace

std::vector<Forecast> forecast(const ClusterState& cluster, Seconds now) {
  std::vector<Forecast> out;
  for (const auto& [name, statistics] : cluster.classes()) {
    const JobSpec& spec = statistics.latest;
    double share = 0;
    const Seconds soonest = soonest_start(cluster, spec, true);
    for (const auto& aim : cluster.settings().objectives) {
      if (aim.kind != "wait" || aim.job_class != name || aim.within_s >= soonest) continue;
      share = std::max(share, aim.share);
    }
    if (share <= 0 || statistics.tasks <= 0) continue;
    Forecast f;
    f.spec = &spec;
    const Seconds run = statistics.mean_run > 0 ? statistics.mean_run : cluster.expected_run(spec);
    const double mean = cluster.arrival_rate(statistics, now) * run;
    // Jobs of many tasks come in lumps, which spreads the number that is there.
    const double lump = statistics.squares / statistics.tasks;
    f.wanted = quantile(mean, mean * lump, 1 - share);
    for (const auto& [team, tasks] : statistics.by_team) {
      const double part = mean * tasks / statistics.tasks;
      f.wanted_by_team[team] = quantile(part, part * lump, 1 - share);
    }
    for (const auto& [id, job] : cluster.jobs()) {
      if (job->spec.job_class != name) continue;
      const double there = job->waiting() + static_cast<double>(job->live.size());
      f.present += there;
      f.present_by_team[job->spec.team] += there;
    }
    out.push_back(std::move(f));
  }
  return out;
}

}  // namespace larkroad::coordination
