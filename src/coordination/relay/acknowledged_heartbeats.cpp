#include "coordination/relay/acknowledged_heartbeats.hpp"

#include <utility>

namespace larkroad::coordination {

std::optional<std::uint64_t> AcknowledgedHeartbeats::find_base_sequence(
    const protocol::Heartbeat& heartbeat) const {
  const auto found = by_machine_.find(heartbeat.machine);
  if (found == by_machine_.end()) return std::nullopt;
  const protocol::Heartbeat& acknowledged = found->second.heartbeat;
  if (!protocol::equal_except_sequence(acknowledged, heartbeat)) return std::nullopt;
  return acknowledged.sequence;
}

void AcknowledgedHeartbeats::acknowledge(protocol::Heartbeat heartbeat, Seconds now) {
  Acknowledged& acknowledged = by_machine_[heartbeat.machine];
  acknowledged.at = now;
  // The leader keeps the heartbeat that it received in full, so a delta must not replace the base.
  if (!protocol::equal_except_sequence(acknowledged.heartbeat, heartbeat)) {
    acknowledged.heartbeat = std::move(heartbeat);
  }
}

void AcknowledgedHeartbeats::acknowledge_full_payload(protocol::Heartbeat heartbeat, Seconds now) {
  Acknowledged& acknowledged = by_machine_[heartbeat.machine];
  acknowledged.at = now;
  acknowledged.heartbeat = std::move(heartbeat);
}

void AcknowledgedHeartbeats::forget(const std::string& machine) { by_machine_.erase(machine); }

void AcknowledgedHeartbeats::drop_older_than(Seconds max_age, Seconds now) {
  std::erase_if(by_machine_, [&](const auto& entry) { return now - entry.second.at > max_age; });
}

}  // namespace larkroad::coordination
