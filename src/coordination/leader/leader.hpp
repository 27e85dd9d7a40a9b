// What the leading node does: keeps the cluster true to records and reports, and runs the loops
// that bring what is towards what is wanted. All I/O of the leader is here; what to do is decided
// by the planner and the fleet.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/api/user_api.hpp"
#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/election/election.hpp"
#include "coordination/leader/lag_meter.hpp"
#include "coordination/relay/relay_assignment.hpp"
#include "coordination/scaling/autoscaler.hpp"
#include "coordination/scaling/machine_catalog.hpp"
#include "coordination/scheduling/scheduler.hpp"
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
  // A cancellation that is durable, told by the node that made it so: the watch will bring it too,
  // but that may take long, and a leader that the state service refuses would not hear of it in
  // time. False when the job is not known here.
  bool cancelled_by_peer(const std::string& id);

  using RelayRoute = coordination::RelayRoute;
  // A worker's report, when this node may answer for the leader; `via`: the node that relays it,
  // empty when it came here.
  transport::Response handle_heartbeat(const protocol::Heartbeat& heartbeat,
                                       const std::string& via = "",
                                       RelayRoute route = RelayRoute::direct);
  // The reports that a relay hands on, and the answers for their workers.
  std::vector<protocol::RelayedAnswer> handle_relayed_heartbeats(const protocol::RelayBatch& batch,
                                                                 RelayRoute route);
  // Whether a batch for the leader with this token is for this leadership.
  bool is_own_fencing_token(std::uint64_t fencing_token) const {
    return heartbeat_processor_.is_of_this_term(fencing_token);
  }
  RelayAssignment& relay_assignment() { return relay_assignment_; }
  // Whether machines that reported are not heard any more, all of them at once: -1 when not, else
  // since when.
  Seconds unreachable_by_workers_since() const;

  std::unordered_map<std::string, UserApi::Progress> progress() const;

 private:
  // Loops and retries, as a part of the workers' report interval.
  static constexpr double kRetryRatio = 1.0 / 10;

  // Loading.
  void load_jobs(const std::string& after);
  void load_placements(const std::string& after);
  void load_images(const std::string& after);
  void loaded();
  void watch_jobs();
  void apply_job(const std::string& id, const storage::Json& data, std::uint64_t revision);
  void refresh_job(const std::string& id);

  // Jobs and their records.
  void cancel_job(Job& job);
  void persist(Job& job);
  void persisted(const std::string& id, const std::vector<std::uint32_t>& shards,
                 const std::vector<storage::PlacedTask>& recorded,
                 const std::vector<std::uint32_t>& done, const storage::CommitReply& reply);
  void finish_job(Job& job);
  // Lays out the records of a job anew that was accepted under larger limits of the state service.
  void shrink_shards(Job& job);
  void shards_shrunk(Job& job, std::uint32_t tasks_per_shard, std::uint64_t revision);
  void handle_size_refusal(Job& job, const std::vector<std::uint32_t>& shards);
  void drop_garbage();
  void record_images();
  void task_gone(Job& job, std::uint32_t task, const std::string& why);

  // Workers.
  CommandDispatcher::Callbacks command_dispatcher_callbacks();
  MachineHealth::Callbacks machine_health_callbacks();
  TaskReconciler::Callbacks task_reconciler_callbacks();
  RecordsState records_state() const {
    return ready_ ? RecordsState::loaded : RecordsState::loading;
  }
  void restore_images(Machine& machine);
  // Short names for what the other parts of the leader call.
  void launch(Job& job, const std::vector<std::uint32_t>& tasks) {
    command_dispatcher_.launch(job, tasks);
  }
  void inspect(Machine& machine) { command_dispatcher_.query_status(machine); }
  void stop(Job& job, Placement& placement, double grace_s) {
    task_evictor_.stop(job, placement, grace_s);
  }
  double grace(const Job& job) const { return task_evictor_.checkpoint_grace(job); }
  void all_gone(Machine& machine, const std::string& reason) {
    task_reconciler_.end_all_tasks(machine, reason);
  }
  void abort_gang_attempt(Job& job, const std::string& why);
  void remove_machine(const std::string& name, const std::string& why);

  // Loops.
  void run_periodic_tasks();
  void request_plan();
  void make_plan();
  void carry_out(const Assignment& assignment, Seconds start_bound);
  void place_assigned(Job& job, std::uint32_t task, const std::string& machine);
  void scale();
  void log_use();
  void list_machines();
  void list_page(const std::string& after, Seconds begun);
  void listed(Seconds begun);
  void request_machines(const Market& market, int count);
  void send_rental_request(const protocol::RentalRequest& request);
  void release_machines(const std::vector<std::string>& names);

  transport::Clock& clock_;
  transport::Client& client_;
  storage::KeyValueClient& store_;
  Election& election_;
  MachineCatalog& catalog_;
  const Settings& settings_;

  // How many changes the state service takes in one transaction, as far as is known.
  int transaction_changes_;
  transport::CallbackScope scope_;  // of this term of leadership
  bool ready_ = false;
  bool loading_ = false;
  Seconds loading_since_ = 0;  // when the first page of the jobs was asked for
  Seconds begun_at_ = 0;
  Seconds ready_at_ = 0;
  ClusterState cluster_;
  GangReservations gang_reservations_;
  CapacityBackoff capacity_backoff_;
  RelayAssignment relay_assignment_;
  std::uint64_t watched_to_ = 0;
  std::vector<storage::Entry> loaded_placements_;
  std::map<std::string, storage::Images> loaded_images_;
  std::vector<std::string> garbage_;
  // Jobs that this leader has finished, and when: a watch that is behind may still tell of them.
  std::map<std::string, std::uint64_t> finished_;
  bool dropping_ = false;
  bool recording_images_ = false;
  std::map<std::string, Seconds> removed_machines_;  // known to be gone, though lists lag
  std::map<Market, int> pending_rentals_;
  std::uint64_t rentals_ = 0;
  bool listing_ = false;
  bool listed_once_ = false;
  Seconds catalog_asked_at_ = 0;
  bool plan_armed_ = false;
  size_t plan_from_ = 0;
  Seconds plan_next_ = 0;  // no round before this
  // How late the loop of ticks runs: what the process is behind with its work.
  LagMeter lag_;
  Seconds next_periodic_run_ = 0;
  // What the leader did since the last line on the use of the fleet; for that line alone.
  struct Activity {
    int planning_rounds = 0;
    Seconds planning_time = 0;
    Seconds fleet_time = 0;
  };
  Activity activity_;

  // The workers' side.
  CommandDispatcher command_dispatcher_;
  MachineHealth machine_health_;
  FailureTracker failure_tracker_;
  TaskEvictor task_evictor_;
  TaskReconciler task_reconciler_;
  HeartbeatProcessor heartbeat_processor_;
  HeartbeatEndpoint heartbeat_endpoint_;
};

}  // namespace larkroad::coordination
