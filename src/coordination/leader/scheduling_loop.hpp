/// Runs scheduling cycles when something has changed, and carries out what they decide.
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

/// Gathers requests for a cycle for a moment, runs one cycle, and pauses in proportion to what it
/// took, so that heartbeats and users are answered in between. A cycle that runs out of time is
/// continued by the next one. When the process is behind with its work, cycles start no more work
/// of low priority until it has caught up.
class SchedulingLoop {
 public:
  /// How a task is stopped that has to leave its machine.
  enum class StopMode {
    immediate,
    graceful,  // with time to save a checkpoint
  };
  /// What the loop tells the rest of the leader.
  struct Callbacks {
    /// Tasks of the job have been placed: their placements are to be made durable.
    std::function<void(Job&)> persist;
    std::function<void(Job&, Placement&, StopMode)> stop;
  };

  SchedulingLoop(transport::Clock& clock, const Leadership& leadership, const Settings& settings,
                 ClusterState& cluster, GangReservations& reservations, const LagMeter& lag,
                 LeaderActivity& activity, Callbacks callbacks);

  /// Forgets everything of an earlier term. No cycle runs before `start`.
  void begin_term();
  /// The state is recovered: cycles may run from now on.
  void start() { started_ = true; }
  /// Timers that are set have no effect any more.
  void end_term();

  /// Asks for a cycle soon; one that is due already serves this request too.
  void request_cycle();
  /// Whether the last cycle ran out of time, so that the next one goes on from there.
  bool is_unfinished() const { return resume_at_ != 0; }

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
  transport::CallbackScope scope_;  // of this term of leadership
  bool started_ = false;
  bool cycle_due_ = false;     // the timer of the next cycle is set
  size_t resume_at_ = 0;       // in the order of work; 0: from its beginning
  Seconds next_cycle_at_ = 0;  // no cycle before this; kept over terms
};

}  // namespace larkroad::coordination
