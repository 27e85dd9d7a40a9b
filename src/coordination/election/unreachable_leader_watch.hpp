/// Decides when a leader that its workers cannot reach makes way for a peer that they do reach.
///
/// Such a leader keeps renewing its lease on the leader key, so nobody could replace it, while the
/// workers' leases run out and their tasks end. Asked periodically by `Controller`.
#pragma once

#include <optional>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

class UnreachableLeaderWatch {
 public:
  explicit UnreachableLeaderWatch(const Settings& settings) : settings_(settings) {}

  /// `unreachable_since`: since when the leader has received no heartbeat; none while it receives
  /// them or has too few workers to tell. `peers_receive_heartbeats`: without it the fault may lie
  /// with the workers, and another leader would be no better.
  bool should_step_down(std::optional<Seconds> unreachable_since, bool peers_receive_heartbeats,
                        Seconds now) const;
  /// For how long the leader that steps down leaves the election to its peers.
  Seconds abstention() const { return settings_.lease_s; }

 private:
  const Settings& settings_;
};

}  // namespace larkroad::coordination
