#include "coordination/relay/leader_reachability.hpp"

namespace larkroad::coordination {
namespace {

// The leader counts as reachable for this many heartbeat intervals after an answer.
constexpr double kReachableIntervals = 1;
// Fraction of the workers' lease. The key of a crashed leader expires after a sixth of that lease.
constexpr double kPartitionedLeaseRatio = 1.0 / 5;

}  // namespace

LeaderReachability::LeaderReachability(const transport::Clock& clock, const Settings& settings)
    : clock_(clock), settings_(settings), unanswered_since_(clock.now()) {}

void LeaderReachability::reset() {
  last_answer_at_.reset();
  unanswered_since_ = clock_.now();
}

void LeaderReachability::record_answer() {
  last_answer_at_ = clock_.now();
  unanswered_since_ = clock_.now();
}

void LeaderReachability::record_failure() { last_answer_at_.reset(); }

bool LeaderReachability::is_reachable() const {
  return last_answer_at_ &&
         clock_.now() - *last_answer_at_ < settings_.heartbeat_interval_s * kReachableIntervals;
}

bool LeaderReachability::is_partitioned() const {
  return clock_.now() - unanswered_since_ > settings_.lease_s * kPartitionedLeaseRatio;
}

}  // namespace larkroad::coordination
