/// Whether the controller that leads answers this one over the network.
#pragma once

#include <optional>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// Keeps when the leader last answered a direct call of this controller.
///
/// Owned by Relay, which reports the outcome of every direct call and asks before it chooses a
/// route. Between the two answers below lies a time in which the leader is neither reachable nor
/// presumed to be behind a partition: it may have ended, and its successor is about to be elected.
class LeaderReachability {
 public:
  LeaderReachability(const transport::Clock& clock, const Settings& settings);

  /// Another controller leads from now on; nothing is known of it.
  void reset();
  void record_answer();
  void record_failure();

  /// Whether the leader has answered recently and no call has failed since.
  bool is_reachable() const;
  /// Whether the leader has answered nothing for longer than it would keep the leader's key if it
  /// had ended: it is alive, and a network partition lies between it and this controller.
  bool is_partitioned() const;

 private:
  const transport::Clock& clock_;
  const Settings& settings_;
  std::optional<Seconds> last_answer_at_;  // none: the last call failed, or there was none
  Seconds unanswered_since_;
};

}  // namespace larkroad::coordination
