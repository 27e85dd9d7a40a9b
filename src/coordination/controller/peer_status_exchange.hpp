/// Status exchange between controllers: sends this controller's status to all peers and passes
/// their status messages to the components concerned.
///
/// Owned by `Controller`, which triggers sending periodically. Status is advisory: no durable state
/// depends on it, so lost or late messages are harmless.
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

class PeerStatusExchange {
 public:
  /// Sources of the own status and receivers of peer status. All must outlive this object.
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

  PeerStatusExchange(transport::Clock& clock, transport::Client& client, const Settings& settings,
                     Components components);

  /// The interval at which `send_status` is to be called.
  Seconds interval() const;
  /// Sends the current status to every peer once.
  void send_status();
  /// Processes a peer's status message. Throws `protocol::Malformed`.
  void handle_status(const std::string& body);

 private:
  protocol::PeerStatus own_status();
  /// Adds the fields that only the leader reports and records that they were announced.
  void add_leader_status(protocol::PeerStatus& status);
  void observe_leader_announcement(const protocol::PeerStatus& status);
  void observe_job_progress(const protocol::PeerStatus& status);

  transport::Clock& clock_;
  transport::Client& client_;
  const Settings& settings_;
  Components components_;
};

}  // namespace larkroad::coordination
