/// The last status report of each peer.
///
/// Owned by `Controller`, updated by `PeerStatusExchange`, and read wherever a controller decides
/// whether a peer is in a better position to do something. A report expires after one heartbeat
/// interval, so peers that have crashed or are unreachable are no longer considered.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "protocol/peer_messages.hpp"
#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

class PeerRegistry {
 public:
  explicit PeerRegistry(const Settings& settings) : settings_(settings) {}

  /// Records a peer's status report.
  void observe(const protocol::PeerStatus& status, Seconds now);

  /// Whether this member is a configured peer.
  bool is_peer(const std::string& member) const;
  /// Whether any peer has reported anything recently.
  bool any_is_heard(Seconds now) const;
  /// Whether any peer reaches the key-value store.
  bool any_has_store_access(Seconds now) const;
  /// Whether any peer that reaches the key-value store, and could therefore become the leader,
  /// receives heartbeats from workers.
  bool any_receives_heartbeats(Seconds now) const;
  /// The next peer, round-robin, that reaches the key-value store; nullptr if none is known.
  const PeerSettings* next_with_store_access(Seconds now);

 private:
  bool is_recent(Seconds reported_at, Seconds now) const;

  const Settings& settings_;
  std::map<std::string, Seconds> reported_at_;  ///< when each peer last reported, by member
  /// When each peer last reported that it reaches the key-value store, by member.
  std::map<std::string, Seconds> store_available_at_;
  /// When each peer last reported that it receives heartbeats as well, by member.
  std::map<std::string, Seconds> heartbeats_received_at_;
  std::size_t next_peer_ = 0;
};

}  // namespace larkroad::coordination
