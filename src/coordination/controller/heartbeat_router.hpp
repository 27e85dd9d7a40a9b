/// Routes worker heartbeats: the leader processes them, a follower relays them to the leader or
/// redirects the worker.
///
/// Called by `Controller` for heartbeats received from workers and for batches relayed by peers,
/// either directly or through the key-value store. Only the leader's answer renews a worker's
/// lease, so a follower never answers 200 on its own.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "coordination/election/election.hpp"
#include "coordination/leader/leader.hpp"
#include "coordination/membership/leader_announcements.hpp"
#include "coordination/membership/member_versions.hpp"
#include "coordination/membership/peer_registry.hpp"
#include "coordination/relay/relay.hpp"
#include "protocol/relay_messages.hpp"
#include "protocol/worker_messages.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

class HeartbeatRouter {
 public:
  /// Components that the router queries and dispatches heartbeats to. All must outlive the router.
  struct Components {
    storage::KeyValueClient& store;
    Election& election;
    Leader& leader;
    Relay& relay;
    const MemberVersions& versions;
    const PeerRegistry& peers;
    const LeaderAnnouncements& announcements;
  };

  HeartbeatRouter(transport::Clock& clock, const Settings& settings, Components components);

  /// The callback runs when the leader starts or stops distributing workers over all controllers.
  /// Peers must learn of a change immediately: a peer that does not know that it is to keep its
  /// workers would redirect them back to the leader, which redirects them to the peer again.
  void set_on_distribution_changed(std::function<void()> callback) {
    on_distribution_changed_ = std::move(callback);
  }

  /// Handles a heartbeat request that a worker sent directly to this controller.
  void handle_request(transport::Request request, transport::Respond respond);
  /// Handles a batch relayed by a peer. Throws `protocol::Malformed` if the sender is not a peer.
  void handle_relayed_batch(const protocol::RelayBatch& batch, transport::Respond respond);
  /// Handles a batch relayed through the key-value store. Throws as above.
  void handle_stored_batch(const protocol::RelayBatch& batch, transport::Respond respond);

  /// Sets the relay's target to the current leader: the one recorded in the key-value store, or a
  /// newer one known from its announcement.
  void update_relay_target();
  /// Whether a worker sent a heartbeat to this controller within the last heartbeat interval.
  bool receives_heartbeats() const;

 private:
  struct PendingHeartbeat {
    std::string payload;  // the request body as received
    protocol::Heartbeat heartbeat;
    transport::Respond respond;
    Seconds loading_deadline = 0;  // latest time to wait for the leader to load its records
  };
  struct PendingBatch {
    protocol::RelayBatch batch;
    Leader::RelayRoute route = Leader::RelayRoute::direct;
    transport::Respond respond;
    Seconds loading_deadline = 0;
  };

  void route(PendingHeartbeat pending);
  void process_as_leader(const PendingHeartbeat& pending);
  void relay_or_redirect(PendingHeartbeat pending);
  void process_batch(PendingBatch pending);
  Seconds loading_deadline() const;
  /// Whether to delay a heartbeat because this leader is still loading its records. A redirect
  /// would not help, as no other controller could answer either.
  bool must_wait_for_loading(Seconds deadline) const;
  void retry_after_loading_pause(std::function<void()> retry);

  transport::Clock& clock_;
  const Settings& settings_;
  Components components_;
  std::optional<Seconds> last_heartbeat_at_;
  std::function<void()> on_distribution_changed_ = [] {};
};

}  // namespace larkroad::coordination
