/// Random faults that occur throughout a simulated run. Scenarios schedule faults at fixed times
/// themselves.
#pragma once

#include <optional>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::sim {

/// Rates are probabilities between 0 and 1, unless stated otherwise.
struct FaultOptions {
  /// Responses that never arrive.
  double lost_responses = 0;
  /// Requests that are delayed by up to `max_request_delay`, which may be long after the sender's
  /// timeout.
  double delayed_requests = 0;
  transport::Seconds max_request_delay = 40;
  /// Jobs that their users cancel at a random time.
  double cancelled_jobs = 0.1;
  /// Heartbeats and relayed heartbeat batches that are delivered again within three lease
  /// durations.
  double duplicated_heartbeats = 0;
  /// Heartbeat responses that take seconds, but less than the worker's timeout.
  double slow_heartbeat_responses = 0;
  /// Sockets per controller. With few sockets, workers send heartbeats through relays.
  int sockets = 200;
  /// Jobs that are cancelled at the moment their last task completes.
  double cancelled_on_completion = 0;
  /// Rate of status queries, as a multiple of the default rate.
  double status_query_rate = 1;
  /// Direct commands that are delivered again within three lease durations.
  double duplicated_commands = 0;
  /// Direct commands that are delivered 2 to 16 s late, after the caller has given up.
  double delayed_commands = 0;
  /// Time a machine takes to fetch an image.
  transport::Seconds image_fetch_time = 1;
  /// Future limits of the key-value store, if the settings announce any.
  std::optional<StoreLimits> next_store_limits{};
};

}  // namespace larkroad::sim
