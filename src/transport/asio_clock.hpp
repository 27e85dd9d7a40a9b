#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

#include "transport/clock.hpp"

namespace larkroad::transport {

class AsioClock : public Clock {
 public:
  explicit AsioClock(asio::io_context& io) : io_(io) {}
  Seconds now() const override;
  Seconds unix_time() const override;
  TimerId after(Seconds delay, std::function<void()> fn) override;
  void cancel(TimerId id) override;

 private:
  asio::io_context& io_;
  TimerId next_ = 1;
  std::unordered_map<TimerId, std::unique_ptr<asio::steady_timer>> timers_;
};

}  // namespace larkroad::transport
