/// Base heartbeats for the delta encoding of relayed heartbeats.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "protocol/worker_messages.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// For each machine, the last heartbeat that the leader has received in full and answered with 200.
///
/// Most heartbeats differ from the previous one only in their sequence number, so a relay sends
/// just that number and the sequence number of the acknowledged heartbeat they are equal to. If the
/// leader no longer has its copy, for instance after a failover, it requests the full payload, and
/// the relay calls `forget`. Owned by Relay.
class AcknowledgedHeartbeats {
 public:
  /// The sequence number of the acknowledged heartbeat that `heartbeat` is equal to; nullopt if it
  /// must be sent in full.
  std::optional<std::uint64_t> find_base_sequence(const protocol::Heartbeat& heartbeat) const;

  /// Records that the leader has answered a heartbeat, which was sent in full or as a delta.
  void acknowledge(protocol::Heartbeat heartbeat, Seconds now);
  /// The same for a heartbeat whose full payload the leader had requested. It becomes the base of
  /// later deltas even if it is equal to the previous base.
  void acknowledge_full_payload(protocol::Heartbeat heartbeat, Seconds now);

  /// Removes the base of this machine, because the leader no longer has it.
  void forget(const std::string& machine);
  /// Removes machines whose last acknowledgement is older than `max_age`.
  void drop_older_than(Seconds max_age, Seconds now);

 private:
  struct Acknowledged {
    protocol::Heartbeat heartbeat;
    Seconds at = 0;
  };
  std::unordered_map<std::string, Acknowledged> by_machine_;
};

}  // namespace larkroad::coordination
