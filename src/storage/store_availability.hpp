/// Whether the key-value store answers this controller.
#pragma once

#include <optional>

#include "transport/clock.hpp"

namespace larkroad::storage {

using transport::Seconds;

/// Keeps account of answered and failed requests. Used by KeyValueClient.
class StoreAvailability {
 public:
  /// `timeout`: how long a request may take.
  StoreAvailability(transport::Clock& clock, Seconds timeout) : clock_(clock), timeout_(timeout) {}

  void record_success();
  void record_failure();

  /// How long requests have failed without a break; 0 when the latest one was answered.
  Seconds failing_for() const;
  /// False while requests have failed for longer than one may take, but for a probe now and then.
  /// A true answer counts as the probe.
  bool worth_trying();
  bool answered_ever() const { return answered_ever_; }

 private:
  transport::Clock& clock_;
  Seconds timeout_;
  std::optional<Seconds> failing_since_;
  std::optional<Seconds> probed_at_;
  bool answered_ever_ = false;
};

}  // namespace larkroad::storage
