#include "coordination/election/election.hpp"

#include <algorithm>

#include "log.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {
namespace {

// The leader's lease, as a part of the workers' lease: a crashed leader is replaced well before
// any worker's lease runs out.
constexpr double kLeaseRatio = 1.0 / 6;
constexpr double kRenewRatio = 1.0 / 4;   // of the leader's lease
constexpr double kRetryRatio = 1.0 / 16;  // of the leader's lease
constexpr double kViewRatio = 1.0 / 4;    // of the leader's lease
// A leader whose watch on the jobs goes unanswered for so many of its leases, while its renewals
// are answered, gives up; it leaves the election to the others for so many.
constexpr double kViewPatience = 4;
constexpr double kViewAbstains = 2;
// Steady clocks drift apart by 0.05%; twice that, and a step of a timer, is kept as a margin.
constexpr double kDrift = 0.001;
constexpr Seconds kTimerStep = 0.02;
// What is kept free between the end of a retained worker's lease and the time a cancellation has.
constexpr double kRetentionMargin = 0.15;  // of the workers' lease

}  // namespace

Election::Election(transport::Clock& clock, storage::KeyValueClient& store,
                   const Settings& settings, Events events)
    : clock_(clock),
      store_(store),
      settings_(settings),
      events_(std::move(events)),
      life_(settings.lease_s * kLeaseRatio),
      retention_(std::max(0.0, settings.cancellation_limit_s -
                                   settings.lease_s * (1 + kRetentionMargin + 2 * kDrift))) {}

void Election::start() { look(); }

bool Election::holds_lease() const {
  return fencing_token_ != 0 && clock_.now() < renewed_at_ + life_ * (1 - kDrift) - kTimerStep;
}

bool Election::leads() const {
  return holds_lease() && viewed_at_ && clock_.now() < *viewed_at_ + life_ * (1 - kDrift);
}

bool Election::may_answer_reports() const {
  if (leads()) return true;
  // A cancellation that this leader does not know came after both of these.
  return fencing_token_ != 0 && viewed_at_ &&
         clock_.now() < std::min(renewed_at_, *viewed_at_) + retention_ * (1 - kDrift);
}

void Election::view_proved(Seconds sent) {
  if (fencing_token_ == 0) return;
  viewed_at_ = std::max(viewed_at_.value_or(sent), sent);
}

Seconds Election::view_interval() const { return life_ * kViewRatio; }

void Election::look() {
  store_.get(
      storage::kLeaderKey,
      [this](Status status, storage::Entry entry) {
        if (status == Status::ok) {
          watched_to_ = std::max(watched_to_, entry.revision);
          saw(entry.revision, entry.data);
          watch();
        } else if (status == Status::missing) {
          saw_none();
          watch();
        } else {
          clock_.after(life_ * kRetryRatio, [this] { look(); });
        }
      },
      storage::RequestPriority::lease);
}

void Election::watch() {
  // Short blocks: a watch that a cut swallowed must not hide a change of leader for long.
  store_.watch(storage::kLeaderKey, watched_to_, life_, [this](storage::WatchReply reply) {
    if (reply.status == Status::ok) {
      watched_to_ = std::max(watched_to_, reply.revision);
      if (!reply.events.empty()) {
        const auto& last = reply.events.back();
        if (last.deleted) {
          saw_none();
        } else {
          saw(last.revision, last.data);
        }
      } else if (leader_.empty() && fencing_token_ == 0) {
        campaign(0);
      }
      watch();
      return;
    }
    if (reply.status == Status::too_old) {
      look();
      return;
    }
    clock_.after(life_ * kRetryRatio, [this] { look(); });
  });
}

void Election::saw(std::uint64_t revision, const storage::Json& data) {
  if (revision < leader_revision_) return;
  leader_revision_ = revision;
  leader_ = protocol::text(data, "member");
  if (fencing_token_ != 0) {
    const bool mine = leader_ == settings_.member && protocol::integer(data, "lease") == lease_;
    if (!mine && revision > fencing_token_) lose("a newer leader holds the key: " + leader_);
    return;
  }
  if (leader_ == settings_.member && !campaigning_) {
    // A key of this member's earlier life: that process has ended, so nobody else can act on it.
    campaign(revision);
  }
}

void Election::saw_none() {
  leader_.clear();
  if (fencing_token_ != 0) {
    lose("the key is gone");
  }
  campaign(0);
}

void Election::campaign(std::uint64_t replaced_revision) {
  if (campaigning_ || fencing_token_ != 0) return;
  if (clock_.now() < abstains_until_) return;  // the watch brings the next chance
  campaigning_ = true;
  grant_sent_ = clock_.now();
  store_.grant(life_, [this, replaced_revision](Status status, std::uint64_t lease) {
    if (status != Status::ok) {
      campaigning_ = false;
      return;  // the watch brings the next chance
    }
    lease_ = lease;
    write_key(replaced_revision);
  });
}

void Election::write_key(std::uint64_t replaced_revision) {
  storage::Transaction txn;
  txn.preconditions.push_back({storage::kLeaderKey, replaced_revision});
  txn.writes.push_back(
      {storage::kLeaderKey, {{"member", settings_.member}, {"lease", lease_}}, lease_});
  const auto wanted = [this] { return clock_.now() < grant_sent_ + life_; };
  store_.commit_until_certain(
      std::move(txn), wanted,
      [this](storage::CommitReply reply) {
        campaigning_ = false;
        if (reply.status == Status::ok) {
          won(reply.revision);
          return;
        }
        // Lost, or not known and the lease has run out: a late copy of this write then fails for
        // want of its lease, or makes a key that ends with it.
        store_.release(lease_);
        lease_ = 0;
      },
      storage::RequestPriority::lease);
}

