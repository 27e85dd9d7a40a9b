#include "coordination/election/election.hpp"

#include <algorithm>
#include <utility>

#include "log.hpp"
#include "protocol/json.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {
namespace {

using storage::RequestPriority;

// Intervals, as fractions of the leader lease.
constexpr double kRenewRatio = 1.0 / 4;
constexpr double kRetryRatio = 1.0 / 16;
constexpr double kViewRatio = 1.0 / 4;
// Number of leader leases for which a leader that stepped down for an overdue job view does not
// campaign.
constexpr double kOverdueViewPauseLeases = 2;
// Revision used as a precondition that the key does not exist.
constexpr std::uint64_t kKeyAbsent = 0;

}  // namespace

Election::Election(transport::Clock& clock, storage::KeyValueClient& store,
                   const Settings& settings, Callbacks callbacks)
    : clock_(clock),
      store_(store),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      lease_duration_(LeaderLease::duration(settings)),
      term_scope_(clock),
      // A request waits for at most one lease, so that a lost reply does not hide a leader change
      // for longer than that.
      leader_key_watch_(
          clock, store, {storage::kLeaderKey, lease_duration_, lease_duration_ * kRetryRatio},
          {[this](const storage::ListReply& reply) { handle_read(reply); },
           [this](const storage::WatchReply& reply, Seconds) { handle_changes(reply.events); },
           {}}) {}

void Election::start() { leader_key_watch_.start(); }

bool Election::holds_lease() const { return term_ && term_->lease.is_held(clock_.now()); }

bool Election::is_leader() const { return term_ && term_->lease.allows_acting(clock_.now()); }

bool Election::may_answer_heartbeats() const {
  return term_ && term_->lease.allows_answering_heartbeats(clock_.now());
}

void Election::confirm_job_view(Seconds sent) {
  if (term_) term_->lease.confirm_job_view(sent);
}

Seconds Election::job_view_interval() const { return lease_duration_ * kViewRatio; }

// ------------------------------------------------------------ watching the leader key

void Election::handle_read(const storage::ListReply& reply) {
  const auto entry = std::find_if(
      reply.entries.begin(), reply.entries.end(),
      [](const storage::Entry& candidate) { return candidate.key == storage::kLeaderKey; });
  if (entry != reply.entries.end()) {
    observe_leader(entry->revision, entry->data);
  } else if (reply.revision >= leader_revision_) {  // else it was read before the last write
    observe_no_leader();
  }
}

void Election::handle_changes(const std::vector<storage::Event>& events) {
  if (events.empty()) {
    if (leader_.empty()) campaign(kKeyAbsent);
    return;
  }
  const storage::Event& last = events.back();
  if (last.deleted) {
    observe_no_leader();
  } else {
    observe_leader(last.revision, last.data);
  }
}

void Election::observe_leader(std::uint64_t revision, const storage::Json& data) {
  if (revision < leader_revision_) return;
  const LeaderRecord record = parse_leader_record(data);
  leader_revision_ = revision;
  leader_ = record.member;
  const bool own_member = record.member == settings_.member;
  if (term_) {
    const bool own_key = own_member && record.lease_id == term_->lease_id;
    if (!own_key && revision > term_->fencing_token) {
      end_term("member " + leader_ + " wrote the leader key at revision " +
               std::to_string(revision));
    }
    return;
  }
  // The key was written by an earlier process of this member. That process has exited and nobody
  // else can act under the key, so it can be replaced before its lease expires.
  if (own_member) campaign(revision);
}

void Election::observe_no_leader() {
  leader_.clear();
  end_term("the leader key was deleted from the store");
  campaign(kKeyAbsent);
}

// ------------------------------------------------------------ campaigning

void Election::campaign(std::uint64_t replaced_revision) {
  // Campaigns that are skipped or fail need no retry timer: the next watch reply starts another
  // one.
  if (candidacy_ || term_) return;
  if (campaign_paused_until_ && clock_.now() < *campaign_paused_until_) return;
  candidacy_ = Candidacy{clock_.now()};
  store_.grant(lease_duration_, [this, replaced_revision](Status status, std::uint64_t lease_id) {
    if (status != Status::ok) {
      candidacy_.reset();
      return;
    }
    candidacy_->lease_id = lease_id;
    write_leader_key(replaced_revision);
  });
}

void Election::write_leader_key(std::uint64_t replaced_revision) {
  const std::uint64_t lease_id = candidacy_->lease_id;
  storage::Transaction transaction;
  transaction.preconditions.push_back({storage::kLeaderKey, replaced_revision});
  transaction.writes.push_back({storage::kLeaderKey, leader_record(lease_id), lease_id});
  const Seconds expires_at = candidacy_->grant_sent_at + lease_duration_;
  store_.commit_until_certain(
      std::move(transaction), [this, expires_at] { return clock_.now() < expires_at; },
      [this](const storage::CommitReply& reply) { handle_campaign_reply(reply); },
      RequestPriority::lease);
}

void Election::handle_campaign_reply(const storage::CommitReply& reply) {
  const Candidacy candidacy = *candidacy_;
  candidacy_.reset();
  if (reply.status == Status::ok) {
    begin_term(candidacy, reply.revision);
    return;
  }
  // Either the campaign was lost, or its outcome is unknown and the lease has expired. A late copy
  // of the write then fails because the lease is gone, or creates a key that is deleted with it.
  store_.release(candidacy.lease_id);
}

void Election::begin_term(const Candidacy& candidacy, std::uint64_t revision) {
  term_scope_.restart();
  term_ = Term{revision, candidacy.lease_id, LeaderLease(settings_, candidacy.grant_sent_at)};
  leader_ = settings_.member;
  leader_revision_ = std::max(leader_revision_, revision);
  spdlog::info("leader elected: token={}", revision);
  callbacks_.on_elected();
  term_scope_.after(lease_duration_ * kRenewRatio, [this] { renew_lease(); });
}

