// Time as the rest of the program sees it, so that tests can put a simulated clock in its place.
#pragma once

#include <cstdint>
#include <functional>

namespace larkroad::transport {

// Durations and steady times are seconds as decimals, like everything on the wire.
using Seconds = double;
using TimerId = std::uint64_t;

class Clock {
 public:
  virtual ~Clock() = default;
  // Steady: never set back, of no use between machines.
  virtual Seconds now() const = 0;
  // Time of day, within the bound of the settings.
  virtual Seconds unix_time() const = 0;
  virtual TimerId after(Seconds delay, std::function<void()> fn) = 0;
  virtual void cancel(TimerId id) = 0;
};

}  // namespace larkroad::transport
