/// Load balancing of the workers' connections over the controllers.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// Which controller each worker sends its heartbeats to, as the leader sees it.
///
/// While the leader has the capacity for the connections of all workers, they connect to it. Beyond
/// that they are distributed over the controllers that relay, those in the worker's own zone first.
/// Owned by Leader, which records every heartbeat here and redirects the worker (421) when told to.
/// A controller is given by its member name, and the leader itself by an empty string.
class RelayAssignment {
 public:
  explicit RelayAssignment(const Settings& settings);

  /// Starts anew for a term of leadership. `distributed`: whether the previous leader could not
  /// serve all workers itself.
  void reset(bool distributed);

  /// `member` has said that it reaches this leader and relays to it.
  void record_relay(const std::string& member, Seconds now) { relay_announced_at_[member] = now; }
  /// A heartbeat of `machine` has come by way of `controller`.
  void record_heartbeat(const std::string& machine, const std::string& controller, Seconds now);
  /// The controller that the worker on `machine`, in `zone`, is to be redirected to; none: it stays
  /// with `controller`. To be called for each heartbeat before `record_heartbeat`.
  std::optional<std::string> choose_redirect(const std::string& machine, const std::string& zone,
                                             const std::string& controller, Seconds now);
  /// Counts the workers of each controller anew, drops machines that no longer report, and decides
  /// whether the leader can serve all. `machine_count`: of all machines; none while it is unknown.
  void rebalance(std::optional<size_t> machine_count, Seconds now);

  /// Whether workers are distributed over the controllers at present.
  bool distributes_workers() const { return distributed_; }
  /// The most workers that are to connect to `controller`.
  size_t capacity(const std::string& controller) const {
    return controller.empty() ? leader_capacity_ : relay_capacity_;
  }
  /// The workers that connect to `controller`, as counted at present.
  size_t worker_count(const std::string& controller) const;

 private:
  struct WorkerRoute {
    std::string controller;
    std::optional<Seconds> last_heartbeat_at;
    std::optional<Seconds> redirected_at;
  };
  bool is_recent(std::optional<Seconds> when, Seconds now) const;
  bool is_available_relay(const std::string& member, Seconds now) const;
  // The relay with the fewest workers, of those in `zone` first; nullptr: all are full or have not
  // announced themselves recently.
  const PeerSettings* choose_relay(const std::string& zone, const std::string& excluded,
                                   Seconds now) const;

  const Settings& settings_;
  size_t leader_capacity_;
  size_t relay_capacity_;
  bool distributed_ = false;
  std::unordered_map<std::string, WorkerRoute> routes_;  // by machine
  std::map<std::string, size_t> worker_counts_;          // by controller
  std::map<std::string, Seconds> relay_announced_at_;    // by member
};

}  // namespace larkroad::coordination
