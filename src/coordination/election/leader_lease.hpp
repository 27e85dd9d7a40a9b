/// Time bounds within which an elected controller may act as the leader and answer heartbeats,
/// measured with its own steady clock. `Election` owns one object per term.
///
/// Two confirmations are required: the renewal of the lease on the leader key, which shows that
/// nobody else holds the key, and the confirmation of the job view, which shows that the leader
/// knows every cancellation recorded by then. Both count from the time at which the confirming call
/// was *sent*, because nothing is known about the time after that.
///
/// - Acting (starting tasks, scaling, writing records) requires both confirmations to be more
///   recent than the lease duration. Safety does not depend on that alone: each write is
///   conditional on the leader key, and workers reject lower fencing tokens.
/// - Answering heartbeats is allowed for longer, so that an outage of the key-value store does not
///   end all running tasks. A cancellation that the leader does not know was recorded after the
///   older of the two confirmations. The last answer extends a worker's lease by one lease
///   duration, after which the worker stops its tasks on its own, so the bound is the cancellation
///   limit minus the worker lease.
#pragma once

#include <optional>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

class LeaderLease {
 public:
  /// Duration of the leader's lease in the store. It is a fraction of the worker lease, so that a
  /// crashed leader is replaced well before any worker lease expires.
  static Seconds duration(const Settings& settings);
  /// How long after the older of its latest confirmations a leader may still answer heartbeats. A
  /// successor relies on no worker lease having been renewed after that.
  static Seconds grace_period(const Settings& settings);

  /// `granted_at`: when the call that obtained the lease was sent.
  LeaderLease(const Settings& settings, Seconds granted_at);

  /// Records that a call sent at `sent_at` renewed the lease while this controller owned the key.
  void renewed(Seconds sent_at);
  /// Records that all job changes stored up to `sent_at` have been read.
  void confirm_job_view(Seconds sent_at);

  /// Whether the lease has not expired.
  bool is_held(Seconds now) const;
  /// Whether the lease and the job view are recent enough to act as the leader.
  bool allows_acting(Seconds now) const;
  /// Whether heartbeats may be answered.
  bool allows_answering_heartbeats(Seconds now) const;

  /// Record that the store answered a renewal sent at `sent_at`, or that a renewal failed.
  void renewal_answered(Seconds sent_at);
  void renewal_failed() { answered_since_.reset(); }
  /// Whether renewals have been answered for several leases without a confirmation of the job view.
  /// Such a leader may not act, yet cannot be replaced because it keeps renewing its lease. In a
  /// store outage renewals fail too, so the time counts from the first answered renewal after it.
  bool is_view_overdue(Seconds renewal_sent_at) const;

 private:
  Seconds duration_;
  Seconds grace_period_;
  Seconds renewed_at_;
  std::optional<Seconds> view_confirmed_at_;  // none while the records are still being loaded
  std::optional<Seconds> answered_since_;     // first renewal since the last failed one
};

}  // namespace larkroad::coordination
