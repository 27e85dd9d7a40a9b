/// Whether this controller can reach the leader over the network.
#pragma once

#include <optional>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// Tracks when the leader last answered a direct call of this controller.
///
/// Owned by Relay, which reports the outcome of every direct call and chooses the route by this
/// state. For some time after it stops answering, the leader is neither reachable nor presumed to
/// be partitioned: it may have crashed, and its successor is about to be elected.
class LeaderReachability {
 public:
  LeaderReachability(const transport::Clock& clock, const Settings& settings);

  /// Discards what is known, because the leader has changed.
  void reset();
  void record_answer();
  void record_failure();

  /// Whether the leader has answered recently and no call has failed since.
  bool is_reachable() const;
  /// Whether the leader has been silent for longer than the leader key outlives a crashed leader.
  /// As it still holds the key, it is alive and separated from this controller by a network
  /// partition.
  bool is_partitioned() const;

 private:
  const transport::Clock& clock_;
  const Settings& settings_;
  std::optional<Seconds> last_answer_at_;  // nullopt: the last call failed, or none was made
  Seconds unanswered_since_;
};

}  // namespace larkroad::coordination
