/// Notifies the other controllers of cancellations that this one has made durable.
///
/// The leader also learns of a cancellation from its watch on the key-value store. Notices are for
/// a leader that has lost the store but is still reachable from its peers: it must stop the tasks
/// within the cancellation limit all the same. Called by `Controller` when a cancellation becomes
/// durable, before the user gets the response.
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

  /// Notifies every peer, and retries until it replies or the cancellation limit has passed.
  void notify_peers(const std::string& job);

 private:
  struct Notice {
    std::string job;
    Seconds expires_at = 0;  // the job's tasks end by then even if the notice never arrives
  };
  struct Outbox {
    std::deque<Notice> notices;
    // One call at a time, so that an unresponsive peer occupies only one socket.
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
