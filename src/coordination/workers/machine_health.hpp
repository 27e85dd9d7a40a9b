/// Detects machines whose lease has expired, that are unreachable, or whose worker has restarted.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Monitors the leases of workers and whether calls to them are answered.
///
/// Writes the `lease_expired`, `unreachable_since` and `restarted` fields of `Machine`; stateless.
/// A machine whose lease has expired runs no tasks, as its worker has ended them all by then. An
/// unreachable machine keeps running its tasks, as its heartbeats still arrive; no more tasks are
/// placed there until it answers a call, and it is released after a lease duration without an
/// answer.
///
/// Called by the leader's periodic work, heartbeat processing and the command dispatcher.
class MachineHealth {
 public:
  struct Callbacks {
    /// Ends the agent incarnation on this machine and all its tasks.
    std::function<void(Machine& machine)> end_incarnation;
    /// Requests the status of the worker.
    std::function<void(Machine& machine)> query_status;
    /// Requests a higher fencing token.
    std::function<void()> require_fencing;
    /// Returns these machines to the cloud.
    std::function<void(const std::vector<std::string>& names)> release_machines;
    /// Requests a scheduling cycle.
    std::function<void()> request_scheduling_cycle;
  };

  MachineHealth(const transport::Clock& clock, ClusterState& cluster, const Settings& settings,
                Callbacks callbacks);

  /// Ends incarnations whose lease has expired. Must be called periodically.
  void expire_leases();
  /// Queries unreachable machines and those with a restarted worker, and releases machines that
  /// have not answered for a lease duration. If a large fraction of the fleet is unreachable, the
  /// fault is more likely on the controller's side, and none is released. Must be called
  /// periodically.
  void check_unreachable();

  /// Handles a periodic heartbeat that is not newer than the last known message of the same
  /// incarnation: it is a late copy, or the worker has restarted and counts from the beginning. The
  /// answer to a query, which is no copy, tells which.
  void old_heartbeat_received(Machine& machine);
  /// Handles proof that the worker has restarted within its incarnation. Commands of earlier calls
  /// still match it, so copies of them can start tasks there, of which the leader must not count
  /// any as gone before the next incarnation begins. Nothing is placed there, and a higher fencing
  /// token is requested, under which these copies are rejected.
  void worker_restarted(Machine& machine);

  /// Marks the machine as unreachable, although its heartbeats arrive.
  void mark_unreachable(Machine& machine);
  /// Handles an unanswered call: marks the machine as unreachable if its last heartbeat is recent.
  void call_unanswered(Machine& machine);
  /// Handles an answered call: the machine is reachable, and its heartbeats are not late copies.
  void call_answered(Machine& machine);

  /// When the most recent heartbeat of any machine was received. If that is long ago, the fault is
  /// more likely on the controller's side. None while so few machines hold a lease that all of them
  /// may have failed at once.
  std::optional<Seconds> newest_heartbeat_at() const;

 private:
  bool has_lease_expired(const Machine& machine, Seconds now) const;
  void query_at_most_once_per_interval(Machine& machine);

  const transport::Clock& clock_;
  ClusterState& cluster_;
  const Settings& settings_;
  Callbacks callbacks_;
};

}  // namespace larkroad::coordination
