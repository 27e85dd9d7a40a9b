/// This controller's share of the key-value store's limits on requests and writes.
#pragma once

#include <optional>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::storage {

using transport::Seconds;

/// Two token buckets, for requests and for writes, each with a capacity of one second.
///
/// The store's limits may drop to announced values at an unannounced time. A rejected request
/// indicates that they may have dropped, and the limiter then applies the lower limits for a while.
/// Requests are also rejected for other reasons, such as a change of leaders, so it later returns
/// to the current limits. The period of the lower limits doubles each time.
///
/// Not thread-safe; used by RequestQueue.
class RateLimiter {
 public:
  RateLimiter(const Settings& settings, Seconds now);

  /// Sets the fractions of the store's limits that this controller may use, between 0 and 1.
  void set_share(double requests, double writes);

  /// Adds the tokens accrued since the last refill, and restores the current limits when the period
  /// of lower limits has ended.
  void refill(Seconds now);

  bool has_request() const { return request_tokens_ >= 1; }
  /// The write tokens required before a transaction with this many writes may be sent. At most the
  /// capacity of the bucket, because a larger transaction could otherwise never be sent.
  double writes_needed(double writes) const;
  bool has_writes(double needed) const { return write_tokens_ >= needed; }
  /// Takes the tokens of one request. The balance may become negative: a lease renewal overdraws
  /// the bucket at the expense of later requests. The overdraft of requests is limited, so that
  /// however many were sent, others follow within a second after the last of them.
  void take(double writes);

  /// Applies the lower limits from now on. Returns for how long; nullopt when nothing changes.
  std::optional<Seconds> lower_limits(Seconds now);
  /// The limit in force on the writes per second of all controllers together.
  double write_limit() const { return active_limits_.write_rps; }

  /// The number of requests per second that this controller may send.
  double requests_per_second() const { return active_limits_.rps * request_share_; }

 private:
  double writes_per_second() const { return active_limits_.write_rps * write_share_; }

  StoreLimits current_limits_;
  StoreLimits strictest_limits_;  // the smaller of the current and the next limits
  StoreLimits active_limits_;     // in force
  std::optional<Seconds> lowered_until_;
  Seconds next_lowering_duration_;  // the duration of the next period of lower limits
  double request_share_ = 1;
  double write_share_ = 1;
  double request_tokens_ = 0;
  double write_tokens_ = 0;
  Seconds refilled_at_;
};

}  // namespace larkroad::storage
