/// Stops individual tasks on workers, or the tasks of a machine that is to be reclaimed.
#pragma once

#include <functional>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/workers/command_dispatcher.hpp"
#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Decides how tasks are stopped, and queues the kill commands.
///
/// Marks placements as stopping; they are removed once a heartbeat shows that the task is gone.
/// Stateless. Called by heartbeat processing, scheduling (preemption, replica migration),
/// cancellation and the abort of gang attempts.
class TaskEvictor {
 public:
  TaskEvictor(const transport::Clock& clock, ClusterState& cluster, CommandDispatcher& dispatcher,
              const Settings& settings, std::function<void()> request_scheduling_cycle);

  /// Stops a task. `grace_s`: how long it may take to save a checkpoint; 0: it must not save one. A
  /// task that is already stopping is sent another command only if that shortens its grace period.
  void stop(Job& job, Placement& placement, double grace_s);
  /// The grace period within which a task of the job can save a checkpoint.
  double checkpoint_grace(const Job& job) const;
  /// Evicts tasks of a spot machine that is to be reclaimed in `reclaim_notice_s`, if stopping them
  /// early preserves progress: all members of a gang together, and tasks with checkpoints.
  void drain(Machine& machine, double reclaim_notice_s);

 private:
  void evict_before_reclaim(Job& job, Placement& placement);

  const transport::Clock& clock_;
  ClusterState& cluster_;
  CommandDispatcher& dispatcher_;
  const Settings& settings_;
  std::function<void()> request_scheduling_cycle_;
};

}  // namespace larkroad::coordination
