/// Reconciles placements with the tasks that workers report.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/election/election.hpp"
#include "coordination/workers/command_dispatcher.hpp"
#include "coordination/workers/failure_tracker.hpp"
#include "protocol/worker_messages.hpp"
#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

/// The source of a heartbeat. Commands in the response to a worker's own heartbeat are never
/// carried out late: the worker's next heartbeat shows that they were carried out or dropped.
enum class HeartbeatSource {
  worker,       ///< sent by the worker, directly or through a relay
  call_answer,  ///< the worker's answer to a call by this leader
};

/// Compares the tasks of a heartbeat with the placements on its machine, in one pass.
///
/// Updates the placement of each reported task, has the worker kill tasks without a placement, and
/// has it forget exited tasks. Placed tasks that are not reported are launched again or counted as
/// gone. Stateless; writes placements and `Machine::launches`. A task is counted as gone only
/// when no launch of it can still take effect, so that none runs twice.
///
/// Called by heartbeat processing and by machine health.
class TaskReconciler {
 public:
  /// Effects on jobs.
  struct Callbacks {
    /// Writes the changed records of the job.
    std::function<void(Job& job)> persist;
    /// Called when a task provably no longer runs and has not completed.
    std::function<void(Job& job, std::uint32_t task, const std::string& reason)> task_gone;
    /// Stops the other tasks of the gang.
    std::function<void(Job& job, const std::string& reason)> abort_gang_attempt;
    /// Requests a scheduling cycle.
    std::function<void()> request_scheduling_cycle;
  };

  TaskReconciler(const transport::Clock& clock, ClusterState& cluster, const Election& election,
                 CommandDispatcher& dispatcher, FailureTracker& failures, Callbacks callbacks);

  /// Processes the tasks in the machine's newest heartbeat, and returns the commands for its
  /// worker.
  Commands reconcile(Machine& machine, const protocol::Heartbeat& heartbeat,
                     HeartbeatSource source);
  /// Ends all tasks that ran on the machine under incarnations before this one.
  void end_incarnations_before(Machine& machine, std::uint64_t incarnation);
  /// Ends all tasks on the machine, as the machine itself is gone.
  void end_all_tasks(Machine& machine, const std::string& reason);

 private:
  Placement* find_placement(const Machine& machine, const protocol::TaskStatus& task);
  void reconcile_task(Machine& machine, const protocol::TaskStatus& task, Commands& commands);
  void reconcile_exited_task(Machine& machine, const protocol::TaskStatus& task,
                             Commands& commands);
  void update_placement(Machine& machine, Job& job, Placement& placement, TaskState state);
  void reconcile_absent_tasks(Machine& machine, const protocol::Heartbeat& heartbeat,
                              HeartbeatSource source, Commands& commands);
  void reconcile_absent_task(Machine& machine, Job& job, Placement& placement,
                             HeartbeatSource source, Commands& commands);
  void handle_exit(Machine& machine, Job& job, const protocol::TaskStatus& task);
  void complete_task(Machine& machine, Job& job, std::uint32_t task);
  bool is_result_durable(const protocol::TaskStatus& task) const;
  bool can_forget(Machine& machine, const LaunchKey& launch);

  const transport::Clock& clock_;
  ClusterState& cluster_;
  const Election& election_;
  CommandDispatcher& dispatcher_;
  FailureTracker& failures_;
  Callbacks callbacks_;
};

}  // namespace larkroad::coordination
