#include "storage/request_queue.hpp"

#include <algorithm>
#include <utility>

namespace larkroad::storage {
namespace {

// A queue that holds more than can be sent in this time takes no more requests.
constexpr Seconds kMaxQueueDelay = 1.0;
// A user's request that has waited for longer than this is refused.
constexpr Seconds kMaxUserWait = kMaxQueueDelay * 2;
constexpr Seconds kMinPassInterval = 0.005;

}  // namespace

RequestQueue::RequestQueue(transport::Clock& clock, RateLimiter& limiter, Send send)
    : clock_(clock), limiter_(limiter), send_(std::move(send)), scope_(clock) {}

void RequestQueue::submit(StoreRequest request, RequestPriority priority) {
  limiter_.refill(clock_.now());
  if (priority == RequestPriority::lease) {
    limiter_.take(request.writes);
    send_(std::move(request));
    return;
  }
  auto& queue = waiting_[{priority, request.writes > 0}];
  if (is_full(queue.size())) {
    refuse(std::move(request));
    return;
  }
  queue.push_back({std::move(request), clock_.now()});
  send_allowed();
}

bool RequestQueue::is_full(size_t length) const {
  return static_cast<double>(length) > limiter_.requests_per_second() * kMaxQueueDelay;
}

void RequestQueue::send_allowed() {
  limiter_.refill(clock_.now());
  Shortage shortage;
  for (auto& [request_class, queue] : waiting_) {
    send_allowed_of(request_class, queue, shortage);
  }
  if (shortage.requests || shortage.writes) schedule_next_pass();
}

void RequestQueue::send_allowed_of(const Class& request_class, std::deque<Waiting>& queue,
                                   Shortage& shortage) {
  while (!queue.empty()) {
    if (may_send(queue.front().request, shortage)) {
      send_first(queue);
      continue;
    }
    // Users are asked to come back; all other requests keep their place in the queue. When they
    // lost it, large transactions never had their turn beside a backlog of small ones.
    const bool expires = request_class.priority == RequestPriority::user;
    if (!expires || clock_.now() - queue.front().queued_at <= kMaxUserWait) return;
    StoreRequest expired = std::move(queue.front().request);
    queue.pop_front();
    refuse(std::move(expired));
  }
}

bool RequestQueue::may_send(const StoreRequest& request, Shortage& shortage) const {
  const double writes = limiter_.writes_needed(request.writes);
  const bool needs_writes = writes > 0;
  shortage.requests = shortage.requests || !limiter_.has_request();
  shortage.writes = shortage.writes || (needs_writes && !limiter_.has_writes(writes));
  return !shortage.requests && !(needs_writes && shortage.writes);
}

void RequestQueue::send_first(std::deque<Waiting>& queue) {
  StoreRequest request = std::move(queue.front().request);
  queue.pop_front();
  limiter_.take(request.writes);
  send_(std::move(request));
}

void RequestQueue::refuse(StoreRequest request) {
  clock_.after(0, [done = std::move(request.done)] { done(Status::unavailable, {}); });
}

void RequestQueue::schedule_next_pass() {
  if (pass_scheduled_) return;
  pass_scheduled_ = true;
  const Seconds until_next_token = 1 / limiter_.requests_per_second();
  scope_.after(std::max(kMinPassInterval, until_next_token), [this] {
    pass_scheduled_ = false;
    send_allowed();
  });
}

}  // namespace larkroad::storage
