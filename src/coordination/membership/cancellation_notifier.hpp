// Tells the other controllers of cancellations that this one has made durable, at once and again
// until they answer. The leader hears of them by its watch as well; this is the quick way for one
// that the state service refuses, while its peers still reach it.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "settings.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

using transport::Seconds;

class CancellationNotifier {
 public:
  static constexpr const char* kPath = "/cancelled";

  CancellationNotifier(transport::Clock& clock, transport::Client& client, const Settings& settings)
      : clock_(clock), client_(client), settings_(settings) {}

  void tell(const std::string& id);

 private:
  struct Notice {
    std::string id;
    Seconds until = 0;  // its tasks are gone by then in any case
  };
  struct Outbox {
    std::deque<Notice> notices;
    bool under_way = false;  // one at a time: a peer that does not answer costs one socket
  };
  void send(const PeerSettings& peer);

  transport::Clock& clock_;
  transport::Client& client_;
  const Settings& settings_;
  std::map<std::string, Outbox> outboxes_;  // by member
};

}  // namespace larkroad::coordination
