#include "coordination/election/unreachable_leader_watch.hpp"

namespace larkroad::coordination {
namespace {

// How long a leader goes without heartbeats before it steps down, as a fraction of the worker
// lease. The next leader needs the rest of the lease to renew it.
constexpr double kUnreachableTimeoutRatio = 1.0 / 3;

}  // namespace

bool UnreachableLeaderWatch::should_step_down(std::optional<Seconds> unreachable_since,
                                              bool peers_receive_heartbeats, Seconds now) const {
  if (!unreachable_since) return false;
  if (now - *unreachable_since < settings_.lease_s * kUnreachableTimeoutRatio) return false;
  return peers_receive_heartbeats;
}

}  // namespace larkroad::coordination
