/// Updates machines and their agent incarnations from heartbeats.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/election/election.hpp"
#include "coordination/scaling/removed_machines.hpp"
#include "coordination/workers/machine_health.hpp"
#include "coordination/workers/task_evictor.hpp"
#include "coordination/workers/task_reconciler.hpp"
#include "protocol/worker_messages.hpp"
#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Applies heartbeats to the cluster state during one term of leadership.
///
/// Heartbeats of a machine are ordered by incarnation and sequence number, and each is applied at
/// most once: duplicate and out-of-order heartbeats have no effect. Once the lease of an
/// incarnation has expired, its heartbeats are ignored.
///
/// Called for every heartbeat that reaches the leader, by whatever route.
class HeartbeatProcessor {
 public:
  /// Called with a machine's first heartbeat in this term.
  using OnFirstHeartbeat = std::function<void(Machine& machine)>;

  HeartbeatProcessor(const transport::Clock& clock, ClusterState& cluster, const Election& election,
                     const Settings& settings, MachineHealth& health, TaskEvictor& evictor,
                     TaskReconciler& reconciler, const RemovedMachines& removed_machines,
                     OnFirstHeartbeat on_first_heartbeat);

  /// Numbers processed since the last call of `take_counts`.
  struct Counts {
    std::size_t heartbeats = 0;
    std::size_t reported_tasks = 0;
  };

  /// Begins a term of leadership under the current fencing token.
  void begin_term();
  /// Whether the token belongs to this term: the one that it began with, or a later one.
  bool is_of_this_term(std::uint64_t fencing_token) const;

  /// Whether the machine has been removed, so that its heartbeats are late copies.
  bool is_removed(const std::string& machine_name) const {
    return removed_machines_.contains(machine_name);
  }
  /// Whether the heartbeat is newer than the last one processed for its machine.
  static bool is_newer(const protocol::Heartbeat& heartbeat, const Machine& machine);
  /// Whether the lease of the worker that sent this heartbeat must not be renewed: its lease has
  /// expired for this leader, or its worker has restarted in the same incarnation. Queries the
  /// worker if that is in doubt.
  bool must_not_renew_lease(const protocol::Heartbeat& heartbeat);
  /// Applies the heartbeat, and returns the commands for its worker.
  Commands process(const protocol::Heartbeat& heartbeat, HeartbeatSource source);
  Counts take_counts() { return std::exchange(counts_, {}); }

 private:
  void begin_incarnation(Machine& machine, const protocol::Heartbeat& heartbeat);
  static Commands kill_tasks_of_restarted_worker(const protocol::Heartbeat& heartbeat,
                                                 HeartbeatSource source);
  void register_machine(Machine& machine, const protocol::Heartbeat& heartbeat);
  void update_machine(Machine& machine, const protocol::Heartbeat& heartbeat,
                      HeartbeatSource source);
  static void drop_resolved_launches(Machine& machine, const protocol::Heartbeat& heartbeat,
                                     HeartbeatSource source);
  void update_reclaim_notice(Machine& machine, const protocol::Heartbeat& heartbeat);

  const transport::Clock& clock_;
  ClusterState& cluster_;
  const Election& election_;
  const Settings& settings_;
  MachineHealth& health_;
  TaskEvictor& evictor_;
  TaskReconciler& reconciler_;
  const RemovedMachines& removed_machines_;
  OnFirstHeartbeat on_first_heartbeat_;
  Counts counts_;
  Seconds term_began_at_ = 0;
  std::uint64_t first_fencing_token_ = 0;  // with which this term began
};

}  // namespace larkroad::coordination
