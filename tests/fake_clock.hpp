/// A clock that stands still until a test moves it.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "transport/clock.hpp"

namespace larkroad::testing {

/// Runs timers in the order of their times, and timers of the same time in the order of their
/// registration.
class FakeClock : public transport::Clock {
 public:
  transport::Seconds now() const override { return now_; }
  transport::Seconds unix_time() const override { return 1e9 + now_; }
  transport::TimerId after(transport::Seconds delay, std::function<void()> fn) override {
    timers_.emplace(now_ + std::max(0.0, delay), std::move(fn));
    return 0;
  }
  void cancel(transport::TimerId) override {}

  /// Moves the time on, and runs what comes due meanwhile.
  void advance(transport::Seconds duration) {
    const transport::Seconds until = now_ + duration;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto fn = std::move(timers_.begin()->second);
      now_ = std::max(now_, timers_.begin()->first);
      timers_.erase(timers_.begin());
      fn();
    }
    now_ = until;
  }

 private:
  transport::Seconds now_ = 100;
  std::multimap<transport::Seconds, std::function<void()>> timers_;
};

}  // namespace larkroad::testing
