/// Exchange of status between controllers: what this one reports of itself, and what becomes of the
/// reports of its peers.
///
/// Owned by `Controller`, which has it send periodically. A status is information only: nothing
/// durable depends on it, so a lost or late one does no harm.
#pragma once

#include <string>

#include "coordination/api/user_api.hpp"
#include "coordination/controller/heartbeat_router.hpp"
#include "coordination/election/election.hpp"
#include "coordination/leader/leader.hpp"
#include "coordination/membership/leader_announcements.hpp"
#include "coordination/membership/member_versions.hpp"
#include "coordination/membership/peer_registry.hpp"
#include "coordination/relay/relay.hpp"
#include "protocol/peer_messages.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

class PeerGossip {
 public:
  /// What a status is composed of and what a peer's status is handed to. All of it outlives this.
  struct Components {
    storage::KeyValueClient& store;
    Election& election;
    Leader& leader;
    Relay& relay;
    UserApi& user_api;
    HeartbeatRouter& heartbeat_router;
    MemberVersions& versions;
    PeerRegistry& peers;
    LeaderAnnouncements& announcements;
  };

  PeerGossip(transport::Clock& clock, transport::Client& client, const Settings& settings,
             Components components);

  /// How often a status is to be sent.
  Seconds interval() const;
  /// Sends the present status to every peer, once.
  void send_status();
  /// Takes in a peer's status. Throws `protocol::Malformed`.
  void handle_status(const std::string& body);

 private:
  protocol::PeerStatus own_status();
  /// Adds what only the leader reports, and takes note of having announced it.
  void add_leader_status(protocol::PeerStatus& status);
  void observe_leader_announcement(const protocol::PeerStatus& status);
  void observe_job_progress(const protocol::PeerStatus& status);

  transport::Clock& clock_;
  transport::Client& client_;
  const Settings& settings_;
  Components components_;
};

}  // namespace larkroad::coordination
