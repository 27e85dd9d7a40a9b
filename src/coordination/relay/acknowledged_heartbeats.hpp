/// The record behind the delta encoding of relayed heartbeats.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "protocol/worker_messages.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// The last heartbeat of each machine that the leader has received in full and answered with 200.
///
/// Most heartbeats differ from the one before in their sequence number alone, so a relay sends only
/// that number and the one of the acknowledged heartbeat that it repeats. The leader may have
/// dropped its copy (after a failover, for instance); it then asks for the full payload, and the
/// relay calls `forget`. Owned by Relay.
class AcknowledgedHeartbeats {
 public:
  /// The sequence number of the acknowledged heartbeat that `heartbeat` repeats; none when it has
  /// to be sent in full.
  std::optional<std::uint64_t> find_unchanged(const protocol::Heartbeat& heartbeat) const;

  /// The leader has answered a heartbeat that it received in full or as unchanged.
  void acknowledge(protocol::Heartbeat heartbeat, Seconds now);
  /// The same of a heartbeat for whose full payload the leader had asked: from now on this one is
  /// what later ones are compared with, even if it says the same as the one before.
  void acknowledge_full_payload(protocol::Heartbeat heartbeat, Seconds now);

  /// The leader no longer has the acknowledged heartbeat of this machine.
  void forget(const std::string& machine);
  /// Drops machines whose last acknowledgement is older than `max_age`.
  void drop_older_than(Seconds max_age, Seconds now);

 private:
  struct Acknowledged {
    protocol::Heartbeat heartbeat;
    Seconds at = 0;
  };
  std::unordered_map<std::string, Acknowledged> by_machine_;
};

}  // namespace larkroad::coordination
