/// This controller's share of the key-value store's limits on requests and writes.
#pragma once

#include <optional>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::storage {

using transport::Seconds;

/// Two token buckets, of requests and of writes, each of one second's size.
///
/// The store's limits may fall to announced values at a moment that is not announced. A refusal
/// shows that they may have fallen, and the limiter then keeps to the lower ones for a while. Other
/// things bring refusals too, such as two leaders in turn, so it returns to the present limits,
/// after twice as long each time.
///
/// Not thread-safe; used by RequestQueue.
class RateLimiter {
 public:
  RateLimiter(const Settings& settings, Seconds now);

  /// The parts of the store's limits that this controller may use, between 0 and 1.
  void set_share(double requests, double writes);

  /// Adds the tokens of the time since the last refill, and ends a lowering that is over.
  void refill(Seconds now);

  bool has_request() const { return request_tokens_ >= 1; }
  /// The write tokens that must be there before a transaction of so many writes may go. One that is
  /// larger than the whole bucket goes once the bucket is full, as it would never go otherwise.
  double writes_needed(double writes) const;
  bool has_writes(double needed) const { return write_tokens_ >= needed; }
  /// Takes the tokens of one request, whether or not they are there: what a lease renewal takes
  /// ahead of time is missing to the others.
  void take(double writes);

  /// Keeps to the lower limits from now on. Returns for how long; none when nothing changes.
  std::optional<Seconds> lower_limits(Seconds now);
  /// The limit on all controllers' writes in a second that is in use.
  double write_limit() const { return limits_.write_rps; }

  /// How many requests this controller may send in a second.
  double requests_per_second() const { return limits_.rps * request_share_; }

 private:
  double writes_per_second() const { return limits_.write_rps * write_share_; }

  StoreLimits present_limits_;
  StoreLimits lasting_limits_;  // the smaller of the present and the next limits
  StoreLimits limits_;          // in use
  std::optional<Seconds> lowered_until_;
  Seconds next_lowering_;  // how long the next lowering lasts
  double request_share_ = 1;
  double write_share_ = 1;
  double request_tokens_ = 0;
  double write_tokens_ = 0;
  Seconds refilled_at_;
};

}  // namespace larkroad::storage
