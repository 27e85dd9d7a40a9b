/// Load balancing of workers' connections over the controllers.
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

/// Tracks and chooses the controller to which each worker sends its heartbeats; used by the leader.
///
/// Workers connect to the leader as long as it has the capacity for all of them. Beyond that, they
/// are distributed over the relays, with a preference for the worker's zone. Owned by Leader, which
/// records every heartbeat here and redirects (421) the workers for which `choose_redirect` names
/// another controller. Controllers are identified by member name, the leader itself by an empty
/// string.
class RelayAssignment {
 public:
  explicit RelayAssignment(const Settings& settings);

  /// Resets the state for a new term. `distributed`: whether workers are already distributed over
  /// the controllers, because the previous leader could not serve all of them.
  void reset(bool distributed);

  /// Records that `member` has announced itself as a relay, which reaches this leader.
  void record_relay(const std::string& member, Seconds now) { relay_announced_at_[member] = now; }
  /// Records that a heartbeat of `machine` has arrived through `controller`.
  void record_heartbeat(const std::string& machine, const std::string& controller, Seconds now);
  /// The controller to which the worker on `machine`, in `zone`, is to be redirected; nullopt if it
  /// stays with `controller`. To be called for each heartbeat before `record_heartbeat`.
  std::optional<std::string> choose_redirect(const std::string& machine, const std::string& zone,
                                             const std::string& controller, Seconds now);
  /// Recounts the workers of each controller, drops machines that no longer send heartbeats, and
  /// decides whether the leader can serve all workers. `machine_count`: the number of all machines;
  /// nullopt while it is unknown.
  void rebalance(std::optional<size_t> machine_count, Seconds now);

  /// Whether workers are currently distributed over the controllers.
  bool distributes_workers() const { return distributed_; }
  /// The maximum number of workers that should connect to `controller`.
  size_t capacity(const std::string& controller) const {
    return controller.empty() ? leader_capacity_ : relay_capacity_;
  }
  /// The current number of workers that connect to `controller`.
  size_t worker_count(const std::string& controller) const;

 private:
  struct WorkerRoute {
    std::string controller;
    std::optional<Seconds> last_heartbeat_at;
    std::optional<Seconds> redirected_at;
  };
  bool is_recent(std::optional<Seconds> when, Seconds now) const;
  bool is_available_relay(const std::string& member, Seconds now) const;
  // The relay with the fewest workers, preferably in `zone`; nullptr if all relays are full or have
  // not announced themselves recently.
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
