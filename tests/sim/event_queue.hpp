/// Simulated time: a queue of events that one thread runs in a fixed order, so that a run repeats.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "transport/clock.hpp"

namespace larkroad::sim {

using transport::Seconds;

/// Events in order of their time and, at one time, in the order in which they were scheduled.
/// Time moves only from event to event; nothing here takes real time.
class EventQueue {
 public:
  using EventId = std::uint64_t;

  /// An event in the past runs as soon as the events of the present have run.
  EventId schedule_at(Seconds when, std::function<void()> action);
  void cancel(EventId id) { cancelled_.insert(id); }
  Seconds now() const { return now_; }
  /// Runs what is due up to and including `until`, and leaves the time there.
  void run_until(Seconds until);

 private:
  std::map<std::pair<Seconds, EventId>, std::function<void()>> queue_;
  std::set<EventId> cancelled_;
  EventId next_id_ = 1;
  Seconds now_ = 0;
};

}  // namespace larkroad::sim
