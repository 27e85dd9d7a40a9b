/// Counts the requests to the key-value store, and logs them when users' requests are rejected.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "storage/store_messages.hpp"
#include "transport/clock.hpp"

namespace larkroad::storage {

/// Tells which requests leave none of this controller's share of the store's limits to its users.
///
/// Written to by RequestQueue and KeyValueClient; one line is logged per interval in which a user's
/// request was rejected before it was sent. Not thread-safe.
class RequestStatistics {
 public:
  /// `interval`: the shortest time between two log lines.
  RequestStatistics(transport::Clock& clock, Seconds interval)
      : clock_(clock), interval_(interval), counting_since_(clock.now()) {}

  void record_sent(RequestPriority priority) { ++sent_[priority]; }
  /// The request was not sent, as it would have waited for too long.
  void record_rejected(RequestPriority priority);
  /// Counts watches whose start revision the store no longer keeps.
  void record_status(Status status) { watches_too_old_ += status == Status::too_old ? 1 : 0; }

 private:
  void log_and_reset(Seconds now);
  std::uint64_t sent(RequestPriority priority) const;

  transport::Clock& clock_;
  Seconds interval_;
  Seconds counting_since_;
  std::optional<Seconds> logged_at_;
  std::map<RequestPriority, std::uint64_t> sent_;
  std::uint64_t users_rejected_ = 0;
  std::uint64_t watches_too_old_ = 0;
};

}  // namespace larkroad::storage
