/// Stops tasks on workers, one by one or all that a machine must give up.
#pragma once

#include <functional>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/workers/command_dispatcher.hpp"
#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Decides how tasks are stopped, and sends the commands for it.
///
/// Marks placements as stopping; they end once a heartbeat shows that the task is gone. Has no
/// state of its own. Called by heartbeat processing, scheduling (preemption, replica migration),
/// cancellation and the abortion of gang attempts.
class TaskEvictor {
 public:
  TaskEvictor(const transport::Clock& clock, ClusterState& cluster, CommandDispatcher& dispatcher,
              const Settings& settings, std::function<void()> request_plan);

  /// Stops a task. `grace_s`: how long it may take to save a checkpoint; 0: none at all. A task
  /// that is stopping already is sent another command only when that leaves it less time.
  void stop(Job& job, Placement& placement, double grace_s);
  /// The grace within which a task of the job can save a checkpoint.
  double checkpoint_grace(const Job& job) const;
  /// Evicts the tasks of a spot machine that is to be reclaimed after so many seconds, as far as
  /// they save something by it: all members of a gang together, and tasks with checkpoints.
  void drain(Machine& machine, double reclaim_notice_s);

 private:
  void evict_before_reclaim(Job& job, Placement& placement);

  const transport::Clock& clock_;
  ClusterState& cluster_;
  CommandDispatcher& dispatcher_;
  const Settings& settings_;
  std::function<void()> request_plan_;
};

}  // namespace larkroad::coordination
