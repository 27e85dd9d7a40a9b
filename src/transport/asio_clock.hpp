/// System clock, and timers on an asio event loop.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

#include "transport/clock.hpp"

namespace larkroad::transport {

/// Timers still pending when the clock is destroyed never run. Not thread-safe: must be used on the
/// event loop thread.
class AsioClock : public Clock {
 public:
  explicit AsioClock(asio::io_context& io) : io_(io) {}
  Seconds now() const override;
  Seconds unix_time() const override;
  TimerId after(Seconds delay, std::function<void()> callback) override;
  void cancel(TimerId id) override;

 private:
  asio::io_context& io_;
  TimerId next_id_ = 1;
  std::unordered_map<TimerId, std::unique_ptr<asio::steady_timer>> timers_;
};

}  // namespace larkroad::transport
