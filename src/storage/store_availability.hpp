/// Tracks whether the key-value store is available to this controller.
#pragma once

#include <optional>

#include "transport/clock.hpp"

namespace larkroad::storage {

using transport::Seconds;

/// Tracks successful and failed requests. Used by KeyValueClient.
class StoreAvailability {
 public:
  /// `timeout`: the timeout of a request.
  StoreAvailability(transport::Clock& clock, Seconds timeout) : clock_(clock), timeout_(timeout) {}

  void record_success();
  void record_failure();

  /// How long all requests have been failing; 0 when the latest one succeeded.
  Seconds failing_for() const;
  /// Whether a request should be attempted. False while requests have been failing for longer than
  /// one timeout, except for an occasional probe; returning true then starts the probe interval.
  bool allow_request();
  bool has_ever_answered() const { return answered_ever_; }

 private:
  transport::Clock& clock_;
  Seconds timeout_;
  std::optional<Seconds> failing_since_;
  std::optional<Seconds> probed_at_;
  bool answered_ever_ = false;
};

}  // namespace larkroad::storage
