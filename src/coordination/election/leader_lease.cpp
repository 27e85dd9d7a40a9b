#include "coordination/election/leader_lease.hpp"

#include <algorithm>

namespace larkroad::coordination {
namespace {

constexpr double kDurationRatio = 1.0 / 6;  // of the workers' lease
// A view that stays unconfirmed for so many of the leader's leases is overdue.
constexpr double kViewPatience = 4;
// Steady clocks drift apart by up to 0.05%; twice that, and a step of a timer, is kept as a margin.
constexpr double kDrift = 0.001;
constexpr Seconds kTimerStep = 0.02;
// What is kept free, as a part of the workers' lease, between the end of the last worker's lease
// that a leader past its own has renewed and the cancellation limit.
constexpr double kGraceMargin = 0.15;

}  // namespace

Seconds LeaderLease::duration(const Settings& settings) {
  return settings.lease_s * kDurationRatio;
}

Seconds LeaderLease::grace_period(const Settings& settings) {
  const Seconds worker_lease = settings.lease_s * (1 + kGraceMargin + 2 * kDrift);
  return std::max(0.0, settings.cancellation_limit_s - worker_lease);
}

LeaderLease::LeaderLease(const Settings& settings, Seconds granted_at)
    : duration_(duration(settings)),
      grace_period_(grace_period(settings)),
      renewed_at_(granted_at) {}

void LeaderLease::renewed(Seconds sent_at) { renewed_at_ = std::max(renewed_at_, sent_at); }

void LeaderLease::confirm_view(Seconds sent_at) {
  view_confirmed_at_ = std::max(view_confirmed_at_.value_or(sent_at), sent_at);
}

bool LeaderLease::is_held(Seconds now) const {
  return now < renewed_at_ + duration_ * (1 - kDrift) - kTimerStep;
}

bool LeaderLease::allows_acting(Seconds now) const {
  return is_held(now) && view_confirmed_at_ && now < *view_confirmed_at_ + duration_ * (1 - kDrift);
}

bool LeaderLease::allows_answering_heartbeats(Seconds now) const {
  if (allows_acting(now)) return true;
  if (!view_confirmed_at_) return false;
  const Seconds last_proof = std::min(renewed_at_, *view_confirmed_at_);
  return now < last_proof + grace_period_ * (1 - kDrift);
}

void LeaderLease::renewal_answered(Seconds sent_at) {
  if (!answered_since_) answered_since_ = sent_at;
}

bool LeaderLease::is_view_overdue(Seconds renewal_sent_at) const {
  if (!view_confirmed_at_ || !answered_since_) return false;
  const Seconds overdue_since = std::max(*view_confirmed_at_, *answered_since_);
  return renewal_sent_at - overdue_since > duration_ * kViewPatience;
}

}  // namespace larkroad::coordination
