#include "sim/event_queue.hpp"

#include <algorithm>

namespace larkroad::sim {

EventQueue::EventId EventQueue::schedule_at(Seconds when, std::function<void()> action) {
  const EventId id = next_id_++;
  queue_.emplace(std::make_pair(std::max(when, now_), id), std::move(action));
  return id;
}

void EventQueue::run_until(Seconds until) {
  while (!queue_.empty() && queue_.begin()->first.first <= until) {
    const auto [when, id] = queue_.begin()->first;
    auto action = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    now_ = when;
    if (cancelled_.erase(id) == 0) action();
  }
  now_ = until;
}

}  // namespace larkroad::sim
