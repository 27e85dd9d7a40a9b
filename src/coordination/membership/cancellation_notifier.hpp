/// Notifies the other controllers of cancellations that this one has made durable.
///
/// The leader learns of a cancellation by its watch on the store as well. A notice is the quick way
/// to a leader that the store does not answer while its peers still reach it: it must stop the
/// tasks within the cancellation limit. Called by `Controller` when a cancellation becomes durable,
/// before the user is answered.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "settings.hpp"
#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

using transport::Seconds;

class CancellationNotifier {
 public:
  CancellationNotifier(transport::Clock& clock, transport::Client& client, const Settings& settings)
      : clock_(clock), client_(client), settings_(settings) {}

  /// Notifies every peer at once, and again until it answers or the cancellation limit is over.
  void notify_peers(const std::string& job);

 private:
  struct Notice {
    std::string job;
    Seconds expires_at = 0;  // the job's tasks have ended by then, whether or not this arrives
  };
  struct Outbox {
    std::deque<Notice> notices;
    // One call at a time, so that a peer that does not answer costs one socket.
    bool call_in_flight = false;
  };

  void send_next(const PeerSettings& peer);
  void handle_reply(const PeerSettings& peer, transport::Outcome outcome);

  transport::Clock& clock_;
  transport::Client& client_;
  const Settings& settings_;
  std::map<std::string, Outbox> outboxes_;  // by member
};

}  // namespace larkroad::coordination
