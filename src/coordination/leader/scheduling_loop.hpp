/// Runs scheduling cycles on request and applies their decisions.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/election/leadership.hpp"
#include "coordination/leader/lag_meter.hpp"
#include "coordination/scaling/fleet_usage.hpp"
#include "coordination/scheduling/scheduler.hpp"
#include "settings.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::coordination {

/// Batches requests for a short time, runs one cycle, and pauses in proportion to its duration, so
/// that heartbeats and user requests are answered in between. A cycle that exceeds its time budget
/// is continued by the next one. While the process is overloaded, cycles start no low-priority
/// work.
class SchedulingLoop {
 public:
  /// How a task is stopped that is preempted or migrated.
  enum class StopMode {
    immediate,
    graceful,  // with time to save a checkpoint
  };
  /// Actions that the loop delegates to the leader.
  struct Callbacks {
    /// Called after tasks of the job have been placed: writes their placements to the store.
    std::function<void(Job&)> persist;
    std::function<void(Job&, Placement&, StopMode)> stop;
  };

  SchedulingLoop(transport::Clock& clock, const Leadership& leadership, const Settings& settings,
                 ClusterState& cluster, GangReservations& reservations, const LagMeter& lag,
                 LeaderActivity& activity, Callbacks callbacks);

  /// Resets the state of a previous term. No cycle runs before `start`.
  void begin_term();
  /// Allows cycles to run, after the state has been recovered.
  void start() { started_ = true; }
  /// Cancels the pending timer.
  void end_term();

  /// Schedules a cycle, unless one is scheduled already.
  void request_cycle();
  /// Whether the last cycle exceeded its time budget, so that the next one continues from there.
  bool is_unfinished() const { return resume_index_ != 0; }

 private:
  void run_cycle();
  CycleLimits limits(Seconds started_at) const;
  void apply(const Assignment& assignment, Seconds start_bound);
  void apply(const Preemption& preemption);
  void apply(const ReplicaMigration& migration);
  void place(Job& job, std::uint32_t task, const std::string& machine);

  transport::Clock& clock_;
  const Leadership& leadership_;
  const Settings& settings_;
  ClusterState& cluster_;
  GangReservations& reservations_;
  const LagMeter& lag_;
  LeaderActivity& activity_;
  Callbacks callbacks_;
  transport::CallbackScope term_scope_;  // timers of the current term
  bool started_ = false;
  bool cycle_scheduled_ = false;  // the timer of the next cycle is pending
  size_t resume_index_ = 0;       // index in the job queue; 0: from the start
  Seconds next_cycle_at_ = 0;     // no cycle starts earlier; kept across terms
};

}  // namespace larkroad::coordination
