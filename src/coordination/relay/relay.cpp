#include "coordination/relay/relay.hpp"

#include <algorithm>
#include <memory>

#include "log.hpp"
#include "protocol/job_messages.hpp"

namespace larkroad::coordination {
namespace {

// Workers give up on an answer after 4 s and drop what comes later; half of that is left for the
// way back.
constexpr Seconds kAnswerWithin = 2;
// Reports are gathered for this part of the report interval.
constexpr double kGatherRatio = 1.0 / 100;
// Batches under way at once: while a second one fills, the first is being answered.
constexpr int kMostUnderWay = 2;
// A batch stays this far below what the peer's server takes; its text grows with every quote.
constexpr size_t kBatchBytes = transport::kBodyLimit / 2;
constexpr size_t kUnchangedBytes = 128;
// The leader counts as reached for this many report intervals after an answer.
constexpr double kReachedReports = 1;
constexpr double kToldLeases = 2;
// The same on the way by the state service, which gathers for longer.
constexpr Seconds kStoreAnswerWithin = 3.5;
// A leader that has ended loses its key after a sixth of the workers' lease. One that cannot be
// reached for longer is cut off.
constexpr double kCutOffRatio = 1.0 / 5;
// What a report takes in short, and each task in it.
constexpr size_t kShortReportBytes = 128;
constexpr size_t kShortTaskBytes = 40;

}  // namespace

Relay::Relay(transport::Clock& clock, transport::Client& client, StoreRelayClient& store_relay,
             const Settings& settings)
    : clock_(clock), client_(client), store_relay_(store_relay), settings_(settings) {
  forget_old();
}

void Relay::aim(const std::string& member, std::uint64_t fencing_token) {
  fencing_token_ = fencing_token;
  if (member == leader_) return;
  leader_ = member;
  endpoint_.clear();
  reached_at_ = -1;
  unreached_since_ = clock_.now();
  for (const auto& peer : settings_.peers) {
    if (peer.member == member) endpoint_ = peer.addr.text();
  }
}

void Relay::reached(const std::string& member, bool answered) {
  if (member != leader_) return;
  reached_at_ = answered ? clock_.now() : -1;
  if (answered) unreached_since_ = clock_.now();
}

bool Relay::cut_off() const {
  return !endpoint_.empty() && clock_.now() - unreached_since_ > settings_.lease_s * kCutOffRatio;
}

bool Relay::works() const {
  return !endpoint_.empty() && reached_at_ >= 0 &&
         clock_.now() - reached_at_ < settings_.heartbeat_interval_s * kReachedReports;
}

void Relay::give_up(const Waiting& item) {
  item.respond({503, protocol::encode_error("the leader cannot be asked at present"), 0, true});
}

void Relay::take(std::string payload, protocol::Heartbeat heartbeat, transport::Respond respond) {
  const Seconds within = uses_store() ? kStoreAnswerWithin : kAnswerWithin;
  Waiting item{std::move(payload), std::move(heartbeat), std::move(respond), clock_.now() + within,
               false};
  // No more than there can be workers connected: what a relay holds is bounded.
  if (queue_.size() >= static_cast<size_t>(settings_.sockets)) {
    give_up(item);
    return;
  }
  queue_.push_back(std::move(item));
  arm();
}

void Relay::arm() {
  if (armed_ || queue_.empty() || !may_send()) return;
  armed_ = true;
  const Seconds gather =
      uses_store() ? store_relay_.gather_time() : settings_.heartbeat_interval_s * kGatherRatio;
  clock_.after(gather, [this] {
    armed_ = false;
    send();
  });
}

void Relay::send() {
  const Seconds now = clock_.now();
  while (!queue_.empty() && may_send()) {
    Items items;
    size_t bytes = 0;
    const size_t most = uses_store() ? store_relay_.batch_bytes() : kBatchBytes;
    while (!queue_.empty()) {
      const size_t next = bytes_of(queue_.front());
      if (!items.empty() && bytes + next > most) break;
      Waiting item = std::move(queue_.front());
      queue_.pop_front();
      // One that is nearly due could not be answered in time any more.
      if (endpoint_.empty() || now > item.until - kAnswerWithin / 8) {
        give_up(item);
        continue;
      }
      bytes += next;
      items.push_back(std::move(item));
    }
    if (!items.empty()) put(std::move(items), false);
  }
}

bool Relay::told_before(const Waiting& item) const {
  const auto told = told_.find(item.heartbeat.machine);
  return !item.whole && told != told_.end() &&
         protocol::unchanged(told->second.heartbeat, item.heartbeat);
}

size_t Relay::bytes_of(const Waiting& item) const {
  if (!uses_store()) return kUnchangedBytes + item.payload.size();
  if (told_before(item)) return kUnchangedBytes;
  return kShortReportBytes + kShortTaskBytes * item.heartbeat.tasks.size();
}

bool Relay::may_send() const {
  return uses_store() ? store_relay_.has_free_slot() : under_way_ < kMostUnderWay;
}

void Relay::put(Items items, bool repeated) {
  protocol::RelayBatch batch{settings_.member, fencing_token_, {}};
  Seconds until = items.front().until;
  const bool by_store = uses_store();
  for (const auto& item : items) {
    until = std::min(until, item.until);
    const auto& heartbeat = item.heartbeat;
    protocol::RelayedHeartbeat out;
    if (told_before(item)) {
      out = {"", heartbeat.machine, heartbeat.incarnation, heartbeat.sequence,
             told_.at(heartbeat.machine).heartbeat.sequence};
    } else if (by_store) {
      out.heartbeat = heartbeat;
    } else {
      out.payload = item.payload;
    }
    batch.heartbeats.push_back(std::move(out));
  }
  ++under_way_;
  auto kept = std::make_shared<Items>(std::move(items));
  const auto done = [this, kept, repeated, by_store](transport::Outcome outcome,
                                                     const transport::Response& response) {
    --under_way_;
    answered(std::move(*kept), repeated, by_store, outcome, response);
    arm();
  };
  if (by_store) {
    store_relay_.send(batch, until, done);
  } else {
    client_.call(endpoint_, {"POST", protocol::kRelayPath, protocol::encode_batch(batch)},
                 std::max(0.0, until - clock_.now()), done);
  }
}

void Relay::answered(Items items, bool repeated, bool by_store, transport::Outcome outcome,
                     const transport::Response& response) {
  std::vector<protocol::RelayedAnswer> answers;
  if (outcome == transport::Outcome::answered) {
    try {
      if (response.status == 200) {
        answers = protocol::parse_batch_answers(response.body);
      } else if (response.status == 409) {
        // The leader has another token by now; it says which.
        fencing_token_ = std::max(fencing_token_, protocol::parse_fencing_token(response.body));
        if (!repeated) {
          put(std::move(items), true);
          return;
        }
      }
    } catch (const std::exception& error) {
      spdlog::error("leader: {}", error.what());
      answers.clear();
    }
  }
  if (answers.size() != items.size()) {
    if (!by_store) reached_at_ = -1;
    for (const auto& item : items) give_up(item);
    return;
  }
  const Seconds now = clock_.now();
  if (!by_store) reached_at_ = unreached_since_ = now;
  for (size_t i = 0; i < items.size(); ++i) {
    Waiting& item = items[i];
    if (answers[i].status == protocol::kNeedsPayload) {
      told_.erase(item.heartbeat.machine);
      if (item.whole) {
        give_up(item);
      } else {
        item.whole = true;
        queue_.push_front(std::move(item));
      }
      continue;
    }
    if (answers[i].status == 200) {
      Told& told = told_[item.heartbeat.machine];
      told.at = now;
      if (!protocol::unchanged(told.heartbeat, item.heartbeat) || item.whole) {
        told.heartbeat = std::move(item.heartbeat);
      }
    }
    item.respond({answers[i].status, std::move(answers[i].body), 0, true});
  }
}

void Relay::forget_old() {
  const Seconds limit = settings_.lease_s * kToldLeases;
  std::erase_if(told_, [&](const auto& told) { return clock_.now() - told.second.at > limit; });
  clock_.after(limit / 2, [this] { forget_old(); });
}

}  // namespace larkroad::coordination
