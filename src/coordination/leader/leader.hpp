/// The leader: owns the cluster state during a term of leadership and connects its components.
///
/// The components keep their own state and notify each other through callbacks that are set up
/// here: StateRecovery and JobWatch read the records; PlacementWriter, GarbageCollector and
/// ImageRecorder write them; SchedulingLoop places tasks; CloudReconciler rents and releases
/// machines; and the classes in workers/ process heartbeats and send commands. The Controller
/// begins a term when the election is won and ends it when leadership is lost.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/api/user_api.hpp"
#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/election/election.hpp"
#include "coordination/election/leadership.hpp"
#include "coordination/leader/lag_meter.hpp"
#include "coordination/leader/scheduling_loop.hpp"
#include "coordination/records/garbage_collector.hpp"
#include "coordination/records/image_recorder.hpp"
#include "coordination/records/placement_writer.hpp"
#include "coordination/recovery/job_watch.hpp"
#include "coordination/recovery/state_recovery.hpp"
#include "coordination/relay/relay_assignment.hpp"
#include "coordination/scaling/cloud_reconciler.hpp"
#include "coordination/scaling/fleet_usage.hpp"
#include "coordination/scaling/machine_catalog.hpp"
#include "coordination/scaling/removed_machines.hpp"
#include "coordination/scheduling/gang_reservations.hpp"
#include "coordination/workers/command_dispatcher.hpp"
#include "coordination/workers/failure_tracker.hpp"
#include "coordination/workers/heartbeat_endpoint.hpp"
#include "coordination/workers/heartbeat_processor.hpp"
#include "coordination/workers/machine_health.hpp"
#include "coordination/workers/task_evictor.hpp"
#include "coordination/workers/task_reconciler.hpp"
#include "protocol/relay_messages.hpp"
#include "protocol/worker_messages.hpp"
#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

/// Reused for successive terms of leadership; each term starts with an empty cluster state.
class Leader {
 public:
  using RelayRoute = coordination::RelayRoute;

  Leader(transport::Clock& clock, transport::Client& client, storage::KeyValueClient& store,
         Election& election, MachineCatalog& catalog, const Settings& settings);

  /// Begins a term: loads the records, then starts scheduling and scaling. `distributes_workers`:
  /// whether workers currently send heartbeats to all controllers, see RelayAssignment.
  void begin_term(bool distributes_workers);
  /// Ends the term and discards its state.
  void end_term();
  /// Updates the machine types after a change of the machine catalog.
  void update_machine_types();
  /// Whether the records are still being loaded, so that heartbeats are delayed briefly.
  bool loading() const { return loading_; }
  /// See JobWatch::apply_peer_cancellation.
  bool apply_peer_cancellation(const std::string& id) {
    return job_watch_.apply_peer_cancellation(id);
  }

  /// Answers a heartbeat. Requires `Election::may_answer_heartbeats`. `relay`: the controller that
  /// relayed it, empty if the worker sent it directly.
  transport::Response handle_heartbeat(const protocol::Heartbeat& heartbeat,
                                       const std::string& relay = "",
                                       RelayRoute route = RelayRoute::direct);
  /// Answers each heartbeat of a batch, in order.
  std::vector<protocol::RelayedAnswer> handle_relayed_heartbeats(const protocol::RelayBatch& batch,
                                                                 RelayRoute route);
  /// Whether a batch addressed to the leader with this fencing token is for the current term.
  bool is_own_fencing_token(std::uint64_t fencing_token) const {
    return heartbeat_processor_.is_of_this_term(fencing_token);
  }
  RelayAssignment& relay_assignment() { return relay_assignment_; }
  /// The time of the newest heartbeat. None if too few machines hold a lease: with more of them,
  /// silence from all indicates a fault of this controller rather than of the machines.
  std::optional<Seconds> newest_heartbeat_at() const;

  /// Numbers of running and completed tasks by job, for display.
  std::unordered_map<std::string, UserApi::Progress> progress() const;

 private:
  // Interval between the leader's periodic tasks, as a fraction of the heartbeat interval.
  static constexpr double kPeriodRatio = 1.0 / 10;

  // Callbacks that connect the components.
  StateRecovery::Callbacks state_recovery_callbacks();
  JobWatch::Callbacks job_watch_callbacks();
  PlacementWriter::Callbacks placement_writer_callbacks();
  SchedulingLoop::Callbacks scheduling_loop_callbacks();
  CloudReconciler::Callbacks cloud_reconciler_callbacks();
  CommandDispatcher::Callbacks command_dispatcher_callbacks();
  MachineHealth::Callbacks machine_health_callbacks();
  TaskReconciler::Callbacks task_reconciler_callbacks();
  void persist(Job& job) { placement_writer_.persist(job); }
  void request_scheduling_cycle() { scheduling_loop_.request_cycle(); }

  // Recovery.
  void handle_recovered_state(RecoveredState state);
  void resume_finished_jobs();
  void restore_images(Machine& machine);
  RecordsState records_state() const {
    return ready_ ? RecordsState::loaded : RecordsState::loading;
  }

  // Jobs and tasks.
  void cancel_job(Job& job);
  void handle_task_lost(Job& job, std::uint32_t task, const std::string& reason);
  void abort_gang_attempt(Job& job, const std::string& reason);
  void handle_machine_removed(const std::string& machine);

  // Periodic work.
  void run_periodic_tasks();
  void run_scaling_loop();

  transport::Clock& clock_;
  Election& election_;
  ElectionLeadership leadership_;
  MachineCatalog& catalog_;
  const Settings& settings_;

  transport::CallbackScope term_scope_;  // timers and replies of the current term
  bool ready_ = false;
  bool loading_ = false;
  Seconds term_started_at_ = 0;
  Seconds ready_at_ = 0;
  ClusterState cluster_;
  GangReservations gang_reservations_;
  RelayAssignment relay_assignment_;
  std::map<std::string, storage::Images> recovered_images_;  // of machines without a heartbeat yet
  LagMeter lag_;                                             // lag of the periodic tasks
  Seconds next_periodic_run_ = 0;
  LeaderActivity activity_;
  RemovedMachines removed_machines_;
  TransactionLimit transaction_limit_;
  GarbageCollector garbage_collector_;
  ImageRecorder image_recorder_;
  CommandDispatcher command_dispatcher_;
  MachineHealth machine_health_;
  FailureTracker failure_tracker_;
  TaskEvictor task_evictor_;
  TaskReconciler task_reconciler_;
  HeartbeatProcessor heartbeat_processor_;
  HeartbeatEndpoint heartbeat_endpoint_;
  PlacementWriter placement_writer_;
  JobWatch job_watch_;
  StateRecovery state_recovery_;
  SchedulingLoop scheduling_loop_;
  CloudReconciler cloud_reconciler_;
};

}  // namespace larkroad::coordination
