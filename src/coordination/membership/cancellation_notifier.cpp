#include "coordination/membership/cancellation_notifier.hpp"

#include "protocol/peer_messages.hpp"

namespace larkroad::coordination {
namespace {

// Timeout of a call, and delay before a retry, as fractions of the heartbeat interval.
constexpr double kTimeoutIntervalRatio = 1.0 / 3;
constexpr double kRetryIntervalRatio = 1.0 / 10;

}  // namespace

void CancellationNotifier::notify_peers(const std::string& job) {
  for (const auto& peer : settings_.peers) {
    outboxes_[peer.member].notices.push_back({job, clock_.now() + settings_.cancellation_limit_s});
    send_next(peer);
  }
}

void CancellationNotifier::send_next(const PeerSettings& peer) {
  Outbox& outbox = outboxes_[peer.member];
  if (outbox.call_in_flight) return;
  while (!outbox.notices.empty() && outbox.notices.front().expires_at < clock_.now()) {
    outbox.notices.pop_front();
  }
  if (outbox.notices.empty()) return;
  outbox.call_in_flight = true;
  const std::string message =
      protocol::encode_cancellation_notice({settings_.member, outbox.notices.front().job});
  client_.call(peer.addr.text(), {"POST", protocol::kCancellationPath, message},
               settings_.heartbeat_interval_s * kTimeoutIntervalRatio,
               [this, &peer](transport::Outcome outcome, const transport::Response&) {
                 handle_reply(peer, outcome);
               });
}

void CancellationNotifier::handle_reply(const PeerSettings& peer, transport::Outcome outcome) {
  // Any reply confirms delivery, even an error: a peer that does not know the job has nothing to
  // stop.
  const bool answered = outcome == transport::Outcome::answered;
  if (answered) outboxes_[peer.member].notices.pop_front();
  const Seconds delay = answered ? 0 : settings_.heartbeat_interval_s * kRetryIntervalRatio;
  clock_.after(delay, [this, &peer] {
    outboxes_[peer.member].call_in_flight = false;
    send_next(peer);
  });
}

}  // namespace larkroad::coordination
