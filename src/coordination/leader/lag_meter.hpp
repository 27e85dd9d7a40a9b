/// How far the process is behind with its work, measured by how late its timers fire. Owned by the
/// leader, which defers low-priority work while it is overloaded.
#pragma once

#include <algorithm>

#include "transport/clock.hpp"

namespace larkroad::coordination {

class LagMeter {
 public:
  /// A timer that was due at `due` fires at `now`.
  void fired(transport::Seconds due, transport::Seconds now) {
    const transport::Seconds lateness = std::max(0.0, now - due);
    // The lag rises at once and falls slowly, so that one timer in time, while the overload goes
    // on, does not make the leader take up all deferred work at once.
    lag_ = std::max(lateness, lag_ * kDecayPerTimer);
  }
  /// The present lag; 0 when timers fire in time.
  transport::Seconds lag() const { return lag_; }
  void reset() { lag_ = 0; }

 private:
  static constexpr double kDecayPerTimer = 0.8;
  transport::Seconds lag_ = 0;
};

}  // namespace larkroad::coordination
