/// The leader: owns the cluster's state for a term of leadership, and wires up its parts.
///
/// The parts have their own state and tell each other what happened by callbacks that are set here:
/// StateRecovery and JobWatch read the records, PlacementWriter, GarbageCollector and ImageRecorder
/// write them, SchedulingLoop places tasks, CloudReconciler rents and releases machines, and the
/// classes of workers/ take in heartbeats and send commands. The Controller begins a term when the
/// election is won and ends it when leadership is lost.
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

/// One term of leadership after another, each with a cluster state of its own.
class Leader {
 public:
  using RelayRoute = coordination::RelayRoute;

  Leader(transport::Clock& clock, transport::Client& client, storage::KeyValueClient& store,
         Election& election, MachineCatalog& catalog, const Settings& settings);

  /// Begins a term: reads the records, then works. `distributes_workers`: whether workers report to
  /// all controllers at present, see RelayAssignment.
  void begin(bool distributes_workers);
  /// Ends the term and forgets its state.
  void end();
  /// The machine catalog has changed.
  void types_changed();
  /// Whether the records are still being read, so that no heartbeat can be answered yet.
  bool loading() const { return loading_; }
  /// See JobWatch::cancelled_by_peer.
  bool cancelled_by_peer(const std::string& id) { return job_watch_.cancelled_by_peer(id); }

  /// Answers a heartbeat; the election must allow that. `relay`: the controller that relays it,
  /// empty when its worker sent it here.
  transport::Response handle_heartbeat(const protocol::Heartbeat& heartbeat,
                                       const std::string& relay = "",
                                       RelayRoute route = RelayRoute::direct);
  /// Answers each heartbeat of a batch, in its order.
  std::vector<protocol::RelayedAnswer> handle_relayed_heartbeats(const protocol::RelayBatch& batch,
                                                                 RelayRoute route);
  /// Whether a batch for the leader with this fencing token is for this term.
  bool is_own_fencing_token(std::uint64_t fencing_token) const {
    return heartbeat_processor_.is_of_this_term(fencing_token);
  }
  RelayAssignment& relay_assignment() { return relay_assignment_; }
  /// When the newest heartbeat came, if so many machines hold a lease that all of them being gone
  /// at once would rather be a fault of this controller.
  std::optional<Seconds> newest_heartbeat_at() const;

  /// Tasks that run and that are done, by job, for display.
  std::unordered_map<std::string, UserApi::Progress> progress() const;

 private:
  // The period of the leader's checks, as a part of the workers' heartbeat interval.
  static constexpr double kPeriodRatio = 1.0 / 10;

  // Wiring: what the parts tell each other.
  StateRecovery::Callbacks state_recovery_callbacks();
  JobWatch::Callbacks job_watch_callbacks();
  PlacementWriter::Callbacks placement_writer_callbacks();
  SchedulingLoop::Callbacks scheduling_loop_callbacks();
  CloudReconciler::Callbacks cloud_reconciler_callbacks();
  CommandDispatcher::Callbacks command_dispatcher_callbacks();
  MachineHealth::Callbacks machine_health_callbacks();
  TaskReconciler::Callbacks task_reconciler_callbacks();
  void persist(Job& job) { placement_writer_.persist(job); }
  void request_plan() { scheduling_loop_.request_cycle(); }

  // Recovery.
  void recovered(RecoveredState state);
  void resume_finished_jobs();
  void restore_images(Machine& machine);
  RecordsState records_state() const {
    return ready_ ? RecordsState::loaded : RecordsState::loading;
  }

  // Jobs and tasks.
  void cancel_job(Job& job);
  void task_gone(Job& job, std::uint32_t task, const std::string& reason);
  void abort_gang_attempt(Job& job, const std::string& reason);
  void machine_removed(const std::string& machine);

  // Loops.
  void run_periodic_tasks();
  void run_scaling_loop();

  transport::Clock& clock_;
  Election& election_;
  ElectionLeadership leadership_;
  MachineCatalog& catalog_;
  const Settings& settings_;

  transport::CallbackScope scope_;  // of this term of leadership
  bool ready_ = false;
  bool loading_ = false;
  Seconds begun_at_ = 0;
  Seconds ready_at_ = 0;
  ClusterState cluster_;
  GangReservations gang_reservations_;
  RelayAssignment relay_assignment_;
  std::map<std::string, storage::Images> recovered_images_;  // by machine that has not reported yet
  LagMeter lag_;  // how late the periodic checks run: what the process is behind with its work
  Seconds next_periodic_run_ = 0;
  LeaderActivity activity_;
  RemovedMachines removed_machines_;
  TransactionLimit transaction_limit_;
  GarbageCollector garbage_;
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
  CloudReconciler cloud_;
};

}  // namespace larkroad::coordination
