/// What each peer last reported of itself.
///
/// Owned by `Controller`, written by `PeerGossip`, read wherever a controller decides whether a
/// peer is better placed than itself. A report counts for one heartbeat interval, so a peer that
/// has ended or cannot be reached drops out by itself.
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

  /// Records what a peer has just reported of itself.
  void observe(const protocol::PeerStatus& status, Seconds now);

  /// Whether the settings name this member as a peer.
  bool is_peer(const std::string& member) const;
  /// Whether the key-value store answers any peer.
  bool any_has_store(Seconds now) const;
  /// Whether workers send heartbeats to any peer that the key-value store answers, and which could
  /// therefore take over the leadership.
  bool any_receives_heartbeats(Seconds now) const;
  /// The next peer, in turn, that the key-value store answers; nullptr when none is known.
  const PeerSettings* next_with_store(Seconds now);

 private:
  bool is_recent(Seconds reported_at, Seconds now) const;

  const Settings& settings_;
  /// When each peer last reported that the key-value store answers it, by member.
  std::map<std::string, Seconds> store_available_at_;
  /// When each of these last reported that workers send heartbeats to it, by member.
  std::map<std::string, Seconds> heartbeats_received_at_;
  std::size_t next_peer_ = 0;
};

}  // namespace larkroad::coordination
