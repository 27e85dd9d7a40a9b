/// Time and timers, as an interface so that tests can put a simulated clock in its place.
#pragma once

#include <cstdint>
#include <functional>

namespace larkroad::transport {

/// Durations and steady times are seconds as decimals, like everything on the wire.
using Seconds = double;
using TimerId = std::uint64_t;

class Clock {
 public:
  virtual ~Clock() = default;
  /// Steady time: never set back. Not comparable between machines.
  virtual Seconds now() const = 0;
  /// Time of day since 1970, within the error that the settings state.
  virtual Seconds unix_time() const = 0;
  /// Runs `callback` on the event loop after `delay`, and never from in here.
  virtual TimerId after(Seconds delay, std::function<void()> callback) = 0;
  /// Ends a timer. One that has run already, or is unknown, is ignored.
  virtual void cancel(TimerId id) = 0;
};

}  // namespace larkroad::transport
