// One controller: everything it runs, wired together, and what it tells the others.
#pragma once

#include "coordination/api/user_api.hpp"
#include "coordination/election/election.hpp"
#include "coordination/leader/leader.hpp"
#include "coordination/membership/cancellation_notifier.hpp"
#include "coordination/membership/member_versions.hpp"
#include "coordination/relay/relay.hpp"
#include "coordination/relay/store_relay_client.hpp"
#include "coordination/relay/store_relay_server.hpp"
#include "coordination/scaling/machine_catalog.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

class Controller {
 public:
  Controller(transport::Clock& clock, transport::Client& client, const Settings& settings);
  void start();

  // Users, workers and the load balancer.
  void handle_client(transport::Request request, transport::Respond respond);
  // The other controllers.
  void handle_peer(transport::Request request, transport::Respond respond);

  const Election& election() const { return election_; }
  const MemberVersions& versions() const { return versions_; }
  // Whether workers report to all nodes, as far as this one knows; see RelayAssignment.
  bool spreads_workers() const { return spread_; }

 private:
  // Takes this node's part of the state service's limits.
  void apply_rate_limit_share(bool leads);
  void handle_heartbeat(std::string body, transport::Respond respond);
  void serve_report(std::string body, protocol::Heartbeat heartbeat, transport::Respond respond,
                    Seconds until);
  void take_lead();
  void leave_lead();
  // A batch that came by way of the state service.
  void relayed_by_store(const protocol::RelayBatch& batch, const transport::Respond& respond);
  void handle_relayed_heartbeats(const protocol::RelayBatch& batch, Leader::RelayRoute route,
                                 const transport::Respond& respond, Seconds until);
  // A leader that still reads the records has its workers wait for that a little.
  bool must_wait_for_loading(Seconds until) const;
  void after_loading_pause(std::function<void()> again);
  void cancelled_elsewhere(const std::string& body, const transport::Respond& respond);
  // What a peer says of itself now and then.
  void peer_told(const std::string& body);
  bool is_peer(const std::string& member) const;
  // A leader that no worker reaches any more, while they reach its peers, makes way.
  void step_down_if_unreachable();
  void tell_peers();
  void tell_peers_now();
  // Points the relay at whoever leads, by the state service or by what a peer said of itself.
  void aim_relay();
  bool healthy();
  // A peer that the state service answers at present; nullptr when none is known.
  const PeerSettings* serving_peer();
  // Has a peer answer a user's call that this node cannot; with its own answer if that fails.
  void forward(const PeerSettings& peer, const transport::Request& request, transport::Response own,
               transport::Respond respond);
  void forwarded(const std::string& body, transport::Respond respond);

  transport::Clock& clock_;
  transport::Client& client_;
  const Settings& settings_;
  storage::KeyValueClient store_;
  MachineCatalog catalog_;
  MemberVersions versions_;
  Election election_;
  UserApi user_api_;
  Leader leader_;
  StoreRelayClient store_client_;
  StoreRelayServer store_server_;
  Relay relay_;
  CancellationNotifier cancellations_;
  // The newest leader that a peer has said to be, and when.
  std::string told_leader_;
  std::uint64_t told_fencing_token_ = 0;
  Seconds told_at_ = -1;
  bool spread_ = false;       // as the leader last said, see RelayAssignment
  bool told_spread_ = false;  // what this node last said of it, when leading
  // When each peer last said that the state service answers it.
  std::map<std::string, Seconds> peer_serves_;
  // When workers last came to each peer that the state service answers, as it said, and to this
  // node.
  std::map<std::string, Seconds> peer_hears_;
  Seconds workers_came_at_ = -1;
  size_t next_peer_ = 0;
};

}  // namespace larkroad::coordination
