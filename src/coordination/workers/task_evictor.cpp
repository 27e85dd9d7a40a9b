#include "coordination/workers/task_evictor.hpp"

#include <utility>

#include "log.hpp"

namespace larkroad::coordination {

TaskEvictor::TaskEvictor(const transport::Clock& clock, ClusterState& cluster,
                         CommandDispatcher& dispatcher, const Settings& settings,
                         std::function<void()> request_scheduling_cycle)
    : clock_(clock),
      cluster_(cluster),
      dispatcher_(dispatcher),
      settings_(settings),
      request_scheduling_cycle_(std::move(request_scheduling_cycle)) {}

void TaskEvictor::stop(Job& job, Placement& placement, double grace_s) {
  if (placement.stopping && placement.grace_s <= grace_s) return;
  placement.stopping = true;
  placement.grace_s = grace_s;
  const Machine* machine = cluster_.find_machine(placement.machine);
  if (machine == nullptr || machine->address.empty()) return;
  placement.stop_sent = clock_.now();
  dispatcher_.queue(
      placement.machine,
      {{protocol::CommandType::kill, {job.id(), placement.task}, placement.attempt, grace_s}});
}

// The time to save a checkpoint, plus a margin of one heartbeat interval for slow machines.
double TaskEvictor::checkpoint_grace(const Job& job) const {
  return job.spec.save_s + settings_.heartbeat_interval_s;
}

void TaskEvictor::drain(Machine& machine, double reclaim_notice_s) {
  machine.reclaim_at = clock_.now() + reclaim_notice_s;
  spdlog::info("machine will be reclaimed: machine={} notice_s={:.1f}", machine.name,
               reclaim_notice_s);
  const auto tasks = machine.tasks;  // a copy, as the loop may modify the set
  for (const auto& id : tasks) {
    Job* job = cluster_.job(id.job);
    if (job == nullptr) continue;
    const auto it = job->placements.find(id.task);
    if (it == job->placements.end() || it->second.stage != Placement::Stage::acknowledged) continue;
    evict_before_reclaim(*job, it->second);
  }
}

void TaskEvictor::evict_before_reclaim(Job& job, Placement& placement) {
  if (job.spec.is_gang() && job.spec.tasks > 1) {
    // Stops all members gracefully, with the same grace period and in one call per machine.
    for (auto& [task, member] : job.placements) {
      if (member.stage == Placement::Stage::acknowledged) {
        stop(job, member, checkpoint_grace(job));
      }
    }
  } else if (job.spec.is_service()) {
    // The scheduler first finds capacity for the replica on another machine.
    request_scheduling_cycle_();
  } else if (job.spec.checkpoint_s > 0 || placement.state != TaskState::running) {
    stop(job, placement, checkpoint_grace(job));
  }
}

}  // namespace larkroad::coordination
