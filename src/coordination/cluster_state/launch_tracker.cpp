#include "coordination/cluster_state/launch_tracker.hpp"

namespace larkroad::coordination {

void LaunchTracker::add_call(const LaunchKey& launch, std::uint64_t fencing_token) {
  launches_[launch].call = DirectCall{fencing_token, CallState::pending};
}

void LaunchTracker::add_response(const LaunchKey& launch, std::uint64_t fencing_token,
                                 std::uint64_t sequence) {
  launches_[launch].response = HeartbeatResponse{fencing_token, sequence};
}

void LaunchTracker::add_inherited(const LaunchKey& launch, std::uint64_t fencing_token) {
  launches_[launch].call = DirectCall{fencing_token, CallState::unanswered};
}

void LaunchTracker::call_dropped(const LaunchKey& launch) {
  const auto it = launches_.find(launch);
  if (it == launches_.end()) return;
  it->second.call.reset();
  erase_ended();
}

void LaunchTracker::call_answered(const LaunchKey& launch) {
  set_call_state(launch, CallState::answered);
}

void LaunchTracker::call_unanswered(const LaunchKey& launch) {
  set_call_state(launch, CallState::unanswered);
}

void LaunchTracker::set_call_state(const LaunchKey& launch, CallState state) {
  const auto it = launches_.find(launch);
  if (it != launches_.end() && it->second.call) it->second.call->state = state;
}

std::vector<LaunchTracker::Resolved> LaunchTracker::worker_saw_token(std::uint64_t fencing_token) {
  std::vector<Resolved> resolved;
  for (auto& [key, launch] : launches_) {
    if (launch.call && launch.call->fencing_token < fencing_token) {
      if (launch.call->is_unresolved()) resolved.push_back({key, launch.call->fencing_token});
      launch.call.reset();
    }
    if (launch.response && launch.response->fencing_token < fencing_token) {
      resolved.push_back({key, launch.response->fencing_token});
      launch.response.reset();
    }
  }
  erase_ended();
  return resolved;
}

std::vector<LaunchTracker::Resolved> LaunchTracker::worker_sent_heartbeat(std::uint64_t sequence) {
  std::vector<Resolved> resolved;
  for (auto& [key, launch] : launches_) {
    if (!launch.response || launch.response->sequence >= sequence) continue;
    resolved.push_back({key, launch.response->fencing_token});
    launch.response.reset();
  }
  erase_ended();
  return resolved;
}

void LaunchTracker::erase_ended() {
  std::erase_if(launches_,
                [](const auto& entry) { return !entry.second.call && !entry.second.response; });
}

const LaunchTracker::DirectCall* LaunchTracker::find_call(const LaunchKey& launch) const {
  const auto it = launches_.find(launch);
  return it != launches_.end() && it->second.call ? &*it->second.call : nullptr;
}

bool LaunchTracker::is_unresolved(const LaunchKey& launch) const {
  const auto it = launches_.find(launch);
  if (it == launches_.end()) return false;
  return it->second.response || (it->second.call && it->second.call->is_unresolved());
}

bool LaunchTracker::is_call_pending(const LaunchKey& launch) const {
  const DirectCall* call = find_call(launch);
  return call != nullptr && call->state == CallState::pending;
}

bool LaunchTracker::may_repeat(const LaunchKey& launch) const {
  const auto it = launches_.find(launch);
  return it == launches_.end() || (!it->second.response && !is_call_pending(launch));
}

std::optional<std::uint64_t> LaunchTracker::unresolved_call_token(const LaunchKey& launch) const {
  const DirectCall* call = find_call(launch);
  if (call == nullptr || !call->is_unresolved()) return std::nullopt;
  return call->fencing_token;
}

bool LaunchTracker::may_have_copies(const LaunchKey& launch) const {
  return find_call(launch) != nullptr;
}

}  // namespace larkroad::coordination
