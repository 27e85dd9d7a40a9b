#include "coordination/relay/relay.hpp"

#include <algorithm>
#include <utility>

#include "log.hpp"
#include "protocol/job_messages.hpp"
#include "transport/http_status.hpp"

namespace larkroad::coordination {
namespace {

namespace http_status = transport::http_status;

// Workers time out after 4 s and drop later answers; half of that time is left for the response.
constexpr Seconds kDirectTimeout = 2;
// The same for the key-value store route, on which heartbeats are gathered for longer.
constexpr Seconds kStoreTimeout = 3.5;
// A heartbeat this close to its deadline is not sent, as its answer would come too late.
constexpr Seconds kMinTimeToAnswer = kDirectTimeout / 8;
// Heartbeats are gathered into a batch for this fraction of the heartbeat interval.
constexpr double kGatherRatio = 1.0 / 100;
// One batch can be sent while the leader is answering the other.
constexpr int kMaxBatchesInFlight = 2;
// Half of the body limit of the peer's server, because escaping quotes enlarges the message.
constexpr size_t kMaxBatchBytes = transport::kBodyLimit / 2;
// Estimated size of a heartbeat in a batch: as a delta, and in the compact form with its tasks.
constexpr size_t kDeltaBytes = 128;
constexpr size_t kCompactBytes = 128;
constexpr size_t kCompactTaskBytes = 40;
// Acknowledged heartbeats are kept for this many leases.
constexpr double kAcknowledgementLeases = 2;

constexpr int kStaleToken = http_status::kConflict;

void respond_unavailable(const transport::Respond& respond) {
  respond({http_status::kServiceUnavailable,
           protocol::encode_error("the leader cannot be asked at present"), 0, true});
}

}  // namespace

Relay::Relay(transport::Clock& clock, transport::Client& client, StoreRelayClient& store_relay,
             const Settings& settings)
    : clock_(clock),
      client_(client),
      store_relay_(store_relay),
      settings_(settings),
      reachability_(clock, settings),
      scope_(clock) {
  drop_old_acknowledgements();
}

void Relay::set_leader(const std::string& member, std::uint64_t fencing_token) {
  fencing_token_ = fencing_token;
  if (member == leader_) return;
  leader_ = member;
  leader_endpoint_.reset();
  reachability_.reset();
  for (const auto& peer : settings_.peers) {
    if (peer.member == member) leader_endpoint_ = peer.addr.text();
  }
}

void Relay::record_peer_reply(const std::string& member, bool answered) {
  if (member != leader_) return;
  if (answered) {
    reachability_.record_answer();
  } else {
    reachability_.record_failure();
  }
}

bool Relay::leader_reachable() const { return leader_endpoint_ && reachability_.is_reachable(); }

bool Relay::uses_store_route() const {
  return store_route_allowed_ && leader_endpoint_ && !reachability_.is_reachable() &&
         reachability_.is_partitioned();
}

void Relay::forward(std::string payload, protocol::Heartbeat heartbeat,
                    transport::Respond respond) {
  // Bounds memory: the queue never needs to be longer than the number of workers that can connect.
  if (queue_.size() >= static_cast<size_t>(settings_.sockets)) {
    respond_unavailable(respond);
    return;
  }
  const Seconds timeout = route() == Route::store ? kStoreTimeout : kDirectTimeout;
  queue_.push_back({std::move(payload), std::move(heartbeat), std::move(respond),
                    clock_.now() + timeout, false});
  schedule_send();
}

bool Relay::may_send_batch() const {
  return route() == Route::store ? store_relay_.has_free_slot()
                                 : batches_in_flight_ < kMaxBatchesInFlight;
}

void Relay::schedule_send() {
  if (send_scheduled_ || queue_.empty() || !may_send_batch()) return;
  send_scheduled_ = true;
  const Seconds gather_time = route() == Route::store
                                  ? store_relay_.gather_time()
                                  : settings_.heartbeat_interval_s * kGatherRatio;
  scope_.after(gather_time, [this] {
    send_scheduled_ = false;
    send_queue();
  });
}

void Relay::send_queue() {
  while (!queue_.empty() && may_send_batch()) {
    Batch batch = take_batch();
    if (!batch.empty()) send_batch(std::move(batch), Attempt::first);
  }
}

// Dequeues as many heartbeats as fit one batch. Those too close to their deadline get 503.
Relay::Batch Relay::take_batch() {
  const Seconds now = clock_.now();
  const size_t max_bytes = route() == Route::store ? store_relay_.batch_bytes() : kMaxBatchBytes;
  Batch batch;
  size_t batch_bytes = 0;
  while (!queue_.empty()) {
    const size_t item_bytes = estimated_bytes(queue_.front());
    if (!batch.empty() && batch_bytes + item_bytes > max_bytes) break;
    QueuedHeartbeat item = std::move(queue_.front());
    queue_.pop_front();
    if (!leader_endpoint_ || now > item.deadline - kMinTimeToAnswer) {
      respond_unavailable(item.respond);
      continue;
    }
    batch_bytes += item_bytes;
    batch.push_back(std::move(item));
  }
  return batch;
}

size_t Relay::estimated_bytes(const QueuedHeartbeat& item) const {
  if (route() == Route::direct) return kDeltaBytes + item.payload.size();
  if (acknowledged_sequence(item)) return kDeltaBytes;
  return kCompactBytes + kCompactTaskBytes * item.heartbeat.tasks.size();
}

std::optional<std::uint64_t> Relay::acknowledged_sequence(const QueuedHeartbeat& item) const {
  if (item.full_payload_requested) return std::nullopt;
  return acknowledged_.find_base_sequence(item.heartbeat);
}

protocol::RelayedHeartbeat Relay::encode(const QueuedHeartbeat& item, Route route) const {
  protocol::RelayedHeartbeat out;
  if (const auto base_sequence = acknowledged_sequence(item)) {
    out.machine = item.heartbeat.machine;
    out.incarnation = item.heartbeat.incarnation;
    out.sequence = item.heartbeat.sequence;
    out.base_sequence = *base_sequence;
  } else if (route == Route::store) {
    out.heartbeat = item.heartbeat;
  } else {
    out.payload = item.payload;
  }
  return out;
}

void Relay::send_batch(Batch batch, Attempt attempt) {
  const Route route = this->route();
  protocol::RelayBatch message{settings_.member, fencing_token_, {}};
  Seconds deadline = batch.front().deadline;
  for (const auto& item : batch) {
    deadline = std::min(deadline, item.deadline);
    message.heartbeats.push_back(encode(item, route));
  }
  ++batches_in_flight_;
  const auto shared_batch = std::make_shared<Batch>(std::move(batch));
  const auto on_reply =
      scope_.wrap([this, shared_batch, attempt, route](transport::Outcome outcome,
                                                       const transport::Response& response) {
        --batches_in_flight_;
        handle_reply(std::move(*shared_batch), attempt, route, outcome, response);
        schedule_send();
      });
  if (route == Route::store) {
    store_relay_.send(message, deadline, on_reply);
  } else {
    // On a second attempt, the leader may be unknown by now or no peer; the call to an empty
    // endpoint then fails like any other.
    client_.call(leader_endpoint_.value_or(""),
                 {"POST", protocol::kRelayPath, protocol::encode_batch(message)},
                 std::max(0.0, deadline - clock_.now()), on_reply);
  }
}

void Relay::handle_reply(Batch batch, Attempt attempt, Route route, transport::Outcome outcome,
                         const transport::Response& response) {
  std::vector<protocol::RelayedAnswer> answers;
  try {
    if (outcome == transport::Outcome::answered && response.status == http_status::kOk) {
      answers = protocol::parse_batch_answers(response.body);
    }
    if (outcome == transport::Outcome::answered && response.status == kStaleToken) {
      // The leader was elected again and returns its new token.
      fencing_token_ = std::max(fencing_token_, protocol::parse_fencing_token(response.body));
      if (attempt == Attempt::first) {
        send_batch(std::move(batch), Attempt::after_stale_token);
        return;
      }
    }
  } catch (const std::exception& error) {
    spdlog::error("malformed reply to relayed heartbeat batch: leader={} error={}", leader_,
                  error.what());
  }
  if (answers.size() == batch.size()) {
    complete_batch(std::move(batch), std::move(answers), route);
  } else {
    fail_batch(batch, route);
  }
}

void Relay::fail_batch(const Batch& batch, Route route) {
  if (route == Route::direct) reachability_.record_failure();
  for (const auto& item : batch) respond_unavailable(item.respond);
}

void Relay::complete_batch(Batch batch, std::vector<protocol::RelayedAnswer> answers, Route route) {
  const Seconds now = clock_.now();
  if (route == Route::direct) reachability_.record_answer();
  for (size_t i = 0; i < batch.size(); ++i) {
    QueuedHeartbeat& item = batch[i];
    protocol::RelayedAnswer& answer = answers[i];
    if (answer.status == protocol::kNeedsPayload) {
      resend_in_full(std::move(item));
      continue;
    }
    if (answer.status == http_status::kOk) acknowledge(item, now);
    item.respond({answer.status, std::move(answer.body), 0, true});
  }
}

void Relay::resend_in_full(QueuedHeartbeat item) {
  acknowledged_.forget(item.heartbeat.machine);
  if (item.full_payload_requested) {
    respond_unavailable(item.respond);
    return;
  }
  item.full_payload_requested = true;
  queue_.push_front(std::move(item));
}

void Relay::acknowledge(QueuedHeartbeat& item, Seconds now) {
  if (item.full_payload_requested) {
    acknowledged_.acknowledge_full_payload(std::move(item.heartbeat), now);
  } else {
    acknowledged_.acknowledge(std::move(item.heartbeat), now);
  }
}

void Relay::drop_old_acknowledgements() {
  const Seconds max_age = settings_.lease_s * kAcknowledgementLeases;
  acknowledged_.drop_older_than(max_age, clock_.now());
  scope_.after(max_age / 2, [this] { drop_old_acknowledgements(); });
}

}  // namespace larkroad::coordination
