#include "coordination/scheduling/quota.hpp"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace larkroad::coordination {
namespace {

bool submitted_before(const Job* a, const Job* b) {
  return std::tie(a->submitted_at, a->id()) < std::tie(b->submitted_at, b->id());
}

}  // namespace

std::set<std::string> within_guarantee(const ClusterState& cluster) {
  std::map<std::string, std::vector<const Job*>> by_team;
  for (const auto& [id, job] : cluster.jobs()) {
    if (!job->is_finished()) by_team[job->spec.team].push_back(job.get());
  }
  std::set<std::string> out;
  for (auto& [name, jobs] : by_team) {
    const TeamSettings* team = cluster.settings().team(name);
    if (team == nullptr) continue;
    std::sort(jobs.begin(), jobs.end(), submitted_before);
    Resources sum;
    const Resources guarantee{team->cpus, team->gpus, kNoLimit};
    for (const Job* job : jobs) {
      sum.cpus += job->spec.cpus * job->spec.tasks;
      sum.gpus += job->spec.gpus * job->spec.tasks;
      if (guarantee.fits(sum)) out.insert(job->id());
    }
  }
  return out;
}

bool has_guarantee(const Settings& settings, const std::string& team) {
  const TeamSettings* known = settings.team(team);
  return known != nullptr && (known->cpus > 0 || known->gpus > 0);
}

Resources quota_left(const ClusterState& cluster, const std::string& name,
                     const Resources& reserved) {
  const TeamSettings* team = cluster.settings().team(name);
  if (team == nullptr) return {};
  Resources used = cluster.used_by(name);
  used += reserved;
  return {team->cpus_max - used.cpus, team->gpus_max - used.gpus, kNoLimit};
}

std::uint32_t tasks_within(const Resources& quota, const JobSpec& spec) {
  return quota.max_fitting({spec.cpus, spec.gpus, 0});
}

}  // namespace larkroad::coordination
