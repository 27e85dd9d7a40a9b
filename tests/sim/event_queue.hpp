/// Simulated time: an event queue that one thread processes in a deterministic order, so that runs
/// are reproducible.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "transport/clock.hpp"

namespace larkroad::sim {

using transport::Seconds;

/// Runs events ordered by time; events with equal times run in the order in which they were
/// scheduled. Simulated time advances only from event to event.
class EventQueue {
 public:
  using EventId = std::uint64_t;

  /// An event scheduled in the past runs after all events that are due now.
  EventId schedule_at(Seconds when, std::function<void()> action);
  void cancel(EventId id) { cancelled_.insert(id); }
  Seconds now() const { return now_; }
  /// Runs all events due up to and including `until`, then sets the time to `until`.
  void run_until(Seconds until);

 private:
  std::map<std::pair<Seconds, EventId>, std::function<void()>> queue_;
  std::set<EventId> cancelled_;
  EventId next_id_ = 1;
  Seconds now_ = 0;
};

}  // namespace larkroad::sim
