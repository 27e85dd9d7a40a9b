#include "coordination/election/leader_lease.hpp"

#include <algorithm>

namespace larkroad::coordination {
namespace {

constexpr double kDurationRatio = 1.0 / 6;  // fraction of the worker lease
// A job view that stays unconfirmed for more than this many leader leases is overdue.
constexpr double kViewTimeoutLeases = 4;
// Steady clocks drift by up to 0.05% relative to each other. The safety margin is twice that, plus
// the timer resolution.
constexpr double kClockDrift = 0.001;
constexpr Seconds kTimerResolution = 0.02;
// Safety margin, as a fraction of the worker lease, between the cancellation limit and the expiry
// of the last worker lease that a leader with an expired lease of its own has renewed.
constexpr double kGraceMargin = 0.15;

}  // namespace

Seconds LeaderLease::duration(const Settings& settings) {
  return settings.lease_s * kDurationRatio;
}

Seconds LeaderLease::grace_period(const Settings& settings) {
  const Seconds worker_lease = settings.lease_s * (1 + kGraceMargin + 2 * kClockDrift);
  return std::max(0.0, settings.cancellation_limit_s - worker_lease);
}

LeaderLease::LeaderLease(const Settings& settings, Seconds granted_at)
    : duration_(duration(settings)),
      grace_period_(grace_period(settings)),
      renewed_at_(granted_at) {}

void LeaderLease::renewed(Seconds sent_at) { renewed_at_ = std::max(renewed_at_, sent_at); }

void LeaderLease::confirm_job_view(Seconds sent_at) {
  view_confirmed_at_ = std::max(view_confirmed_at_.value_or(sent_at), sent_at);
}

bool LeaderLease::is_held(Seconds now) const {
  return now < renewed_at_ + duration_ * (1 - kClockDrift) - kTimerResolution;
}

bool LeaderLease::allows_acting(Seconds now) const {
  return is_held(now) && view_confirmed_at_ &&
         now < *view_confirmed_at_ + duration_ * (1 - kClockDrift);
}

bool LeaderLease::allows_answering_heartbeats(Seconds now) const {
  if (allows_acting(now)) return true;
  if (!view_confirmed_at_) return false;
  const Seconds last_confirmed_at = std::min(renewed_at_, *view_confirmed_at_);
  return now < last_confirmed_at + grace_period_ * (1 - kClockDrift);
}

void LeaderLease::renewal_answered(Seconds sent_at) {
  if (!answered_since_) answered_since_ = sent_at;
}

bool LeaderLease::is_view_overdue(Seconds renewal_sent_at) const {
  if (!view_confirmed_at_ || !answered_since_) return false;
  const Seconds overdue_since = std::max(*view_confirmed_at_, *answered_since_);
  return renewal_sent_at - overdue_since > duration_ * kViewTimeoutLeases;
}

}  // namespace larkroad::coordination
