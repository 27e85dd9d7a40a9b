#include "storage/rate_limiter.hpp"

#include <algorithm>

namespace larkroad::storage {
namespace {

// This part of the share is used; the rest is a reserve, as the store counts by its own clock.
constexpr double kShareUsed = 0.95;
// How full the buckets are at the start: a controller that restarts may have used them already.
constexpr double kInitialFill = 0.5;

}  // namespace

RateLimiter::RateLimiter(const Settings& settings, Seconds now)
    : present_limits_(settings.store_limits),
      lasting_limits_(settings.lasting_store_limits()),
      limits_(settings.store_limits),
      next_lowering_(settings.lease_s),
      refilled_at_(now) {
  const double equal_share = 1.0 / static_cast<double>(settings.controller_count());
  set_share(equal_share, equal_share);
  request_tokens_ = requests_per_second() * kInitialFill;
  write_tokens_ = writes_per_second() * kInitialFill;
}

void RateLimiter::set_share(double requests, double writes) {
  request_share_ = requests * kShareUsed;
  write_share_ = writes * kShareUsed;
}

void RateLimiter::refill(Seconds now) {
  if (lowered_until_ && now >= *lowered_until_) {
    limits_ = present_limits_;
    lowered_until_.reset();
  }
  const Seconds passed = now - refilled_at_;
  refilled_at_ = now;
  request_tokens_ =
      std::min(request_tokens_ + passed * limits_.rps * request_share_, requests_per_second());
  write_tokens_ =
      std::min(write_tokens_ + passed * limits_.write_rps * write_share_, writes_per_second());
}

double RateLimiter::writes_needed(double writes) const {
  return std::min(writes, writes_per_second());
}

void RateLimiter::take(double writes) {
  request_tokens_ -= 1;
  write_tokens_ -= writes;
}

std::optional<Seconds> RateLimiter::lower_limits(Seconds now) {
  const bool differs = lasting_limits_.write_rps < present_limits_.write_rps ||
                       lasting_limits_.rps < present_limits_.rps;
  if (!differs || (lowered_until_ && now < *lowered_until_)) return std::nullopt;
  const Seconds duration = next_lowering_;
  limits_ = lasting_limits_;
  lowered_until_ = now + duration;
  next_lowering_ *= 2;
  request_tokens_ = std::min(request_tokens_, 0.0);
  write_tokens_ = std::min(write_tokens_, 0.0);
  return duration;
}

}  // namespace larkroad::storage
