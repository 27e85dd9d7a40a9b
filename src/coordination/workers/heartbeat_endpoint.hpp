/// Answers heartbeats that reach the leader, either individually or in batches from relays.
#pragma once

#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/election/election.hpp"
#include "coordination/relay/relay_assignment.hpp"
#include "coordination/workers/heartbeat_processor.hpp"
#include "protocol/relay_messages.hpp"
#include "protocol/worker_messages.hpp"
#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

/// How a batch of heartbeats was received. If a relay cannot reach the leader directly, its workers
/// are not redirected, as it cannot reach the other controllers either.
enum class RelayRoute { direct, key_value_store };

/// Whether all records have been read in this term. Until then, heartbeats renew leases but are not
/// reconciled with placements.
enum class RecordsState { loading, loaded };

/// Passes heartbeats to the processor, renews the leases of their workers, and builds the
/// responses.
///
/// A response with status 200 renews the worker's lease, so `Machine::lease_renewed_at` is written
/// here. Maintains `Machine::last_relayed_heartbeat`, the base of the deltas that relays send.
/// Called by the controller for heartbeats from workers and relays, while this controller may
/// answer heartbeats as the leader.
class HeartbeatEndpoint {
 public:
  HeartbeatEndpoint(const transport::Clock& clock, ClusterState& cluster, Election& election,
                    RelayAssignment& relay_assignment, HeartbeatProcessor& processor);

  /// Answers a worker's heartbeat. `via`: the controller that relayed it; empty if it was received
  /// directly.
  transport::Response handle(const protocol::Heartbeat& heartbeat, const std::string& via,
                             RelayRoute route, RecordsState records);
  /// Answers the heartbeats of a batch, in order.
  std::vector<protocol::RelayedAnswer> handle_batch(const protocol::RelayBatch& batch,
                                                    RelayRoute route, RecordsState records);

 private:
  protocol::RelayedAnswer handle_relayed(const protocol::RelayedHeartbeat& item,
                                         const std::string& via, RelayRoute route,
                                         RecordsState records);
  const protocol::Heartbeat* find_base(const protocol::RelayedHeartbeat& item) const;
  Commands process(const protocol::Heartbeat& heartbeat, RecordsState records);
  void store_base(protocol::Heartbeat heartbeat);

  const transport::Clock& clock_;
  ClusterState& cluster_;
  Election& election_;
  RelayAssignment& relay_assignment_;
  HeartbeatProcessor& processor_;
};

}  // namespace larkroad::coordination
