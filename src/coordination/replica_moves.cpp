#include "coordination/replica_moves.hpp"

namespace larkroad::coordination {
namespace {

bool must_move(const ClusterState& cluster, const TaskId& id) {
  const Job* job = cluster.job(id.job);
  if (job == nullptr || !job->spec.is_service() || job->cancelled) return false;
  const auto it = job->live.find(id.task);
  return it != job->live.end() && it->second.stage == Placement::Stage::held &&
         !it->second.stopping;
}

}  // namespace

std::vector<ReplicaMove> replicas_to_move(const ClusterState& cluster) {
  std::vector<ReplicaMove> out;
  for (const auto& [name, machine] : cluster.machines()) {
    if (!machine.taken_at && !machine.quarantined) continue;
    for (const TaskId& id : machine.tasks) {
      if (must_move(cluster, id)) out.push_back({id.job, id.task, name});
    }
  }
  return out;
}

}  // namespace larkroad::coordination
