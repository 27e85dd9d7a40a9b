#include "storage/rate_limiter.hpp"

#include <algorithm>

namespace larkroad::storage {
namespace {

// The fraction of the share that is used. The rest is a safety margin, because the store measures
// rates by its own clock.
constexpr double kShareUtilization = 0.95;
// The initial fill level of the buckets. It is below 1 because a controller that restarts may have
// used tokens just before.
constexpr double kInitialFill = 0.5;
// How far requests that are never queued may overdraw the bucket, in seconds of this controller's
// share. Below the time for which a user waits.
constexpr Seconds kMaxOverdraft = 0.5;

}  // namespace

RateLimiter::RateLimiter(const Settings& settings, Seconds now)
    : current_limits_(settings.store_limits),
      strictest_limits_(settings.strictest_store_limits()),
      active_limits_(settings.store_limits),
      next_lowering_duration_(settings.lease_s),
      refilled_at_(now) {
  const double equal_share = 1.0 / static_cast<double>(settings.controller_count());
  set_share(equal_share, equal_share);
  request_tokens_ = requests_per_second() * kInitialFill;
  write_tokens_ = writes_per_second() * kInitialFill;
}

void RateLimiter::set_share(double requests, double writes) {
  request_share_ = requests * kShareUtilization;
  write_share_ = writes * kShareUtilization;
}

void RateLimiter::refill(Seconds now) {
  if (lowered_until_ && now >= *lowered_until_) {
    active_limits_ = current_limits_;
    lowered_until_.reset();
  }
  const Seconds passed = now - refilled_at_;
  refilled_at_ = now;
  request_tokens_ = std::min(request_tokens_ + passed * active_limits_.rps * request_share_,
                             requests_per_second());
  write_tokens_ = std::min(write_tokens_ + passed * active_limits_.write_rps * write_share_,
                           writes_per_second());
}

double RateLimiter::writes_needed(double writes) const {
  return std::min(writes, writes_per_second());
}

void RateLimiter::take(double writes) {
  request_tokens_ = std::max(request_tokens_ - 1, -requests_per_second() * kMaxOverdraft);
  write_tokens_ -= writes;
}

std::optional<Seconds> RateLimiter::lower_limits(Seconds now) {
  const bool differs = strictest_limits_.write_rps < current_limits_.write_rps ||
                       strictest_limits_.rps < current_limits_.rps;
  if (!differs || (lowered_until_ && now < *lowered_until_)) return std::nullopt;
  const Seconds duration = next_lowering_duration_;
  active_limits_ = strictest_limits_;
  lowered_until_ = now + duration;
  next_lowering_duration_ *= 2;
  request_tokens_ = std::min(request_tokens_, 0.0);
  write_tokens_ = std::min(write_tokens_, 0.0);
  return duration;
}

}  // namespace larkroad::storage
