/// Answers the heartbeats that reach the leader, one by one or in the batches of relays.
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

/// How a batch of heartbeats came. A relay that cannot reach the leader directly reaches none of
/// the controllers to which its workers could be redirected either.
enum class RelayRoute { direct, state_service };

/// Whether all records have been read in this term. Until then heartbeats renew leases, but are not
/// compared with placements.
enum class RecordsState { loading, loaded };

/// Has heartbeats taken in, renews the leases of their workers, and makes the responses.
///
/// A response with status 200 renews the worker's lease, so `Machine::lease_renewed_at` is written
/// here. Keeps `Machine::last_relayed_heartbeat`, against which relays send what has not changed.
/// Called by the controller with what workers and relays send, while this controller may answer for
/// the leader.
class HeartbeatEndpoint {
 public:
  HeartbeatEndpoint(const transport::Clock& clock, ClusterState& cluster, Election& election,
                    RelayAssignment& relay_assignment, HeartbeatProcessor& processor);

  /// Answers a worker's heartbeat. `via`: the controller that relays it; empty when it came here.
  transport::Response handle(const protocol::Heartbeat& heartbeat, const std::string& via,
                             RelayRoute route, RecordsState records);
  /// Answers the heartbeats of a batch, in their order.
  std::vector<protocol::RelayedAnswer> handle_batch(const protocol::RelayBatch& batch,
                                                    RelayRoute route, RecordsState records);

 private:
  protocol::RelayedAnswer handle_relayed(const protocol::RelayedHeartbeat& item,
                                         const std::string& via, RelayRoute route,
                                         RecordsState records);
  const protocol::Heartbeat* find_base(const protocol::RelayedHeartbeat& item) const;
  Commands process(const protocol::Heartbeat& heartbeat, RecordsState records);
  void keep_as_base(protocol::Heartbeat heartbeat);

  const transport::Clock& clock_;
  ClusterState& cluster_;
  Election& election_;
  RelayAssignment& relay_assignment_;
  HeartbeatProcessor& processor_;
};

}  // namespace larkroad::coordination
