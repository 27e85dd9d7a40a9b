/// The leader: owns the cluster's state for a term of leadership, and wires up its parts.
///
/// The parts have their own state and tell each other what happened by callbacks that are set here:
/// StateRecovery and JobWatch read the records, PlacementWriter, GarbageCollector and ImageRecorder
/// write them, SchedulingLoop places tasks, and CloudReconciler rents and releases machines. The
/// Controller begins a term when the election is won and ends it when leadership is lost.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
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
#include "coordination/scheduling/scheduler.hpp"
#include "protocol/relay_messages.hpp"
#include "protocol/worker_messages.hpp"
#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

class Leader {
 public:
  Leader(transport::Clock& clock, transport::Client& client, storage::KeyValueClient& store,
         Election& election, MachineCatalog& catalog, const Settings& settings);

  void begin(
      bool spread);  // elected: reads everything, then works; see RelayAssignment for `spread`
  void end();        // deposed: forgets everything
  void types_changed();
  // Elected, but still reading the records: it can answer no report yet.
  bool loading() const { return loading_; }
  /// See JobWatch::cancelled_by_peer.
  bool cancelled_by_peer(const std::string& id) { return job_watch_.cancelled_by_peer(id); }

  // How a batch came. A relay that cannot reach the leader reaches none of the nodes to which its
  // workers could be sent on either.
  enum class RelayRoute { direct, state_service };
  // A worker's report, when this node may answer for the leader; `via`: the node that relays it,
  // empty when it came here.
  transport::Response handle_heartbeat(const protocol::Heartbeat& heartbeat,
                                       const std::string& via = "",
                                       RelayRoute route = RelayRoute::direct);
  // The reports that a relay hands on, and the answers for their workers.
  std::vector<protocol::RelayedAnswer> handle_relayed_heartbeats(const protocol::RelayBatch& batch,
                                                                 RelayRoute route);
  // Whether a batch for the leader with this token is for this leadership.
  bool is_own_fencing_token(std::uint64_t fencing_token) const;
  RelayAssignment& relay_assignment() { return relay_assignment_; }
  // Whether machines that reported are not heard any more, all of them at once: -1 when not, else
  // since when.
  Seconds unreachable_by_workers_since() const;

  std::unordered_map<std::string, UserApi::Progress> progress() const;

 private:
  using Commands = std::vector<protocol::Command>;

  // Loops and retries, as a part of the workers' report interval.
  static constexpr double kRetryRatio = 1.0 / 10;

  // Recovery.
  StateRecovery::Callbacks state_recovery_callbacks();
  JobWatch::Callbacks job_watch_callbacks();
  void recovered(RecoveredState state);
  void resume_finished_jobs();

  // Jobs and their records.
  void cancel_job(Job& job);
  void persist(Job& job) { placement_writer_.persist(job); }
  PlacementWriter::Callbacks placement_writer_callbacks();
  void task_gone(Job& job, std::uint32_t task, const std::string& why);

  // Workers.
  // Where a report comes from: brought by its worker, or as the answer to this leader's own call.
  enum class From { worker, call };
  Commands process(const protocol::Heartbeat& heartbeat, From from);
  void begin_session(Machine& machine, const protocol::Heartbeat& heartbeat);
  void first_heard(Machine& machine, const protocol::Heartbeat& heartbeat);
  void update_machine(Machine& machine, const protocol::Heartbeat& heartbeat, From from);
  void process_tasks(Machine& machine, const protocol::Heartbeat& heartbeat, From from,
                     Commands& commands);
  void process_task(Machine& machine, const protocol::TaskStatus& task, Commands& commands);
  bool may_forget(Machine& machine, const protocol::TaskStatus& task);
  void exited(Machine& machine, Job& job, const protocol::TaskStatus& task);
  void failed(Machine& machine, Job& job, const Placement& placement);
  void blame(Machine& machine, Job& job);
  static void quarantine(Machine& machine);
  void back_off(Job& job);
  void replica_proven_running(Machine& machine, Job& job, Placement& replica);
  void replica_ended(Job& job, const Placement& replica);
  void absent(Machine& machine, Job& job, Placement& placement, From from, Commands& commands);
  double grace(const Job& job) const;
  void stop(Job& job, Placement& placement, double grace_s);
  void abort_gang_attempt(Job& job, const std::string& why);
  // Commands straight to a worker. Those for one machine that come within a moment go in one call.
  void queue_commands(const std::string& machine, const Commands& commands);
  void send_queued_commands();
  void drop_stale_launches(Machine& machine, Commands& commands);
  void send_commands(const std::string& machine, const Commands& commands);
  void commands_answered(const std::string& machine, const Commands& commands,
                         transport::Outcome outcome, const transport::Response& response);
  void settle_launches(Machine& machine, const Commands& commands, transport::Outcome outcome,
                       int status);
  void launch(Job& job, const std::vector<std::uint32_t>& tasks);
  void inspect(Machine& machine);
  void want_fence(const UnresolvedLaunch& doubt);
  void suspect_unreachable(Machine& machine);
  void reached_again(Machine& machine);
  void end_sessions(Machine& machine, std::uint64_t incarnation);
  void all_gone(Machine& machine, const std::string& why);
  void drain(Machine& machine, double reclaim_notice_s);

  // Loops.
  void run_periodic_tasks();
  void request_plan() { scheduling_loop_.request_cycle(); }
  SchedulingLoop::Callbacks scheduling_loop_callbacks();
  void run_scaling_loop();
  void machine_removed(const std::string& machine);

  transport::Clock& clock_;
  transport::Client& client_;
  storage::KeyValueClient& store_;
  Election& election_;
  ElectionLeadership leadership_;
  MachineCatalog& catalog_;
  const Settings& settings_;

  transport::CallbackScope scope_;  // of this term of leadership
  bool ready_ = false;
  bool loading_ = false;
  Seconds begun_at_ = 0;
  std::uint64_t first_fencing_token_ = 0;  // of this leadership, before it was ever raised
  Seconds ready_at_ = 0;
  ClusterState cluster_;
  GangReservations gang_reservations_;
  RelayAssignment relay_assignment_;
  std::map<std::string, storage::Images> loaded_images_;
  bool fence_wanted_ = false;
  Seconds fenced_at_ = 0;
  // Commands that are about to be sent, by machine, and the session that they are for.
  struct QueuedCommands {
    std::uint64_t incarnation = 0;
    Commands commands;
  };
  std::map<std::string, QueuedCommands> queued_commands_;
  bool sending_armed_ = false;
  // How late the loop of ticks runs: what the process is behind with its work.
  LagMeter lag_;
  Seconds next_periodic_run_ = 0;
  LeaderActivity activity_;
  RemovedMachines removed_machines_;
  TransactionLimit transaction_limit_;
  GarbageCollector garbage_;
  ImageRecorder image_recorder_;
  PlacementWriter placement_writer_;
  JobWatch job_watch_;
  StateRecovery state_recovery_;
  SchedulingLoop scheduling_loop_;
  CloudReconciler cloud_;
};

}  // namespace larkroad::coordination
