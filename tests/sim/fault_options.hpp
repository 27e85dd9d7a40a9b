/// Faults that occur at random all through a simulated run. Faults at set times are scheduled by
/// the scenarios.
#pragma once

#include <optional>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::sim {

/// Rates are probabilities between 0 and 1.
struct FaultOptions {
  /// Responses that never arrive.
  double lost_responses = 0;
  /// Requests that are delivered late, by up to `max_request_delay`: long after their sender gave
  /// up.
  double delayed_requests = 0;
  transport::Seconds max_request_delay = 40;
  /// Jobs that their users cancel at a random time.
  double cancelled_jobs = 0.1;
  /// Heartbeats, and relays' batches of them, that are delivered once more within three leases.
  double duplicated_heartbeats = 0;
  /// Responses to heartbeats that take seconds, though less than workers wait.
  double slow_heartbeat_responses = 0;
  /// Sockets of each controller. With few of them, workers report by way of relays.
  int sockets = 200;
  /// Jobs that are cancelled at the moment when their last task completes.
  double cancelled_on_completion = 0;
  /// Status queries of users, as a multiple of the usual rate.
  double status_query_rate = 1;
  /// Direct commands that are delivered once more within three leases.
  double duplicated_commands = 0;
  /// How long a machine fetches an image.
  transport::Seconds image_fetch_time = 1;
  /// Limits of the key-value store that the settings announce, if any.
  std::optional<StoreLimits> next_store_limits{};
};

}  // namespace larkroad::sim
