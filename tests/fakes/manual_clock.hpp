/// A simulated clock that a test advances explicitly.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "transport/clock.hpp"

namespace larkroad::testing {

/// Runs timers in order of their due time; timers due at the same time run in the order in which
/// they were created. A timer created by a running callback runs in the same call if it is due by
/// then.
class ManualClock : public transport::Clock {
 public:
  using Seconds = transport::Seconds;

  explicit ManualClock(Seconds start = 1, Seconds unix_offset = 1e9)
      : now_(start), unix_offset_(unix_offset) {}

  Seconds now() const override { return now_; }
  Seconds unix_time() const override { return unix_offset_ + now_; }

  transport::TimerId after(Seconds delay, std::function<void()> callback) override {
    const transport::TimerId id = ++last_id_;
    timers_.emplace(std::make_pair(now_ + std::max(0.0, delay), id), std::move(callback));
    return id;
  }

  void cancel(transport::TimerId id) override {
    std::erase_if(timers_, [id](const auto& timer) { return timer.first.second == id; });
  }

  /// Runs all timers due up to and including `until`, and then sets the time to `until`.
  void run_until(Seconds until) {
    while (!timers_.empty() && timers_.begin()->first.first <= until) {
      now_ = std::max(now_, timers_.begin()->first.first);
      auto callback = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      callback();
    }
    now_ = until;
  }

  void run_for(Seconds duration) { run_until(now_ + duration); }

 private:
  Seconds now_;
  Seconds unix_offset_;
  std::map<std::pair<Seconds, transport::TimerId>, std::function<void()>> timers_;
  transport::TimerId last_id_ = 0;
};

}  // namespace larkroad::testing
