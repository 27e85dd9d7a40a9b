/// Decides when a leader that workers cannot reach steps down in favor of a peer that they reach.
///
/// Such a leader keeps renewing its lease on the leader key, so no peer can replace it, while the
/// worker leases expire and their tasks end. Queried periodically by `Controller`.
#pragma once

#include <optional>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

class UnreachableLeaderWatch {
 public:
  explicit UnreachableLeaderWatch(const Settings& settings) : settings_(settings) {}

  /// `unreachable_since`: the time since which the leader has received no heartbeat; none if it has
  /// too few workers to tell. `peers_receive_heartbeats`: if false, the workers themselves may have
  /// failed and another leader would not help.
  bool should_step_down(std::optional<Seconds> unreachable_since, bool peers_receive_heartbeats,
                        Seconds now) const;
  /// How long the leader that steps down does not campaign.
  Seconds campaign_pause() const { return settings_.lease_s; }

 private:
  const Settings& settings_;
};

}  // namespace larkroad::coordination
