#include "coordination/relay/relay_assignment.hpp"

#include <algorithm>
#include <tuple>

namespace larkroad::coordination {
namespace {

// Fraction of a controller's sockets reserved for workers' connections. The leader has fewer
// because it also schedules, and because a relayed heartbeat costs it only a fraction of a direct
// one.
constexpr double kLeaderSocketRatio = 0.2;
constexpr double kRelaySocketRatio = 0.4;
// Workers return to the leader when all of them together would use less than this fraction of its
// capacity. The gap to the full capacity (hysteresis) prevents repeated moves back and forth.
constexpr double kReturnRatio = 0.7;
// A worker without a heartbeat for this many intervals no longer counts for its controller.
constexpr double kRecentIntervals = 2.5;
// A peer counts as a relay for this many intervals after its announcement.
constexpr double kAnnouncementIntervals = 1;

}  // namespace

RelayAssignment::RelayAssignment(const Settings& settings)
    : settings_(settings),
      leader_capacity_(static_cast<size_t>(settings.sockets * kLeaderSocketRatio)),
      relay_capacity_(static_cast<size_t>(settings.sockets * kRelaySocketRatio)) {}

void RelayAssignment::reset(bool distributed) {
  distributed_ = distributed;
  routes_.clear();
  worker_counts_.clear();
  relay_announced_at_.clear();
}

bool RelayAssignment::is_recent(std::optional<Seconds> when, Seconds now) const {
  return when && now - *when < settings_.heartbeat_interval_s * kRecentIntervals;
}

size_t RelayAssignment::worker_count(const std::string& controller) const {
  const auto found = worker_counts_.find(controller);
  return found == worker_counts_.end() ? 0 : found->second;
}

void RelayAssignment::record_heartbeat(const std::string& machine, const std::string& controller,
                                       Seconds now) {
  WorkerRoute& route = routes_[machine];
  const bool counted = is_recent(route.last_heartbeat_at, now);
  if (!counted || route.controller != controller) {
    if (counted && worker_counts_[route.controller] > 0) --worker_counts_[route.controller];
    ++worker_counts_[controller];
    route.controller = controller;
  }
  route.last_heartbeat_at = now;
  if (worker_counts_[controller] > capacity(controller)) distributed_ = true;
}

std::optional<std::string> RelayAssignment::choose_redirect(const std::string& machine,
                                                            const std::string& zone,
                                                            const std::string& controller,
                                                            Seconds now) {
  WorkerRoute& route = routes_[machine];
  const bool counted = route.controller == controller && is_recent(route.last_heartbeat_at, now);
  const size_t count_with_worker = worker_count(controller) + (counted ? 0 : 1);
  if (count_with_worker <= capacity(controller)) return std::nullopt;
  // A worker that comes back soon after a redirect is served here, which prevents redirect loops.
  if (is_recent(route.redirected_at, now)) return std::nullopt;
  distributed_ = true;
  const PeerSettings* relay = choose_relay(zone, controller, now);
  if (relay == nullptr) return std::nullopt;
  route.redirected_at = now;
  // Counted at once, so that the next choice includes it; `rebalance` corrects the count if the
  // worker never arrives.
  ++worker_counts_[relay->member];
  return relay->member;
}

bool RelayAssignment::is_available_relay(const std::string& member, Seconds now) const {
  const auto announced = relay_announced_at_.find(member);
  return announced != relay_announced_at_.end() &&
         now - announced->second <= settings_.heartbeat_interval_s * kAnnouncementIntervals &&
         worker_count(member) < relay_capacity_;
}

const PeerSettings* RelayAssignment::choose_relay(const std::string& zone,
                                                  const std::string& excluded, Seconds now) const {
  const auto rank = [&](const PeerSettings& peer) {
    const bool other_zone = peer.zone != zone;
    return std::make_tuple(other_zone, worker_count(peer.member), peer.member);
  };
  const PeerSettings* best = nullptr;
  for (const auto& peer : settings_.peers) {
    if (peer.member == excluded || !is_available_relay(peer.member, now)) continue;
    if (best == nullptr || rank(peer) < rank(*best)) best = &peer;
  }
  return best;
}

void RelayAssignment::rebalance(std::optional<size_t> machine_count, Seconds now) {
  worker_counts_.clear();
  std::erase_if(routes_, [&](const auto& entry) {
    const WorkerRoute& route = entry.second;
    return !is_recent(route.last_heartbeat_at, now) && !is_recent(route.redirected_at, now);
  });
  for (const auto& [machine, route] : routes_) {
    if (is_recent(route.last_heartbeat_at, now)) ++worker_counts_[route.controller];
  }
  if (!machine_count) return;
  const double return_below = kReturnRatio * static_cast<double>(leader_capacity_);
  if (*machine_count > leader_capacity_) {
    distributed_ = true;
  } else if (static_cast<double>(*machine_count) < return_below) {
    distributed_ = false;
  }
}

}  // namespace larkroad::coordination
