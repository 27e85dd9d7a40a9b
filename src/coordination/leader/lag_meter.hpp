// How far the process is behind with its work, told by how late its timers fire.
#pragma once

#include <algorithm>

#include "transport/clock.hpp"

namespace larkroad::coordination {

class LagMeter {
 public:
  // A timer that was due at `due` fires at `now`.
  void fired(transport::Seconds due, transport::Seconds now) {
    const transport::Seconds late = std::max(0.0, now - due);
    // Rises at once and falls slowly, so that one timer in time does not end the relief.
    lag_ = std::max(late, lag_ * kDecay);
  }
  transport::Seconds lag() const { return lag_; }
  void reset() { lag_ = 0; }

 private:
  static constexpr double kDecay = 0.8;  // for each timer
  transport::Seconds lag_ = 0;
};

}  // namespace larkroad::coordination
