/// Election of the leader: one key under a lease in the key-value store.
///
/// The revision at which the key was created is the leader's fencing token: workers refuse commands
/// under a lower one, and each write of a leader is conditional on it. A term of leadership begins
/// when this controller creates (or replaces) the key and ends when the key is lost, when a higher
/// fencing token is observed, or when the leader gives up by itself. `LeaderLease` has the time
/// bounds within a term.
///
/// Owned by `Controller`; `Leader` asks before each action whether it may still act.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "coordination/election/leader_lease.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using storage::Status;
using transport::Seconds;

class Election {
 public:
  /// Called at the beginning and at the end of a term.
  struct Events {
    std::function<void()> elected;
    std::function<void()> deposed;
  };

  Election(transport::Clock& clock, storage::KeyValueClient& store, const Settings& settings,
           Events events);

  /// Begins to watch the leader key, and to campaign whenever nobody holds it.
  void start();

  /// Whether this controller may act as the leader now.
  bool is_leader() const;
  /// Whether this controller holds the leader key as far as it knows, though perhaps past its
  /// lease.
  bool holds() const { return term_.has_value(); }
  /// Whether heartbeats may be answered: longer than the leader may act, see `LeaderLease`.
  bool may_answer_heartbeats() const;
  /// The leader has read, in answer to a call sent at that time, all changes of the jobs that were
  /// recorded by then. A renewal alone proves nothing of the kind, as the watch may be late.
  void confirm_view(Seconds sent);
  /// How long a watch may block before it confirms the view anew, to keep it fresh enough to act.
  Seconds view_interval() const;
  /// How long after its last renewal a deposed leader may still have answered a heartbeat.
  Seconds grace_period() const { return LeaderLease::grace_period(settings_); }

  /// The fencing token of this controller's term; 0 when it has none.
  std::uint64_t fencing_token() const { return term_ ? term_->fencing_token : 0; }
  /// The member that leads as far as the store has shown; empty when not known.
  const std::string& leader() const { return leader_; }
  /// The newest revision of the leader key that has been seen.
  std::uint64_t leader_revision() const { return leader_revision_; }

  /// Rewrites the key for a higher fencing token, which invalidates every command sent under the
  /// present one. Does nothing past the lease or while another such write is in flight.
  void raise_fencing_token();
  /// Ends the term if the token, seen by a worker or reported by a peer, is a newer leader's.
  void observe_fencing_token(std::uint64_t fencing_token);
  /// Ends the term, to start anew from what is recorded.
  void resign(const std::string& reason);
  /// Ends the term and leaves the election to the peers for this long.
  void step_down(const std::string& reason, Seconds abstention);

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

  // Following the leader key.
  void read_leader_key();
  void watch_leader_key();
  void handle_watch_reply(const storage::WatchReply& reply);
  void handle_watch_events(const storage::WatchReply& reply);
  void observe_leader(std::uint64_t revision, const storage::Json& data);
  void observe_no_leader();

  // Becoming the leader. `replaced_revision`: of the key that is to be replaced, 0 for none.
  void campaign(std::uint64_t replaced_revision);
  void write_leader_key(std::uint64_t replaced_revision);
  void handle_campaign_reply(const storage::CommitReply& reply);
  void begin_term(const Candidacy& candidacy, std::uint64_t revision);

  // Staying the leader.
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
  Events events_;
  Seconds lease_duration_;
  std::optional<Term> term_;
  transport::CallbackScope term_scope_;  // of timers and replies that belong to the present term
  std::optional<Candidacy> candidacy_;
  std::optional<Seconds> abstains_until_;
  bool verification_in_flight_ = false;
  std::string leader_;
  std::uint64_t leader_revision_ = 0;
  std::uint64_t watched_revision_ = 0;  // changes of the leader key are known up to this one
};

}  // namespace larkroad::coordination
