/// Measures event loop lag: how late timers fire because the process is behind with its work. Owned
/// by the leader, which defers low-priority work while it is overloaded.
#pragma once

#include <algorithm>

#include "transport/clock.hpp"

namespace larkroad::coordination {

class LagMeter {
 public:
  /// Records that a timer due at `due` fired at `now`.
  void record_timer(transport::Seconds due, transport::Seconds now) {
    const transport::Seconds lateness = std::max(0.0, now - due);
    // The lag rises immediately and decays slowly. Otherwise a single timer that fires on time
    // during an overload would make the leader start all deferred work at once.
    lag_ = std::max(lateness, lag_ * kDecayPerTimer);
  }
  /// The current lag; 0 if timers fire on time.
  transport::Seconds lag() const { return lag_; }
  void reset() { lag_ = 0; }

 private:
  static constexpr double kDecayPerTimer = 0.8;
  transport::Seconds lag_ = 0;
};

}  // namespace larkroad::coordination
