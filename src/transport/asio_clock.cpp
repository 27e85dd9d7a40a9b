#include "transport/asio_clock.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace larkroad::transport {
namespace {

constexpr double kNanosecondsPerSecond = 1e9;

template <typename TimePoint>
Seconds since_epoch(TimePoint time) {
  return std::chrono::duration<Seconds>(time.time_since_epoch()).count();
}

std::chrono::nanoseconds to_nanoseconds(Seconds delay) {
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(std::max(delay, 0.0) * kNanosecondsPerSecond));
}

}  // namespace

Seconds AsioClock::now() const { return since_epoch(std::chrono::steady_clock::now()); }

Seconds AsioClock::unix_time() const { return since_epoch(std::chrono::system_clock::now()); }

TimerId AsioClock::after(Seconds delay, std::function<void()> callback) {
  const TimerId id = next_id_++;
  auto timer = std::make_unique<asio::steady_timer>(io_, to_nanoseconds(delay));
  timer->async_wait([this, id, callback = std::move(callback)](const asio::error_code& error) {
    if (error) return;  // cancelled and already erased
    timers_.erase(id);
    callback();
  });
  timers_.emplace(id, std::move(timer));
  return id;
}

void AsioClock::cancel(TimerId id) { timers_.erase(id); }

}  // namespace larkroad::transport
