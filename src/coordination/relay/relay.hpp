/// Relay of heartbeats that workers send to a controller other than the leader.
///
/// Heartbeats are sent to the leader in batches, and each worker gets the leader's answer to its
/// own heartbeat, or 503 before it times out. A relay never answers 200 by itself: only the
/// leader's answer renews a worker's lease.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/relay/acknowledged_heartbeats.hpp"
#include "coordination/relay/leader_reachability.hpp"
#include "coordination/relay/store_relay_client.hpp"
#include "protocol/relay_messages.hpp"
#include "protocol/worker_messages.hpp"
#include "settings.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// Queues heartbeats, sends them to the leader in batches, and returns the leader's answers.
///
/// There are two routes: directly to the leader, and through the key-value store if a network
/// partition separates the two controllers. Heartbeats are answered in no particular order; each is
/// answered exactly once, before its worker times out. The queue and the number of batches in
/// flight are bounded.
class Relay {
 public:
  Relay(transport::Clock& clock, transport::Client& client, StoreRelayClient& store_relay,
        const Settings& settings);

  /// Sets the leader known to this controller (empty: none) and its fencing token.
  void set_leader(const std::string& member, std::uint64_t fencing_token);
  /// The leader set last; empty if none is known.
  const std::string& leader() const { return leader_; }
  /// Records whether `member` answered a call of this controller.
  void record_peer_reply(const std::string& member, bool answered);
  /// Whether the leader is a peer that has answered this controller recently.
  bool leader_reachable() const;
  /// Sets whether batches may be sent through the key-value store, see `uses_store_route`.
  void allow_store_route(bool allowed) { store_route_allowed_ = allowed; }
  /// Whether batches are currently sent through the key-value store: this is allowed, and the
  /// leader is known to be alive but unreachable.
  bool uses_store_route() const;
  /// Relays a heartbeat; `payload` is the message body as the worker sent it.
  void forward(std::string payload, protocol::Heartbeat heartbeat, transport::Respond respond);

 private:
  enum class Route { direct, store };
  enum class Attempt { first, after_stale_token };

  struct QueuedHeartbeat {
    std::string payload;
    protocol::Heartbeat heartbeat;
    transport::Respond respond;
    Seconds deadline = 0;
    bool full_payload_requested = false;  // by the leader, which lacks the base
  };
  using Batch = std::vector<QueuedHeartbeat>;

  Route route() const { return uses_store_route() ? Route::store : Route::direct; }
  bool may_send_batch() const;
  void schedule_send();
  void send_queue();
  Batch take_batch();
  size_t estimated_bytes(const QueuedHeartbeat& item) const;
  std::optional<std::uint64_t> acknowledged_sequence(const QueuedHeartbeat& item) const;
  protocol::RelayedHeartbeat encode(const QueuedHeartbeat& item, Route route) const;
  void send_batch(Batch batch, Attempt attempt);
  void handle_reply(Batch batch, Attempt attempt, Route route, transport::Outcome outcome,
                    const transport::Response& response);
  void fail_batch(const Batch& batch, Route route);
  void complete_batch(Batch batch, std::vector<protocol::RelayedAnswer> answers, Route route);
  void resend_in_full(QueuedHeartbeat item);
  void acknowledge(QueuedHeartbeat& item, Seconds now);
  void drop_old_acknowledgements();

  transport::Clock& clock_;
  transport::Client& client_;
  StoreRelayClient& store_relay_;
  const Settings& settings_;
  std::string leader_;
  std::optional<std::string> leader_endpoint_;  // nullopt: no leader, or it is not a peer
  std::uint64_t fencing_token_ = 0;             // the highest known one of this leader
  LeaderReachability reachability_;
  AcknowledgedHeartbeats acknowledged_;
  bool store_route_allowed_ = false;
  std::deque<QueuedHeartbeat> queue_;
  int batches_in_flight_ = 0;
  bool send_scheduled_ = false;
  // Last member, so that pending callbacks are dropped before the other members are destroyed.
  transport::CallbackScope scope_;
};

}  // namespace larkroad::coordination
