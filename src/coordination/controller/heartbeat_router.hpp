/// Decides what becomes of a worker's heartbeat: the leader processes it, a follower relays it to
/// the leader or redirects the worker.
///
/// Called by `Controller` for heartbeats that workers send and for batches that peers relay, the
/// latter directly or by way of the key-value store. Only the leader's answer renews a worker's
/// lease, so a follower never answers 200 by itself.
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
  /// What the router decides by and hands heartbeats to. All of it outlives the router.
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

  /// Called when the leader begins or ends to distribute workers over all controllers. Peers must
  /// know at once that workers stay with them from now on, or they would redirect to this
  /// controller those that it redirects to them.
  void set_on_distribution_changed(std::function<void()> callback) {
    on_distribution_changed_ = std::move(callback);
  }

  /// A worker's own request to this controller.
  void handle_request(transport::Request request, transport::Respond respond);
  /// A batch that a peer has relayed. Throws `protocol::Malformed` if its sender is no peer.
  void handle_relayed_batch(const protocol::RelayBatch& batch, transport::Respond respond);
  /// The same for a batch that came by way of the key-value store.
  void handle_stored_batch(const protocol::RelayBatch& batch, transport::Respond respond);

  /// Points the relay at the present leader: the one that the key-value store names, or a newer one
  /// that has announced itself.
  void update_relay_target();
  /// Whether a worker has sent a heartbeat to this controller within a heartbeat interval.
  bool receives_heartbeats() const;

 private:
  struct PendingHeartbeat {
    std::string payload;  // as the worker sent it
    protocol::Heartbeat heartbeat;
    transport::Respond respond;
    Seconds loading_deadline = 0;  // waits no longer for a leader that is still loading
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
  /// Whether this leader still reads its records. It has its workers wait a little for that, as
  /// another controller could not serve them either.
  bool must_wait_for_loading(Seconds deadline) const;
  void retry_after_loading_pause(std::function<void()> retry);

  transport::Clock& clock_;
  const Settings& settings_;
  Components components_;
  std::optional<Seconds> last_heartbeat_at_;
  std::function<void()> on_distribution_changed_ = [] {};
};

}  // namespace larkroad::coordination
