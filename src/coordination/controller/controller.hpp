/// A controller process: creates and connects its components and dispatches requests to them.
///
/// Created by `main` and by the simulation in the tests, which pass in the requests received on the
/// client and the peer socket. Everything runs on the single event loop thread.
#pragma once

#include <string>

#include "coordination/api/request_forwarder.hpp"
#include "coordination/api/user_api.hpp"
#include "coordination/controller/heartbeat_router.hpp"
#include "coordination/controller/peer_status_exchange.hpp"
#include "coordination/election/election.hpp"
#include "coordination/election/unreachable_leader_watch.hpp"
#include "coordination/leader/leader.hpp"
#include "coordination/membership/cancellation_notifier.hpp"
#include "coordination/membership/leader_announcements.hpp"
#include "coordination/membership/member_versions.hpp"
#include "coordination/membership/peer_registry.hpp"
#include "coordination/relay/relay.hpp"
#include "coordination/relay/store_relay_client.hpp"
#include "coordination/relay/store_relay_server.hpp"
#include "coordination/scaling/machine_catalog.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

class Controller {
 public:
  /// `clock`, `client` and `settings` must outlive the controller.
  Controller(transport::Clock& clock, transport::Client& client, const Settings& settings);

  /// Joins the leader election and starts the periodic status exchange with peers.
  void start();

  /// Handles a request from a user, a worker or the load balancer.
  void handle_client(transport::Request request, transport::Respond respond);
  /// Handles a request from another controller.
  void handle_peer(transport::Request request, transport::Respond respond);

  const Election& election() const { return election_; }
  const MemberVersions& versions() const { return versions_; }
  /// Whether workers send heartbeats to all controllers, according to the latest announcement known
  /// here.
  bool workers_distributed() const { return announcements_.workers_distributed(); }

 private:
  enum class Role { leader, follower };

  void on_elected();
  void on_deposed();
  void connect_components();
  /// Limits this controller to its role's share of the key-value store's rate limits.
  void apply_rate_limit_share(Role role);
  /// Health check result for the load balancer: whether this controller serves users at least as
  /// well as its peers.
  bool is_healthy();

  /// Sends the status to peers and, as the leader, checks whether to step down because workers
  /// reach only the peers.
  void run_periodic_tasks();
  void step_down_if_unreachable();

  /// Throws if the request is malformed or its sender is not a peer.
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
  PeerStatusExchange status_exchange_;
  CancellationNotifier cancellations_;
};

}  // namespace larkroad::coordination
