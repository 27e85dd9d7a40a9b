/// Which machines the leader counts as gone or out of reach.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Watches the leases of workers and whether calls to them are answered.
///
/// Writes the `lease_expired` and `unreachable_since` fields of `Machine`; has no state of its own.
/// A machine whose lease expired runs nothing any more: its worker ends every task by then. One
/// that is unreachable still runs what it has, as its heartbeats come; nothing more is placed there
/// until it answers, and it is released after a lease without an answer.
///
/// Called by the leader's periodic work, heartbeat processing and the command dispatcher.
class MachineHealth {
 public:
  struct Callbacks {
    /// The agent incarnation on this machine is over, and all that it ran.
    std::function<void(Machine& machine)> end_incarnation;
    /// Asks the worker for its status.
    std::function<void(Machine& machine)> query_status;
    /// Returns these machines to the cloud.
    std::function<void(const std::vector<std::string>& names)> release_machines;
    std::function<void()> request_plan;
  };

  MachineHealth(const transport::Clock& clock, ClusterState& cluster, const Settings& settings,
                Callbacks callbacks);

  /// Ends the incarnations whose lease has run out. To be called periodically.
  void expire_leases();
  /// Queries the unreachable machines, and releases those that have not answered for a lease. When
  /// they are a large part of the fleet the fault is more likely on this side, and none is
  /// released. To be called periodically.
  void check_unreachable();

  /// Takes the machine for unreachable, although its heartbeats come.
  void suspect_unreachable(Machine& machine);
  /// A call was not answered: a machine that sent a heartbeat a moment ago is unreachable.
  void call_unanswered(Machine& machine);
  /// A call was answered: the machine is reachable, and its heartbeats are no late copies.
  void call_answered(Machine& machine);

  /// When the newest heartbeat of any machine came; none while fewer machines hold a lease than
  /// could well be gone all at once. If that is long ago the fault is more likely on this side.
  std::optional<Seconds> newest_heartbeat_at() const;

 private:
  bool has_outlived_lease(const Machine& machine, Seconds now) const;

  const transport::Clock& clock_;
  ClusterState& cluster_;
  const Settings& settings_;
  Callbacks callbacks_;
};

}  // namespace larkroad::coordination
