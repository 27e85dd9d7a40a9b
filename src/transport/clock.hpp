/// Interface for time and timers, so that tests can substitute a simulated clock.
#pragma once

#include <cstdint>
#include <functional>

namespace larkroad::transport {

/// Durations and steady times, in seconds. Times on the wire are also decimal seconds.
using Seconds = double;
using TimerId = std::uint64_t;

class Clock {
 public:
  virtual ~Clock() = default;
  /// Monotonic time. Not comparable between machines.
  virtual Seconds now() const = 0;
  /// Wall clock time since the Unix epoch, accurate to the clock error given in the settings.
  virtual Seconds unix_time() const = 0;
  /// Runs `callback` on the event loop after `delay`, never from within this call.
  virtual TimerId after(Seconds delay, std::function<void()> callback) = 0;
  /// Cancels a timer. Ignored if the timer has already run or is unknown.
  virtual void cancel(TimerId id) = 0;
};

}  // namespace larkroad::transport
