/// Queues requests to the key-value store until the rate limits permit them.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "storage/rate_limiter.hpp"
#include "storage/request_statistics.hpp"
#include "storage/store_messages.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::storage {

/// A request to the key-value store with the callback for its reply.
struct StoreRequest {
  transport::Request request;
  Seconds timeout = 0;
  double writes = 0;  ///< the number of writes and deletes, which the store limits
  RequestPriority priority = RequestPriority::scheduling;
  std::function<void(Status, transport::Response)> done;
};

/// Sends requests in order of priority, and first in, first out within each priority.
///
/// Lease renewals and watches are sent at once. Requests that would wait too long are rejected as
/// `unavailable`, so that their callers can react to the overload. Not thread-safe.
class RequestQueue {
 public:
  using Send = std::function<void(StoreRequest)>;

  RequestQueue(transport::Clock& clock, RateLimiter& limiter, RequestStatistics& statistics,
               Send send);

  /// Sends the request now or queues it. `done` is always called eventually. It is not called from
  /// within `submit`, unless `send` does so.
  void submit(StoreRequest request);

  /// How long users' requests have been rejected with none sent; 0 once one could be sent.
  Seconds users_starved_for();

 private:
  // Requests that write are queued separately, so that the write limit does not delay reads.
  struct QueueKey {
    RequestPriority priority;
    bool writes;
    // clang-tidy 14 mistakes the zero in the comparison for a null pointer and a boolean.
    // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion)
    friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
  };
  struct QueuedRequest {
    StoreRequest request;
    Seconds queued_at;
  };
  // The limits that were exhausted during one pass over the queues. Later queues must not use
  // tokens that an earlier queue is waiting for.
  struct ExhaustedLimits {
    bool requests = false;
    bool writes = false;
  };

  bool is_full(size_t length) const;
  void send_permitted();
  void send_permitted_from(const QueueKey& key, std::deque<QueuedRequest>& queue,
                           ExhaustedLimits& exhausted);
  bool may_send(const StoreRequest& request, ExhaustedLimits& exhausted) const;
  void send_front(std::deque<QueuedRequest>& queue);
  void send_now(StoreRequest request);
  void reject(StoreRequest request);
  void schedule_next_pass();

  transport::Clock& clock_;
  RateLimiter& limiter_;
  RequestStatistics& statistics_;
  Send send_;
  std::map<QueueKey, std::deque<QueuedRequest>> queues_;  // ordered by priority
  std::optional<Seconds> users_starved_since_;
  bool pass_scheduled_ = false;
  transport::CallbackScope scope_;
};

}  // namespace larkroad::storage
