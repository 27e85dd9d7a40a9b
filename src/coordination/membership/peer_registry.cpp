#include "coordination/membership/peer_registry.hpp"

#include <algorithm>

namespace larkroad::coordination {

void PeerRegistry::observe(const protocol::PeerStatus& status, Seconds now) {
  reported_at_[status.member] = now;
  if (!status.store_available) return;
  store_available_at_[status.member] = now;
  if (status.receives_heartbeats) heartbeats_received_at_[status.member] = now;
}

bool PeerRegistry::is_peer(const std::string& member) const {
  return std::any_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const PeerSettings& peer) { return peer.member == member; });
}

bool PeerRegistry::any_is_heard(Seconds now) const {
  return std::any_of(reported_at_.begin(), reported_at_.end(),
                     [&](const auto& peer) { return is_recent(peer.second, now); });
}

bool PeerRegistry::any_has_store_access(Seconds now) const {
  return std::any_of(store_available_at_.begin(), store_available_at_.end(),
                     [&](const auto& peer) { return is_recent(peer.second, now); });
}

bool PeerRegistry::any_receives_heartbeats(Seconds now) const {
  return std::any_of(heartbeats_received_at_.begin(), heartbeats_received_at_.end(),
                     [&](const auto& peer) { return is_recent(peer.second, now); });
}

const PeerSettings* PeerRegistry::next_with_store_access(Seconds now) {
  for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
    const PeerSettings& peer = settings_.peers[next_peer_++ % settings_.peers.size()];
    const auto reported = store_available_at_.find(peer.member);
    if (reported != store_available_at_.end() && is_recent(reported->second, now)) return &peer;
  }
  return nullptr;
}

bool PeerRegistry::is_recent(Seconds reported_at, Seconds now) const {
  return now - reported_at < settings_.heartbeat_interval_s;
}

}  // namespace larkroad::coordination
