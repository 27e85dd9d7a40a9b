#include "storage/request_queue.hpp"

#include <algorithm>
#include <utility>

namespace larkroad::storage {
namespace {

// A queue that holds more requests than can be sent in this time rejects further ones.
constexpr Seconds kMaxQueueDelay = 1.0;
// A user request that has waited for longer than this is rejected.
constexpr Seconds kMaxUserWait = kMaxQueueDelay * 2;
constexpr Seconds kMinPassInterval = 0.005;

}  // namespace

RequestQueue::RequestQueue(transport::Clock& clock, RateLimiter& limiter,
                           RequestStatistics& statistics, Send send)
    : clock_(clock),
      limiter_(limiter),
      statistics_(statistics),
      send_(std::move(send)),
      scope_(clock) {}

void RequestQueue::submit(StoreRequest request) {
  limiter_.refill(clock_.now());
  if (request.priority == RequestPriority::lease) {
    send_now(std::move(request));
    return;
  }
  auto& queue = queues_[{request.priority, request.writes > 0}];
  if (is_full(queue.size())) {
    reject(std::move(request));
    return;
  }
  queue.push_back({std::move(request), clock_.now()});
  send_permitted();
}

bool RequestQueue::is_full(size_t length) const {
  return static_cast<double>(length) > limiter_.requests_per_second() * kMaxQueueDelay;
}

void RequestQueue::send_permitted() {
  limiter_.refill(clock_.now());
  ExhaustedLimits exhausted;
  for (auto& [key, queue] : queues_) {
    send_permitted_from(key, queue, exhausted);
  }
  if (exhausted.requests || exhausted.writes) schedule_next_pass();
}

void RequestQueue::send_permitted_from(const QueueKey& key, std::deque<QueuedRequest>& queue,
                                       ExhaustedLimits& exhausted) {
  while (!queue.empty()) {
    if (may_send(queue.front().request, exhausted)) {
      send_front(queue);
      continue;
    }
    // User requests expire, and users are asked to retry. All other requests keep their position in
    // the queue: if they lost it, a backlog of small transactions would starve large ones.
    const bool expires = key.priority == RequestPriority::user;
    if (!expires || clock_.now() - queue.front().queued_at <= kMaxUserWait) return;
    StoreRequest expired = std::move(queue.front().request);
    queue.pop_front();
    reject(std::move(expired));
  }
}

bool RequestQueue::may_send(const StoreRequest& request, ExhaustedLimits& exhausted) const {
  const double writes = limiter_.writes_needed(request.writes);
  const bool needs_writes = writes > 0;
  exhausted.requests = exhausted.requests || !limiter_.has_request();
  exhausted.writes = exhausted.writes || (needs_writes && !limiter_.has_writes(writes));
  return !exhausted.requests && !(needs_writes && exhausted.writes);
}

void RequestQueue::send_front(std::deque<QueuedRequest>& queue) {
  StoreRequest request = std::move(queue.front().request);
  queue.pop_front();
  send_now(std::move(request));
}

void RequestQueue::send_now(StoreRequest request) {
  limiter_.take(request.writes);
  statistics_.record_sent(request.priority);
  if (request.priority == RequestPriority::user) users_starved_since_.reset();
  send_(std::move(request));
}

void RequestQueue::reject(StoreRequest request) {
  statistics_.record_rejected(request.priority);
  if (request.priority == RequestPriority::user && !users_starved_since_) {
    users_starved_since_ = clock_.now();
  }
  clock_.after(0, [done = std::move(request.done)] { done(Status::unavailable, {}); });
}

Seconds RequestQueue::users_starved_for() {
  const Seconds now = clock_.now();
  limiter_.refill(now);
  // No user may have asked since.
  if (limiter_.has_request()) users_starved_since_.reset();
  return users_starved_since_ ? now - *users_starved_since_ : 0;
}

void RequestQueue::schedule_next_pass() {
  if (pass_scheduled_) return;
  pass_scheduled_ = true;
  const Seconds until_next_token = 1 / limiter_.requests_per_second();
  scope_.after(std::max(kMinPassInterval, until_next_token), [this] {
    pass_scheduled_ = false;
    send_permitted();
  });
}

}  // namespace larkroad::storage