void Election::won(std::uint64_t revision) {
  ++epoch_;
  fencing_token_ = revision;
  renewed_at_ = grant_sent_;
  viewed_at_.reset();
  renewing_since_ = -1;
  leader_ = settings_.member;
  leader_revision_ = std::max(leader_revision_, revision);
  spdlog::info("leads with token {}", fencing_token_);
  events_.elected();
  clock_.after(life_ * kRenewRatio, [this, epoch = epoch_] {
    if (epoch == epoch_) renew();
  });
}

void Election::renew() {
  if (fencing_token_ == 0) return;
  const Seconds sent = clock_.now();
  store_.extend(lease_, [this, sent, epoch = epoch_](Status status) {
    if (epoch != epoch_ || fencing_token_ == 0) return;
    if (status == Status::missing) {
      lose("its lease has ended");
      campaign(0);
      return;
    }
    Seconds pause = life_ * kRetryRatio;
    if (status != Status::ok) renewing_since_ = -1;
    if (status == Status::ok) {
      pause = life_ * kRenewRatio;
      if (holds_lease()) {
        renewed_at_ = std::max(renewed_at_, sent);
      } else {
        // Past its lease by its own clock, yet the lease is alive (an outage gives every lease
        // its full time again). It acts again once it has seen that the key is still its own.
        confirm();
      }
      check_view(sent);
      if (epoch != epoch_) return;
    }
    clock_.after(std::max(0.0, pause - (clock_.now() - sent)), [this, epoch] {
      if (epoch == epoch_) renew();
    });
  });
}

// A leader without a fresh view starts nothing, and with its lease renewed nobody could take its
// place. In an outage renewals go unanswered too, so the time counts from the first that is
// answered.
void Election::check_view(Seconds sent) {
  if (renewing_since_ < 0) renewing_since_ = sent;
  if (!viewed_at_) return;
  const Seconds stale_since = std::max(*viewed_at_, renewing_since_);
  if (sent - stale_since <= life_ * kViewPatience) return;
  step_down("its watch on the jobs is not answered, though its lease is renewed",
            life_ * kViewAbstains);
}

void Election::confirm() {
  if (confirming_) return;
  confirming_ = true;
  const Seconds sent = clock_.now();
  store_.get(
      storage::kLeaderKey,
      [this, sent, epoch = epoch_](Status status, storage::Entry entry) {
        confirming_ = false;
        if (epoch != epoch_ || fencing_token_ == 0) return;
        if (status == Status::ok && entry.revision == fencing_token_) {
          // The read proves the key was there after `sent`, and the lease was renewed before
          // it.
          store_.extend(lease_, [this, sent, epoch](Status renewed) {
            if (epoch != epoch_ || fencing_token_ == 0 || renewed != Status::ok) return;
            spdlog::info("leads again with token {}", fencing_token_);
            renewed_at_ = std::max(renewed_at_, sent);
          });
        } else if (status == Status::ok || status == Status::missing) {
          lose("the key is no longer its own");
          if (status == Status::missing) campaign(0);
        }
      },
      storage::RequestPriority::lease);
}

void Election::lose(const std::string& why) {
  if (fencing_token_ == 0) return;
  spdlog::info("no longer leads with token {}: {}", fencing_token_, why);
  ++epoch_;
  fencing_token_ = 0;
  raising_ = false;
  if (leader_ == settings_.member) leader_.clear();
  if (lease_ != 0) store_.release(lease_);
  lease_ = 0;
  events_.deposed();
}

void Election::resign(const std::string& why) {
  if (fencing_token_ == 0) return;
  lose(why);
}

void Election::step_down(const std::string& why, Seconds abstain) {
  if (fencing_token_ == 0) return;
  abstains_until_ = clock_.now() + abstain;
  lose(why);
}

void Election::superseded(std::uint64_t fencing_token) {
  if (fencing_token_ == 0 || fencing_token <= fencing_token_) return;
  lose("a newer token has been seen: " + std::to_string(fencing_token));
}

void Election::raise_fencing_token() {
  if (!holds_lease() || raising_) return;
  raising_ = true;
  storage::Transaction txn;
  txn.preconditions.push_back({storage::kLeaderKey, fencing_token_});
  txn.writes.push_back(
      {storage::kLeaderKey,
       {{"member", settings_.member}, {"lease", lease_}, {"raised", fencing_token_}},
       lease_});
  store_.commit_until_certain(
      std::move(txn), [this, epoch = epoch_] { return epoch == epoch_ && fencing_token_ != 0; },
      [this, epoch = epoch_](storage::CommitReply reply) {
        if (epoch != epoch_ || fencing_token_ == 0) return;
        raising_ = false;
        if (reply.status == Status::ok) {
          spdlog::info("raised its token from {} to {}", fencing_token_, reply.revision);
          fencing_token_ = reply.revision;
          leader_revision_ = std::max(leader_revision_, fencing_token_);
        } else if (reply.status == Status::conflict) {
          lose("the key has changed");
        }
      },
      storage::RequestPriority::lease);
}

}  // namespace larkroad::coordination
