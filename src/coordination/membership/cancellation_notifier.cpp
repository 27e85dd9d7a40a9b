#include "coordination/membership/cancellation_notifier.hpp"

#include "protocol/json.hpp"

namespace larkroad::coordination {
namespace {

// How long a peer may take to answer, and the pause before it is told again: as a part of the
// workers' report interval.
constexpr double kAnswerRatio = 1.0 / 3;
constexpr double kAgainRatio = 1.0 / 10;

}  // namespace

void CancellationNotifier::tell(const std::string& id) {
  for (const auto& peer : settings_.peers) {
    outboxes_[peer.member].notices.push_back({id, clock_.now() + settings_.cancellation_limit_s});
    send(peer);
  }
}

void CancellationNotifier::send(const PeerSettings& peer) {
  Outbox& outbox = outboxes_[peer.member];
  if (outbox.under_way) return;
  while (!outbox.notices.empty() && outbox.notices.front().until < clock_.now()) {
    outbox.notices.pop_front();
  }
  if (outbox.notices.empty()) return;
  outbox.under_way = true;
  const protocol::Json message{{"member", settings_.member}, {"job", outbox.notices.front().id}};
  client_.call(peer.addr.text(), {"POST", kPath, message.dump()},
               settings_.heartbeat_interval_s * kAnswerRatio,
               [this, &peer, &outbox](transport::Outcome outcome, const transport::Response&) {
                 // Any answer will do: one that does not know the job has nothing to stop.
                 const bool answered = outcome == transport::Outcome::answered;
                 if (answered) outbox.notices.pop_front();
                 clock_.after(answered ? 0 : settings_.heartbeat_interval_s * kAgainRatio,
                              [this, &peer, &outbox] {
                                outbox.under_way = false;
                                send(peer);
                              });
               });
}

}  // namespace larkroad::coordination
