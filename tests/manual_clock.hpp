/// A clock that a test sets forward itself.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "transport/clock.hpp"

namespace larkroad::testing {

using transport::Seconds;

class ManualClock : public transport::Clock {
 public:
  Seconds now() const override { return now_; }
  Seconds unix_time() const override { return 1e9 + now_; }
  transport::TimerId after(Seconds delay, std::function<void()> fn) override {
    timers_.emplace(now_ + std::max(0.0, delay), std::move(fn));
    return 0;
  }
  void cancel(transport::TimerId) override {}
  /// Runs the timers that are due by `until`, in their order, and sets the clock to it.
  void run(Seconds until) {
    while (!timers_.empty() && timers_.begin()->first <= until) {
      auto fn = std::move(timers_.begin()->second);
      now_ = std::max(now_, timers_.begin()->first);
      timers_.erase(timers_.begin());
      fn();
    }
    now_ = until;
  }

 private:
  Seconds now_ = 1;
  std::multimap<Seconds, std::function<void()>> timers_;
};

}  // namespace larkroad::testing
