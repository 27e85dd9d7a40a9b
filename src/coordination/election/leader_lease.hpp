/// The time bounds within which an elected controller may act as the leader and answer heartbeats,
/// counted by its own steady clock. One object a term of leadership; owned by `Election`.
///
/// Two proofs carry a leader: the renewal of its lease on the leader key, which shows that nobody
/// else holds the key, and the confirmation of its view of the jobs, which shows that it knows
/// every cancellation recorded by then. Both count from when the proving call was *sent*, because
/// nothing is known of the time after that.
///
/// - Acting (starting work, scaling, recording) needs both proofs to be younger than the lease.
///   Safety does not rest on that alone: each write is conditional on the leader key, and workers
///   refuse lower fencing tokens.
/// - Answering heartbeats is allowed for a longer time, so that an outage of the key-value store
///   does not end all work. A cancellation unknown to the leader came after both proofs. The last
///   answer renews a worker's lease for one lease, after which the worker ends its tasks by itself,
///   so the bound is the cancellation limit less a worker's lease.
#pragma once

#include <optional>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

class LeaderLease {
 public:
  /// The duration of the leader's lease in the store. A part of the workers' lease, so that a
  /// crashed leader is replaced well before any worker's lease expires.
  static Seconds duration(const Settings& settings);
  /// How long after its last proof a leader may still answer heartbeats. A successor counts on it
  /// that no worker's lease was renewed later than that.
  static Seconds grace_period(const Settings& settings);

  /// `granted_at`: when the call that was granted the lease was sent.
  LeaderLease(const Settings& settings, Seconds granted_at);

  /// The lease has been renewed, while the leader key was its own, by a call sent at that time.
  void renewed(Seconds sent_at);
  /// All changes of the jobs have been read that were recorded when the call was sent.
  void confirm_view(Seconds sent_at);

  /// Whether the lease has not expired.
  bool is_held(Seconds now) const;
  /// Whether the lease and the view are fresh enough to act as the leader.
  bool allows_acting(Seconds now) const;
  /// Whether heartbeats may be answered.
  bool allows_answering_heartbeats(Seconds now) const;

  /// The store has answered a renewal sent at that time, or has not.
  void renewal_answered(Seconds sent_at);
  void renewal_failed() { answered_since_.reset(); }
  /// Whether renewals have been answered for several leases while the view was not confirmed. Such
  /// a leader may start nothing, and as it renews its lease nobody could replace it. In an outage
  /// renewals go unanswered too, so the time counts from the first that is answered.
  bool is_view_overdue(Seconds renewal_sent_at) const;

 private:
  Seconds duration_;
  Seconds grace_period_;
  Seconds renewed_at_;
  std::optional<Seconds> view_confirmed_at_;  // none: the records are still being read
  std::optional<Seconds> answered_since_;  // the first of the renewals that were all answered since
};

}  // namespace larkroad::coordination
