#include "transport/asio_clock.hpp"

#include <chrono>

namespace larkroad::transport {

Seconds AsioClock::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

Seconds AsioClock::unix_time() const {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

TimerId AsioClock::after(Seconds delay, std::function<void()> fn) {
  const TimerId id = next_++;
  auto timer = std::make_unique<asio::steady_timer>(
      io_, std::chrono::nanoseconds(static_cast<int64_t>((delay > 0 ? delay : 0) * 1e9)));
  timer->async_wait([this, id, fn = std::move(fn)](const asio::error_code& error) {
    if (error) return;  // cancelled, and erased already
    timers_.erase(id);
    fn();
  });
  timers_.emplace(id, std::move(timer));
  return id;
}

void AsioClock::cancel(TimerId id) { timers_.erase(id); }

}  // namespace larkroad::transport
