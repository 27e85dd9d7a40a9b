#include "coordination/scheduling/replica_migration.hpp"

namespace larkroad::coordination {
namespace {

bool must_migrate(const ClusterState& cluster, const TaskId& id) {
  const Job* job = cluster.job(id.job);
  if (job == nullptr || !job->spec.is_service() || job->cancelled) return false;
  const auto it = job->placements.find(id.task);
  return it != job->placements.end() && it->second.stage == Placement::Stage::acknowledged &&
         !it->second.stopping;
}

}  // namespace

std::vector<ReplicaMigration> replicas_to_migrate(const ClusterState& cluster) {
  std::vector<ReplicaMigration> out;
  for (const auto& [name, machine] : cluster.machines()) {
    if (!machine.reclaim_at && !machine.quarantined) continue;
    for (const TaskId& id : machine.tasks) {
      if (must_migrate(cluster, id)) out.push_back({id.job, id.task, name});
    }
  }
  return out;
}

}  // namespace larkroad::coordination
