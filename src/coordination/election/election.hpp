/// Leader election, based on a single key with a lease in the key-value store.
///
/// The revision at which the key was written is the leader's fencing token: workers reject commands
/// with a lower token, and every write of the leader is conditional on it. A term begins when this
/// controller creates or replaces the key. It ends when the key is lost, when a higher fencing
/// token is observed, or when the leader resigns. `LeaderLease` implements the time bounds within a
/// term.
///
/// Owned by `Controller`; `Leader` checks before each action whether it may still act.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/election/leader_lease.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "storage/prefix_watch.hpp"
#include "transport/callback_scope.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using storage::Status;
using transport::Seconds;

class Election {
 public:
  /// Called at the beginning and at the end of a term.
  struct Callbacks {
    std::function<void()> on_elected;
    std::function<void()> on_deposed;
  };

  Election(transport::Clock& clock, storage::KeyValueClient& store, const Settings& settings,
           Callbacks callbacks);

  /// Starts watching the leader key and campaigns whenever nobody holds it.
  void start();

  /// Whether this controller may act as the leader now.
  bool is_leader() const;
  /// Whether this controller is in a term, that is, holds the leader key as far as it knows. Its
  /// lease may have expired.
  bool holds_leader_key() const { return term_.has_value(); }
  /// Whether heartbeats may be answered, which is allowed for longer than acting, see
  /// `LeaderLease`.
  bool may_answer_heartbeats() const;
  /// Records that the leader has read all job changes stored up to `sent`, the time at which the
  /// call that returned them was sent. A lease renewal does not show this, as the watch may lag.
  void confirm_job_view(Seconds sent);
  /// How long a job watch may block, so that its reply confirms the job view before it gets too
  /// stale to act on.
  Seconds job_view_interval() const;
  /// How long after its last renewal a deposed leader may still have answered heartbeats.
  Seconds grace_period() const { return LeaderLease::grace_period(settings_); }

  /// The fencing token of this controller's current term; 0 if there is none.
  std::uint64_t fencing_token() const { return term_ ? term_->fencing_token : 0; }
  /// The leader according to the latest leader key seen; empty if unknown.
  const std::string& leader() const { return leader_; }
  /// The newest revision of the leader key seen so far.
  std::uint64_t leader_revision() const { return leader_revision_; }

  /// Rewrites the key to obtain a higher fencing token, which invalidates every command sent with
  /// the current one. Does nothing if the lease has expired or such a write is in flight.
  void raise_fencing_token();
  /// Ends the term if the token, reported by a worker or a peer, is higher than this term's.
  void observe_fencing_token(std::uint64_t fencing_token);
  /// Ends the term, so that the next one reloads its state from the store.
  void resign(const std::string& reason);
  /// Ends the term and does not campaign for the given time, so that a peer is elected.
  void step_down(const std::string& reason, Seconds campaign_pause);

 private:
  struct Term {
    std::uint64_t fencing_token = 0;
    std::uint64_t lease_id = 0;
    LeaderLease lease;
    bool raise_in_flight = false;
  };
  struct Candidacy {
    Seconds grant_sent_at = 0;
    std::uint64_t lease_id = 0;
  };
  struct LeaderRecord {
    std::string member;
    std::uint64_t lease_id = 0;
  };

  bool holds_lease() const;

  // Watching the leader key.
  void handle_read(const storage::ListReply& reply);
  void handle_changes(const std::vector<storage::Event>& events);
  void observe_leader(std::uint64_t revision, const storage::Json& data);
  void observe_no_leader();

  // Campaigning. `replaced_revision`: revision of the key to replace, 0 if there is no key.
  void campaign(std::uint64_t replaced_revision);
  void write_leader_key(std::uint64_t replaced_revision);
  void handle_campaign_reply(const storage::CommitReply& reply);
  void begin_term(const Candidacy& candidacy, std::uint64_t revision);

  // Renewing the lease and the fencing token.
  void renew_lease();
  void handle_renewal(Status status, Seconds sent_at);
  void schedule_renewal(Seconds pause, Seconds sent_at);
  void verify_leader_key();
  void handle_verification(Status status, std::uint64_t revision, Seconds sent_at);
  void handle_raised_token(const storage::CommitReply& reply);

  void end_term(const std::string& reason);

  storage::Json leader_record(std::uint64_t lease_id) const;
  static LeaderRecord parse_leader_record(const storage::Json& data);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  const Settings& settings_;
  Callbacks callbacks_;
  Seconds lease_duration_;
  std::optional<Term> term_;
  transport::CallbackScope term_scope_;  // timers and replies of the current term
  std::optional<Candidacy> candidacy_;
  std::optional<Seconds> campaign_paused_until_;
  bool verification_in_flight_ = false;
  std::string leader_;
  std::uint64_t leader_revision_ = 0;
  storage::PrefixWatch leader_key_watch_;
};

}  // namespace larkroad::coordination