// ------------------------------------------------------------ renewing the lease

void Election::renew_lease() {
  if (!term_) return;
  const Seconds sent_at = clock_.now();
  store_.extend(term_->lease_id, term_scope_.wrap([this, sent_at](Status status) {
    handle_renewal(status, sent_at);
  }));
}

void Election::handle_renewal(Status status, Seconds sent_at) {
  if (status == Status::missing) {
    end_term("the store no longer has lease " + std::to_string(term_->lease_id) +
             " of the leader key");
    campaign(kKeyAbsent);
    return;
  }
  if (status != Status::ok) {
    term_->lease.renewal_failed();
    schedule_renewal(lease_duration_ * kRetryRatio, sent_at);
    return;
  }
  if (holds_lease()) {
    term_->lease.renewed(sent_at);
  } else {
    // The lease has expired by this controller's clock but is still alive in the store, which
    // restarts the full duration of every lease after an outage. The leader may act again once it
    // has verified that it still owns the key.
    verify_leader_key();
  }
  term_->lease.renewal_answered(sent_at);
  if (term_->lease.is_view_overdue(sent_at)) {
    step_down(
        "the watch of the job records has gone unanswered for too long while lease renewals "
        "succeed",
        lease_duration_ * kOverdueViewPauseLeases);
    return;
  }
  schedule_renewal(lease_duration_ * kRenewRatio, sent_at);
}

void Election::schedule_renewal(Seconds pause, Seconds sent_at) {
  const Seconds elapsed = clock_.now() - sent_at;
  term_scope_.after(std::max(0.0, pause - elapsed), [this] { renew_lease(); });
}

void Election::verify_leader_key() {
  if (verification_in_flight_) return;
  verification_in_flight_ = true;
  const Seconds sent_at = clock_.now();
  store_.get(
      storage::kLeaderKey,
      [this, sent_at, is_current = term_scope_.is_current()](Status status,
                                                             const storage::Entry& entry) {
        verification_in_flight_ = false;  // even if the term has ended meanwhile
        if (is_current()) handle_verification(status, entry.revision, sent_at);
      },
      RequestPriority::lease);
}

void Election::handle_verification(Status status, std::uint64_t revision, Seconds sent_at) {
  if (status == Status::ok && revision == term_->fencing_token) {
    // The key existed after `sent_at`. A successful renewal now shows that the lease has not
    // expired since, so this controller has owned the key continuously from then on.
    store_.extend(term_->lease_id, term_scope_.wrap([this, sent_at](Status renewed) {
      if (renewed != Status::ok) return;
      spdlog::info("leader lease confirmed: token={}", term_->fencing_token);
      term_->lease.renewed(sent_at);
    }));
  } else if (status == Status::ok) {
    end_term("the leader key has been overwritten at revision " + std::to_string(revision));
  } else if (status == Status::missing) {
    end_term("the leader key is missing from the store");
    campaign(kKeyAbsent);
  }
}

void Election::raise_fencing_token() {
  if (!holds_lease() || term_->raise_in_flight) return;
  term_->raise_in_flight = true;
  storage::Json record = leader_record(term_->lease_id);
  record["raised"] = term_->fencing_token;
  storage::Transaction transaction;
  transaction.preconditions.push_back({storage::kLeaderKey, term_->fencing_token});
  transaction.writes.push_back({storage::kLeaderKey, std::move(record), term_->lease_id});
  store_.commit_until_certain(
      std::move(transaction), term_scope_.is_current(),
      term_scope_.wrap([this](const storage::CommitReply& reply) { handle_raised_token(reply); }),
      RequestPriority::lease);
}

void Election::handle_raised_token(const storage::CommitReply& reply) {
  term_->raise_in_flight = false;
  if (reply.status == Status::ok) {
    spdlog::info("fencing token raised: token={} previous_token={}", reply.revision,
                 term_->fencing_token);
    term_->fencing_token = reply.revision;
    leader_revision_ = std::max(leader_revision_, reply.revision);
  } else if (reply.status == Status::conflict) {
    end_term("raising the fencing token failed: the leader key is no longer at revision " +
             std::to_string(term_->fencing_token));
  }
}

// ------------------------------------------------------------ ending a term

void Election::observe_fencing_token(std::uint64_t fencing_token) {
  if (!term_ || fencing_token <= term_->fencing_token) return;
  end_term("a higher fencing token has been observed: " + std::to_string(fencing_token));
}

void Election::resign(const std::string& reason) { end_term(reason); }

void Election::step_down(const std::string& reason, Seconds campaign_pause) {
  if (!term_) return;
  campaign_paused_until_ = clock_.now() + campaign_pause;
  end_term(reason);
}

void Election::end_term(const std::string& reason) {
  if (!term_) return;
  spdlog::info("leadership lost: token={} reason={}", term_->fencing_token, reason);
  const std::uint64_t lease_id = term_->lease_id;
  term_scope_.restart();
  term_.reset();
  if (leader_ == settings_.member) leader_.clear();
  store_.release(lease_id);
  callbacks_.on_deposed();
}

// ------------------------------------------------------------ the leader record

storage::Json Election::leader_record(std::uint64_t lease_id) const {
  return {{"member", settings_.member}, {"lease", lease_id}};
}

Election::LeaderRecord Election::parse_leader_record(const storage::Json& data) {
  return {protocol::text(data, "member"), protocol::integer(data, "lease")};
}

}  // namespace larkroad::coordination
