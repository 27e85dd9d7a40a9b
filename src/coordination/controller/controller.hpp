/// One controller process: its components, wired together, and the dispatch of requests to them.
///
/// Created by `main` (and by the tests' simulation), which passes on what arrives at the two
/// listening sockets. Everything runs on the one thread of the event loop.
#pragma once

#include <string>

#include "coordination/api/request_forwarder.hpp"
#include "coordination/api/user_api.hpp"
#include "coordination/controller/heartbeat_router.hpp"
#include "coordination/controller/peer_gossip.hpp"
#include "coordination/election/election.hpp"
#include "coordination/election/unreachable_leader_watch.hpp"
#include "coordination/leader/leader.hpp"
#include "coordination/membership/cancellation_notifier.hpp"
#include "coordination/membership/leader_announcements.hpp"
#include "coordination/membership/member_versions.hpp"
#include "coordination/membership/peer_registry.hpp"
#include "coordination/relay/relay.hpp"
#include "coordination/relay/store_relay.hpp"
#include "coordination/scaling/machine_catalog.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

class Controller {
 public:
  /// `clock`, `client` and `settings` outlive the controller.
  Controller(transport::Clock& clock, transport::Client& client, const Settings& settings);

  /// Begins to take part: in the election, and in the exchange of status with the peers.
  void start();

  /// A request of a user, a worker or the load balancer.
  void handle_client(transport::Request request, transport::Respond respond);
  /// A request of another controller.
  void handle_peer(transport::Request request, transport::Respond respond);

  const Election& election() const { return election_; }
  const MemberVersions& versions() const { return versions_; }
  /// Whether workers are distributed over all controllers, as far as this one knows.
  bool workers_distributed() const { return announcements_.workers_distributed(); }

 private:
  enum class Role { leader, follower };

  void on_elected();
  void on_deposed();
  void connect_components();
  /// Takes this controller's share of the key-value store's rate limits.
  void apply_rate_limit_share(Role role);
  /// Whether users are served here at least as well as by a peer: the answer to the load balancer.
  bool is_healthy() const;

  /// Exchanges status with the peers, and checks whether a peer would be the better leader.
  void run_periodic_tasks();
  void step_down_if_unreachable();

  /// Throws when the request is malformed or its sender is no peer.
  void dispatch_peer_request(const transport::Request& request, const transport::Respond& respond);
  void handle_cancellation(const std::string& body, const transport::Respond& respond);

  transport::Clock& clock_;
  const Settings& settings_;
  storage::KeyValueClient store_;
  MachineCatalog catalog_;
  MemberVersions versions_;
  PeerRegistry peers_;
  LeaderAnnouncements announcements_;
  Election election_;
  UnreachableLeaderWatch unreachable_leader_watch_;
  UserApi user_api_;
  RequestForwarder request_forwarder_;
  Leader leader_;
  StoreRelayClient store_relay_client_;
  StoreRelayServer store_relay_server_;
  Relay relay_;
  HeartbeatRouter heartbeat_router_;
  PeerGossip gossip_;
  CancellationNotifier cancellations_;
};

}  // namespace larkroad::coordination
