#include "coordination/relay/relay_assignment.hpp"

#include <algorithm>
#include <tuple>

namespace larkroad::coordination {
namespace {

// The part of a node's sockets that is meant for workers' connections. The leader takes fewer: it
// has the decisions to make, too, and a report from a relay costs it a fraction of one that comes
// straight.
constexpr double kLeaderSockets = 0.2;
constexpr double kRelaySockets = 0.4;
// Workers come back to the leader when all of them would fill no more than this of its share.
constexpr double kTogetherBelow = 0.7;
// A worker that has not reported for this many intervals no longer counts where it was.
constexpr double kRecentReports = 2.5;
// A peer counts as a relay for this many intervals after it said so.
constexpr double kRelayReports = 1;

}  // namespace

RelayAssignment::RelayAssignment(const Settings& settings)
    : settings_(settings),
      own_share_(static_cast<size_t>(settings.sockets * kLeaderSockets)),
      relay_share_(static_cast<size_t>(settings.sockets * kRelaySockets)) {}

void RelayAssignment::clear(bool spread) {
  spread_ = spread;
  routes_.clear();
  counts_.clear();
  relays_at_.clear();
}

bool RelayAssignment::recent(Seconds when, Seconds now) const {
  return when >= 0 && now - when < settings_.heartbeat_interval_s * kRecentReports;
}

size_t RelayAssignment::at(const std::string& via) const {
  const auto it = counts_.find(via);
  return it == counts_.end() ? 0 : it->second;
}

void RelayAssignment::reported(const std::string& machine, const std::string& via, Seconds now) {
  Route& seat = routes_[machine];
  if (seat.via != via || !recent(seat.last_heartbeat_at, now)) {
    if (recent(seat.last_heartbeat_at, now) && counts_[seat.via] > 0) --counts_[seat.via];
    ++counts_[via];
    seat.via = via;
  }
  seat.last_heartbeat_at = now;
  if (counts_[via] > share(via)) spread_ = true;
}

std::optional<std::string> RelayAssignment::elsewhere(const std::string& machine,
                                                      const std::string& zone,
                                                      const std::string& via, Seconds now) {
  Route& seat = routes_[machine];
  const bool seated = seat.via == via && recent(seat.last_heartbeat_at, now);
  if (at(via) + (seated ? 0 : 1) <= share(via)) return std::nullopt;
  // One that comes back from where it was sent is served, so that nobody is sent in circles.
  if (recent(seat.sent_on_at, now)) return std::nullopt;
  const PeerSettings* best = nullptr;
  const auto rank = [&](const PeerSettings& peer) {
    return std::make_tuple(peer.zone != zone, at(peer.member), peer.member);
  };
  for (const auto& peer : settings_.peers) {
    const auto told = relays_at_.find(peer.member);
    if (peer.member == via || told == relays_at_.end() ||
        now - told->second > settings_.heartbeat_interval_s * kRelayReports ||
        at(peer.member) >= relay_share_) {
      continue;
    }
    if (best == nullptr || rank(peer) < rank(*best)) best = &peer;
  }
  spread_ = true;
  if (best == nullptr) return std::nullopt;
  seat.sent_on_at = now;
  ++counts_[best->member];  // as good as there; counted anew before long
  return best->member;
}

void RelayAssignment::count(std::optional<size_t> machines, Seconds now) {
  counts_.clear();
  std::erase_if(routes_, [&](const auto& entry) {
    return !recent(std::max(entry.second.last_heartbeat_at, entry.second.sent_on_at), now);
  });
  for (const auto& [machine, seat] : routes_) {
    if (recent(seat.last_heartbeat_at, now)) ++counts_[seat.via];
  }
  if (!machines) return;
  if (*machines > own_share_) {
    spread_ = true;
  } else if (static_cast<double>(*machines) < kTogetherBelow * static_cast<double>(own_share_)) {
    spread_ = false;
  }
}

}  // namespace larkroad::coordination
